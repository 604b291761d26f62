#pragma once
/// Finds keys whose share of a service's requests jumps, within a fraction of the time that the
/// smoothed loads of KeyLoads take to follow. A plain state machine: reports of routers and the
/// time in, stretches of keys with their present rates out.
///
/// What was reported within a short window is compared with what the smoothed loads would have
/// made of as many requests. The comparison is of shares, so that more or fewer requests for all
/// keys alike are no jump. Runs of 1, 16, 64 and 256 keys are looked at, so that one key, some
/// dozens and some hundreds of neighbours are each found where they stand out most.

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "common/time.hpp"
#include "ownership/key_loads.hpp"
#include "ownership/key_ranges.hpp"
#include "routing/table_messages.hpp"

namespace planktray::ownership {

/// Neighbouring keys that get far more or far fewer requests than the smoothed loads say.
struct KeyJump {
  common::ServiceId service;
  KeyRange keys;
  double rate = 0;               ///< requests a second for all of them, as of now
  std::vector<KeyRate> rates{};  ///< of each key with requests
  bool is_rise = true;
};

struct HotKeysOptions {
  /// What was reported for so long is looked at together. Somewhat longer than routers' hellos are
  /// apart where routers are many, so that each has reported in it.
  common::Duration window = std::chrono::milliseconds(700);
  /// Reports are kept in slots of this length: the steps in which they are forgotten.
  common::Duration slot = std::chrono::milliseconds(100);
  /// How long keys that jumped are watched for the end of it. Beyond, the smoothed loads follow.
  common::Duration watch = std::chrono::seconds(10);
};

class HotKeys {
 public:
  explicit HotKeys(HotKeysOptions options = {}) : options_(options) {}

  void add(common::TimePoint now, const std::vector<routing::KeyLoad>& loads);
  void clear();
  /// What jumps now, against the smoothed loads. A caller that takes the rates over into these
  /// finds nothing more until the keys jump on.
  std::vector<KeyJump> find(common::TimePoint now, const KeyLoads& usual);

 private:
  using Counts = std::map<std::uint32_t, double>;
  struct Slot {
    common::TimePoint began;
    std::map<common::ServiceId, Counts> counts;
  };
  struct Watched {
    common::ServiceId service;
    KeyRange keys;
    common::TimePoint risen_at;  ///< seen to rise last
    bool is_measured = false;    ///< with a window that holds nothing from before the rise
  };
  /// One service's window while it is looked at.
  struct Window;

  void forget(common::TimePoint now);
  Window window_of(common::TimePoint now, common::ServiceId service, const KeyLoads& usual) const;
  /// Keys in runs that rise, neighbours as one.
  static std::vector<KeyRange> rising(const Window& window);
  void add_rises(common::TimePoint now, const Window& window, std::vector<KeyJump>& jumps);
  void add_falls(common::TimePoint now, const Window& window, const std::vector<KeyRange>& risen,
                 std::vector<KeyJump>& jumps);
  void watch(common::TimePoint now, common::ServiceId service, const KeyRange& keys);

  HotKeysOptions options_;
  std::deque<Slot> slots_;
  std::vector<Watched> watched_;
};

}  // namespace planktray::ownership
