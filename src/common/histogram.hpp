#pragma once
/// Log-linear histogram of durations with a relative error of about 3%.

#include <algorithm>
#include <array>
#include <bit>
#include <cstdint>

#include "common/time.hpp"

namespace planktray::common {

/// Counts durations in buckets and estimates quantiles.
class Histogram {
 public:
  void add(Duration value) {
    const auto microseconds = static_cast<std::uint64_t>(std::max<Duration::rep>(0, value.count()));
    ++buckets_[bucket_of(microseconds)];
    ++total_;
    maximum_ = std::max(maximum_, value);
  }
  /// Adds the counts of another histogram.
  void merge(const Histogram& other) {
    for (std::size_t i = 0; i < buckets_.size(); ++i) {
      buckets_[i] += other.buckets_[i];
    }
    total_ += other.total_;
    maximum_ = std::max(maximum_, other.maximum_);
  }
  /// @param fraction in [0, 1].
  /// @return an upper bound of that quantile, or 0 if the histogram is empty.
  Duration quantile(double fraction) const {
    const auto rank = static_cast<std::uint64_t>(fraction * static_cast<double>(total_));
    std::uint64_t cumulative = 0;
    for (std::size_t i = 0; i < buckets_.size(); ++i) {
      cumulative += buckets_[i];
      if (buckets_[i] > 0 && (cumulative > rank || cumulative == total_)) {
        return std::min(maximum_, Duration(static_cast<Duration::rep>(upper_bound(i))));
      }
    }
    return Duration(0);
  }
  Duration maximum() const { return maximum_; }
  std::uint64_t count() const { return total_; }

 private:
  static constexpr std::size_t kSubBuckets = 32;
  static constexpr std::size_t kOctaves = 40;

  static std::size_t bucket_of(std::uint64_t value) {
    if (value < kSubBuckets) {
      return value;
    }
    const auto octave = static_cast<std::size_t>(std::bit_width(value)) - 6;
    const std::size_t sub = (value >> octave) - kSubBuckets;
    return std::min(kSubBuckets * (octave + 1) + sub, kSubBuckets * kOctaves - 1);
  }
  static std::uint64_t upper_bound(std::size_t bucket) {
    if (bucket < kSubBuckets) {
      return bucket;
    }
    const std::size_t octave = bucket / kSubBuckets - 1;
    const std::uint64_t sub = bucket % kSubBuckets + kSubBuckets;
    return ((sub + 1) << octave) - 1;
  }

  std::array<std::uint64_t, kSubBuckets * kOctaves> buckets_{};
  std::uint64_t total_ = 0;
  Duration maximum_{0};
};

}  // namespace planktray::common
