#pragma once
/// Writes complete lines to a descriptor and never blocks on a slow reader.
///
/// A blocking write to a pipe whose reader has stopped would block the process, including a
/// leader's main loop. A line that cannot be written at once is dropped and counted, and the count
/// is written before the next line. The process must be the only writer of the pipe: another writer
/// could fill it between the check for free space and the write.

#include <cstdint>
#include <string>
#include <string_view>

namespace planktray::transport {

class LineOutput {
 public:
  /// @param descriptor not owned; must stay open for the lifetime of this object.
  explicit LineOutput(int descriptor) : descriptor_(descriptor) {}

  /// Writes one line, which includes its line end. A line longer than an atomic pipe write is
  /// truncated.
  /// @return false if the line was dropped.
  bool write(std::string_view line);
  /// Lines dropped since the last line that was written.
  std::uint64_t left_out() const { return left_out_; }

 private:
  bool has_capacity() const;
  bool write_all(std::string_view text) const;

  int descriptor_;
  std::uint64_t left_out_ = 0;
};

}  // namespace planktray::transport
