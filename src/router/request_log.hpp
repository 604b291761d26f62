#pragma once
/// Log lines of a router's decisions about single requests: every attempt that failed, every
/// repeat and every request that was not answered by a back end. Requests that were answered at
/// the first attempt are counted in metrics only.

#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "router/core/router_core.hpp"
#include "router/request_dialect.hpp"
#include "transport/line_limit.hpp"

namespace planktray::router {

/// An attempt as it was sent, kept until it ends.
struct SentAttempt {
  std::string address;
  common::Incarnation incarnation;
  std::string service;
  std::uint32_t number = 1;
  std::string request_id;
  common::TimePoint sent;  ///< when its back end was chosen
  std::size_t bytes = 0;   ///< of its body
  /// Of the table that chose the back end; nothing where it was never confirmed.
  std::optional<common::Duration> table_age;
  // Each since `sent`; nothing before it is reached.
  std::optional<common::Duration> connected;  ///< never for a connection that was used before
  std::optional<common::Duration> begun;      ///< the system had taken its first byte
  std::optional<common::Duration> written;    ///< the system had taken all of it
};

/// What was still on its way to a back end when the table said that it is leaving or gone.
struct UnwrittenAttempts {
  std::size_t attempts = 0;
  std::size_t begun = 0;  ///< of these
  std::size_t bytes = 0;  ///< of their bodies
};

/// An update of the table that came late.
struct LateUpdate {
  common::TimePoint now;
  std::string peer;                  ///< address of the controller that sent it
  common::Duration delay{0};         ///< since the moment as of which it shows the table
  common::Duration age_before{0};    ///< of the table, just before it was taken
  common::LogIndex table_index;      ///< after it
  common::Duration longest_turn{0};  ///< of this router's main loop since the line before
};

/// What a router knows as it takes itself to be cut off from its controllers, or hears them again.
struct ContactChange {
  bool in_contact = false;
  common::LogIndex table_index;
  std::optional<common::Duration> table_age;  ///< nothing where it was never confirmed
  // Time that waiting bodies take at the link; 0 where the link has no pace.
  common::Duration outbound_backlog{0};
  common::Duration inbound_backlog{0};
};

/// Times of a request that ends without a back end's answer.
struct RefusalTimes {
  common::Duration took{0};    ///< since it was read
  common::Duration unread{0};  ///< from its first byte until it was read
  /// Since the table was known to be up to date; nothing where it never was.
  std::optional<common::Duration> table_age;
};

class RequestLog {
 public:
  /// Tells a late sender or way (`delay` is long, `longest_turn` short) from a late router.
  void table_late(const LateUpdate& late);
  /// The router goes on with its last table whatever its age, or does not any more.
  void contact_changed(const ContactChange& change);
  /// An attempt that is not the first of its request goes out.
  void repeated(common::TimePoint now, const ParsedRequest& parsed, const Forward& forward);
  void attempt_failed(common::TimePoint now, const ParsedRequest& parsed,
                      const SentAttempt& attempt, const AttemptResult& result,
                      const transport::HttpResponse& response);
  /// The last byte of an attempt was handed to the system long after what its back end was chosen
  /// by was known to be so.
  void written_late(common::TimePoint now, const SentAttempt& attempt);
  std::uint64_t late_writes() const { return late_writes_; }
  /// An attempt that is not written whole is taken back, held, resumed or cut off.
  void write_decided(common::TimePoint now, WriteVerdict verdict, const SentAttempt& attempt);
  /// The table says that a back end is leaving or gone, and requests are still being written to it.
  void leaving_while_written(common::TimePoint now, const Departure& departure,
                             const UnwrittenAttempts& unwritten);
  /// A back end tells its load in a form that could not be read whole.
  void load_unread(common::TimePoint now, const SentAttempt& attempt, const std::string& text);
  std::uint64_t unread_loads() const { return unread_loads_; }
  /// A back end says something that nothing here reads: one line for each new name, a few again.
  void header_unread(common::TimePoint now, const SentAttempt& attempt,
                     const UnrecognizedHeader& header);
  std::uint64_t unread_headers() const { return unread_headers_; }
  /// A back end names another limit than before, or none any more.
  void limit_changed(common::TimePoint now, const LimitChange& change);
  /// A back end has said in an answer that it is leaving, before the table did.
  void departure_stated(common::TimePoint now, const StatedDeparture& departure);
  /// A back end that took requests wants none for a while.
  void backoff_requested(common::TimePoint now, const BackoffRequest& request);
  /// The request ends without a back end's answer.
  void refused(common::TimePoint now, const ParsedRequest& parsed, const Answer& answer,
               const RefusalTimes& times);

 private:
  transport::LineLimit limit_;
  /// Updates come several times a second, and late ones come in rows.
  transport::LineLimit late_limit_{{.lines_per_second = 1, .burst = 5}};
  /// Every answer of a back end may carry such a report: a line now and then is enough to see it.
  transport::LineLimit load_limit_{{.lines_per_second = 0.1, .burst = 5}};
  /// A full link makes them by the dozen.
  transport::LineLimit write_limit_{{.lines_per_second = 2, .burst = 10}};
  std::uint64_t late_writes_ = 0;
  std::uint64_t unread_loads_ = 0;
  std::set<std::string> unread_names_;  ///< of headers; bounded, as back ends choose them
  std::uint64_t unread_headers_ = 0;
};

}  // namespace planktray::router
