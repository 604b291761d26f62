/// A process continues when the reader of its log pipe stops reading. A blocking write would stop
/// the whole process, and a leader would lose its leadership.

#include "transport/line_output.hpp"

#include <doctest/doctest.h>
#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <string>

namespace planktray::transport {
namespace {

struct Pipe {
  std::array<int, 2> ends{};
  Pipe() { REQUIRE(pipe2(ends.data(), O_CLOEXEC) == 0); }
  Pipe(const Pipe&) = delete;
  Pipe& operator=(const Pipe&) = delete;
  ~Pipe() {
    close(ends[0]);
    close(ends[1]);
  }
  std::string read_all() const {
    std::string text;
    std::array<char, 4096> part{};
    fcntl(ends[0], F_SETFL, O_NONBLOCK);
    for (ssize_t got = 1; got > 0;) {
      got = read(ends[0], part.data(), part.size());
      text.append(part.data(), got > 0 ? static_cast<std::size_t>(got) : 0);
    }
    return text;
  }
};

TEST_CASE(
    "a reader that stops reading does not block the writer and gets the number of lost lines") {
  const Pipe pipe;
  LineOutput output(pipe.ends[1]);
  constexpr int kLines = 20'000;  // far more than the capacity of a pipe
  int written = 0;
  for (int i = 0; i < kLines; ++i) {
    written += output.write("event=something number=" + std::to_string(i) + "\n") ? 1 : 0;
  }
  CHECK(written > 0);
  CHECK(written < kLines);
  CHECK(output.left_out() == static_cast<std::uint64_t>(kLines - written));

  const std::string first = pipe.read_all();
  CHECK(first.ends_with("\n"));
  CHECK(output.write("event=later\n"));
  CHECK(output.left_out() == 0);
  CHECK(pipe.read_all() ==
        "event=log_lines_lost count=" + std::to_string(kLines - written) + "\nevent=later\n");
}

TEST_CASE("a line longer than an atomic pipe write is truncated and keeps its line end") {
  const Pipe pipe;
  LineOutput output(pipe.ends[1]);
  CHECK(output.write(std::string(100'000, 'x') + "\n"));
  const std::string text = pipe.read_all();
  CHECK(text.size() == 4096);
  CHECK(text.ends_with("x\n"));
}

}  // namespace
}  // namespace planktray::transport
