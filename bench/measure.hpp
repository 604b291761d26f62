#pragma once
/// Processor time and heap of one measured step.

#include <malloc.h>

#include <cstdint>
#include <ctime>

namespace planktray::bench {

/// Processor time of this process so far, in microseconds.
inline double processor_us() {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

/// Heap bytes in use.
inline double heap_bytes() {
  const struct mallinfo2 info = mallinfo2();
  return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

/// Measures processor time and heap growth since its construction.
class Meter {
 public:
  Meter() : heap_(heap_bytes()), time_(processor_us()) {}
  double microseconds() const { return processor_us() - time_; }
  double bytes() const { return heap_bytes() - heap_; }

 private:
  double heap_;
  double time_;
};

}  // namespace planktray::bench
