#pragma once
/// Whole lines to a descriptor, without ever waiting for whoever reads them.
///
/// A reader that stops reading its pipe would otherwise stop the process at its next line, a
/// leader's main loop included. What cannot be written at once is left out, counted, and told
/// before the next line that can. One process must write to a pipe alone: between asking for room
/// and writing, another writer could take it.

#include <cstdint>
#include <string>
#include <string_view>

namespace planktray::transport {

class LineOutput {
 public:
  /// @param descriptor stays open for longer than this object, which does not own it.
  explicit LineOutput(int descriptor) : descriptor_(descriptor) {}

  /// Writes one line with its end. What is longer than a pipe takes at once is cut.
  /// @return false where it was left out.
  bool write(std::string_view line);
  /// Lines left out since the last one that was written.
  std::uint64_t left_out() const { return left_out_; }

 private:
  bool has_room() const;
  bool write_whole(std::string_view text) const;

  int descriptor_;
  std::uint64_t left_out_ = 0;
};

}  // namespace planktray::transport
