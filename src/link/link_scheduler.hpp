#pragma once
/// Divides one direction of a machine's link between large bodies and all other traffic. Large
/// bodies are transferred in pieces, at the rate that the link has left. Small messages are
/// transferred immediately and only counted.
///
/// A pure state machine: its inputs are bodies, transferred bytes and times, its output is pieces.
/// It serves both directions. Outbound, a piece may be written; inbound, a piece may be read, which
/// applies backpressure to the sender.
///
/// Bodies with a promised transfer time go before the shared ones, in the order of their arrival.
///
/// Invariants:
///  - At most one piece per body is in flight, and bursts are limited to the bytes of two pieces
///    after any idle time. This bounds the time that a small message waits behind large bodies.
///  - Every body makes progress: every fourth piece goes to a shared body, and every fourth of
///    these to the oldest one. Small messages delay large bodies by at most `kLongestPause` per
///    piece.

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "common/time.hpp"

namespace planktray::link {

using common::Duration;
using common::TimePoint;

/// Larger bodies are transferred in pieces. A body of this size occupies a link of 4 Mbit/s for
/// 32 ms, which is too long a wait for small messages behind it. Dividing smaller bodies would cost
/// more processor time than it saves.
inline constexpr std::size_t kLargeBodyBytes = std::size_t{16} * 1024;
/// Fraction of the link's rate for large bodies and counted small messages together. The rest is
/// for traffic that is not counted: packet headers, new connections and the control plane.
inline constexpr double kScheduledShare = 0.85;
/// Time for which a piece occupies the link. Two pieces take less than the 30 ms that a small
/// message may wait, which is a twentieth of the shortest latency objective of callers. Below 2.2
/// Mbit/s `kMinPieceBytes` determines the size.
inline constexpr Duration kPieceTime = std::chrono::milliseconds(14);
/// With smaller pieces, system calls would cost more than the transfer of the bytes.
inline constexpr std::size_t kMinPieceBytes = 4096;
/// Longest time between two pieces. Large bodies complete even if small messages alone fill the
/// link.
inline constexpr Duration kLongestPause = std::chrono::milliseconds(100);
/// Of the pieces for shared bodies, one in this many goes to the oldest body, the others to the
/// body with the fewest remaining bytes.
inline constexpr std::uint32_t kPiecesPerOldest = 4;
/// While both kinds wait, one piece in this many goes to a shared body, the others to promised
/// ones.
inline constexpr std::uint32_t kPiecesPerShared = 4;
/// Smallest share of the pieces that goes to promised bodies.
inline constexpr double kPromisedShare = 1.0 - 1.0 / kPiecesPerShared;

/// Priority of a body.
enum class BodyRank : std::uint8_t {
  kShared,    ///< shares the link with the others
  kPromised,  ///< its transfer time was promised
};

using BodyId = std::uint64_t;

/// Bytes of a body that may be transferred now.
struct Piece {
  BodyId body = 0;
  std::size_t bytes = 0;
};

class LinkScheduler {
 public:
  /// @param bytes_per_second capacity of the link in this direction, greater than 0.
  LinkScheduler(double bytes_per_second, TimePoint now);

  /// Adds a large body. @param bytes to transfer.
  BodyId add(TimePoint now, std::size_t bytes, BodyRank rank = BodyRank::kShared);
  /// Appends bytes to the body.
  void extend(BodyId body, std::size_t bytes);
  /// Bytes of a piece have been transferred. A body is removed after its last byte.
  /// @return true if the body has been removed.
  bool passed(BodyId body, std::size_t bytes);
  /// Removes a body that is complete or whose connection has ended. The unused bytes of its piece
  /// become available to others.
  void remove(BodyId body);
  /// Counts the transferred bytes of a small message.
  void note_small(TimePoint now, std::size_t bytes);
  /// Returns the pieces that may be transferred now and counts them as in flight.
  std::vector<Piece> take(TimePoint now);
  /// When take() may return pieces next; std::nullopt while no body waits for a piece.
  std::optional<TimePoint> next_due() const;

  std::size_t waiting() const { return bodies_.size(); }
  /// Time to transfer all remaining bytes.
  Duration backlog() const;
  std::uint64_t bytes_passed() const { return passed_; }

 private:
  struct Body {
    BodyRank rank = BodyRank::kShared;
    std::size_t remaining = 0;  ///< bytes not transferred yet
    std::size_t in_flight = 0;  ///< of these, bytes of the current piece
  };

  void refill(TimePoint now);
  Duration time_for(double bytes) const;
  bool is_due(TimePoint now) const;
  std::map<BodyId, Body>::iterator choose();
  std::map<BodyId, Body>::iterator choose_shared();

  double rate_;        ///< bytes per second
  std::size_t piece_;  ///< size of a piece in bytes
  double tokens_;  ///< bytes that may be transferred; negative while small messages exceed the rate
  TimePoint refilled_;
  TimePoint last_piece_;
  std::uint32_t pieces_ = 0;         ///< number of pieces so far
  std::uint32_t shared_pieces_ = 0;  ///< of these, for shared bodies
  BodyId next_id_ = 1;
  std::uint64_t passed_ = 0;
  std::uint64_t remaining_ = 0;    ///< sum over bodies
  std::map<BodyId, Body> bodies_;  ///< in the order of their arrival
};

}  // namespace planktray::link
