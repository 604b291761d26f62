#pragma once
/// Shares one direction of a machine's link between large bodies and everything else: large bodies
/// pass in pieces, at what the link has left; small messages pass at once and are only counted.
///
/// A plain state machine: bodies, bytes that have passed and the time in, pieces out. It serves
/// both directions: outbound a piece may be written, inbound it may be read, which holds the sender
/// back.
///
/// Bodies that are promised to pass soon go before the shared ones, in the order in which they
/// came.
///
/// Invariants:
///  - One piece is under way at most for each body, and no more bytes than two pieces pass at once,
///    however long nothing was asked: this bounds what a small message waits behind large ones.
///  - Every body goes on: each fourth piece is a shared body's and each fourth of these the oldest
///    one's, and small messages cannot hold large bodies up for longer than `kLongestPause` for
///    each piece.

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "common/time.hpp"

namespace planktray::link {

using common::Duration;
using common::TimePoint;

/// A body from here on takes a link of a few Mbit/s for longer than callers of small messages
/// should wait behind it: 32 ms at 4 Mbit/s. Below, pieces cost more processor time than they save.
inline constexpr std::size_t kLargeBodyBytes = std::size_t{16} * 1024;
/// Of the link's rate, what large bodies and counted small messages take together. The rest is for
/// what is not counted: packet headers, new connections, the control side.
inline constexpr double kScheduledShare = 0.85;
/// A piece takes the link for this long: two of them stay below the 30 ms that a small message may
/// wait, a twentieth of the shortest objectives of callers. Below 2.2 Mbit/s `kLeastPiece` decides.
inline constexpr Duration kPieceTime = std::chrono::milliseconds(14);
/// Smaller pieces would spend more on system calls than on bytes.
inline constexpr std::size_t kLeastPiece = 4096;
/// Small messages alone may fill a link; large bodies then still get a piece this often, so that
/// they end.
inline constexpr Duration kLongestPause = std::chrono::milliseconds(100);
/// Of the shared bodies' pieces one in so many goes to the body that came first, the others to the
/// shortest remaining one.
inline constexpr std::uint32_t kPiecesPerOldest = 4;
/// One piece in so many goes to a shared body where promised ones wait as well.
inline constexpr std::uint32_t kPiecesPerShared = 4;
/// What the promised bodies get of the pieces at least.
inline constexpr double kPromisedShare = 1.0 - 1.0 / kPiecesPerShared;

/// How a body takes its turns.
enum class BodyRank : std::uint8_t {
  kShared,
  kPromised,  ///< somebody counts on when it has passed
};

using BodyId = std::uint64_t;

struct Piece {
  BodyId body = 0;
  std::size_t bytes = 0;
};

class LinkScheduler {
 public:
  /// @param bytes_per_second what the link carries in this direction; more than 0.
  LinkScheduler(double bytes_per_second, TimePoint now);

  /// A large body begins to wait. @param bytes that are still to pass.
  BodyId add(TimePoint now, std::size_t bytes, BodyRank rank = BodyRank::kShared);
  /// More bytes wait behind those of the body.
  void extend(BodyId body, std::size_t bytes);
  /// Bytes of a piece have passed; a body of which all have passed is forgotten.
  /// @return true where it is forgotten.
  bool passed(BodyId body, std::size_t bytes);
  /// The body is whole, or its connection has ended; what it was given and did not use is given
  /// back.
  void remove(BodyId body);
  /// Bytes of a small message passed.
  void note_small(TimePoint now, std::size_t bytes);
  /// Pieces that may pass now.
  std::vector<Piece> take(TimePoint now);
  /// When take() may have something; nothing while no body waits for a piece.
  std::optional<TimePoint> next_due() const;

  std::size_t waiting() const { return bodies_.size(); }
  /// Time that the bytes that wait take to pass.
  Duration backlog() const;
  std::uint64_t bytes_passed() const { return passed_; }

 private:
  struct Body {
    BodyRank rank = BodyRank::kShared;
    std::size_t left = 0;       ///< bytes that have not passed
    std::size_t under_way = 0;  ///< of those, in a piece that was given out
  };

  void refill(TimePoint now);
  Duration time_for(double bytes) const;
  bool is_due(TimePoint now) const;
  std::map<BodyId, Body>::iterator choose();
  std::map<BodyId, Body>::iterator choose_shared();

  double rate_;        ///< bytes a second
  std::size_t piece_;  ///< bytes
  double tokens_;      ///< bytes that may pass; below 0 after more small ones than the link carries
  TimePoint refilled_;
  TimePoint last_piece_;
  std::uint32_t pieces_ = 0;
  std::uint32_t shared_pieces_ = 0;  ///< of these, for shared bodies
  BodyId next_id_ = 1;
  std::uint64_t passed_ = 0;
  std::uint64_t left_ = 0;         ///< sum over bodies
  std::map<BodyId, Body> bodies_;  ///< in the order in which they came
};

}  // namespace planktray::link
