#pragma once
/// The boundary between input from outside and the main loop. An exception must not leave a
/// callback of the main loop, since that ends the process.

#include <cstdint>
#include <exception>
#include <string_view>

namespace planktray::transport {

/// Counts and logs an exception that input from a peer has caused.
void record_contained(std::string_view step, std::string_view peer, const std::exception& error);

/// Returns the number of exceptions that run_contained() has caught in this process.
std::uint64_t contained_exceptions();

/// Runs `work`, which handles input from a peer.
/// @return false if it threw; what is left of the input must be dropped.
template <typename Work>
bool run_contained(std::string_view step, std::string_view peer, const Work& work) {
  try {
    work();
    return true;
  } catch (const std::exception& error) {
    record_contained(step, peer, error);
    return false;
  }
}

}  // namespace planktray::transport
