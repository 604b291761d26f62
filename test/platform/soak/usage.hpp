#pragma once
/// What a process of the fleet takes of its machine.

#include <sys/types.h>

#include <cstddef>

namespace planktray::soak {

/// Returns the largest resident set of a process so far, in bytes; 0 if it has ended.
std::size_t peak_memory(pid_t pid);
/// Returns the number of open descriptors of a process; 0 if it has ended.
std::size_t open_descriptors(pid_t pid);

}  // namespace planktray::soak
