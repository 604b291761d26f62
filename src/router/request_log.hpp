#pragma once
/// Logs a router's decisions about single requests: failed attempts, retries and requests that no
/// back end answered. Requests that are answered at the first attempt are only counted in metrics.

#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "router/core/router_core.hpp"
#include "router/request_dialect.hpp"
#include "transport/line_limit.hpp"

namespace planktray::router {

/// An attempt that has been sent. It is kept until the attempt ends.
struct SentAttempt {
  std::string address;
  common::Incarnation incarnation;
  std::string peer;  ///< address of the router that relays it; empty: none
  std::string service;
  std::uint32_t number = 1;
  std::string request_id;
  common::TimePoint sent_at;  ///< when the back end was chosen
  std::size_t bytes = 0;      ///< of its body
  /// Age of the table when the back end was chosen; nullopt if the table was never confirmed.
  std::optional<common::Duration> table_age;
  // Times since `sent_at`; nullopt until the stage is reached.
  std::optional<common::Duration> connected;  ///< not set on a reused connection
  std::optional<common::Duration> begun;      ///< the operating system accepted its first byte
  std::optional<common::Duration> written;    ///< the operating system accepted its last byte
};

/// Attempts that were not completely written when the table marked their back end as leaving or
/// removed it.
struct UnwrittenAttempts {
  std::size_t attempts = 0;
  std::size_t begun = 0;  ///< those whose first byte was written
  std::size_t bytes = 0;  ///< total size of their bodies
};

/// A table update that arrived late.
struct LateUpdate {
  common::TimePoint now;
  std::string peer;                  ///< address of the controller that sent it
  common::Duration delay{0};         ///< since the time as of which the update describes the table
  common::Duration age_before{0};    ///< of the table, just before the update was applied
  common::LogIndex table_index;      ///< after the update
  common::Duration longest_turn{0};  ///< of the router's main loop since the previous late update
};

/// State of a router when it detects that it has lost or regained contact with its controllers.
struct ContactChange {
  bool in_contact = false;
  common::LogIndex table_index;
  std::optional<common::Duration> table_age;  ///< nullopt if it was never confirmed
  // Time that queued bodies need at the link rate; 0 if the link is not paced.
  common::Duration outbound_backlog{0};
  common::Duration inbound_backlog{0};
};

/// Circumstances of a request that ends without a back end's answer.
struct RefusalContext {
  common::Duration took{0};       ///< since it was read completely
  common::Duration read_time{0};  ///< from its first byte until it was read completely
  /// Since the table was last confirmed to be up to date; nullopt if it never was.
  std::optional<common::Duration> table_age;
  std::string confirmed_by;          ///< address of the controller that confirmed it
  std::uint64_t routes_version = 0;  ///< of the route configuration in the table
};

class RequestLog {
 public:
  /// A long `delay` with a short `longest_turn` indicates a slow sender or network, a long
  /// `longest_turn` a slow router.
  void table_late(const LateUpdate& late);
  /// On lost contact, the router keeps using its last table regardless of its age.
  void contact_changed(const ContactChange& change);
  /// An attempt other than the first of its request is sent.
  void request_repeated(common::TimePoint now, const ParsedRequest& parsed, const Forward& forward);
  void attempt_failed(common::TimePoint now, const ParsedRequest& parsed,
                      const SentAttempt& attempt, const AttemptResult& result,
                      const transport::HttpResponse& response);
  /// The operating system accepted the last byte of an attempt long after the time as of which the
  /// table that chose the back end was confirmed.
  void written_late(common::TimePoint now, const SentAttempt& attempt);
  std::uint64_t late_writes() const { return late_writes_; }
  /// An attempt that is not completely written is recalled, held, resumed or aborted.
  void write_decided(common::TimePoint now, WriteVerdict verdict, const SentAttempt& attempt);
  /// The table marks a back end as leaving or removes it while requests are being written to it.
  void leaving_while_written(common::TimePoint now, const Departure& departure,
                             const UnwrittenAttempts& unwritten);
  /// A back end reports its load in a form that could not be parsed completely.
  void load_unread(common::TimePoint now, const SentAttempt& attempt, const std::string& text);
  std::uint64_t unparsed_loads() const { return unparsed_loads_; }
  /// An answer of a back end has a header that the router does not recognize. Each new name is
  /// logged once, repetitions at a limited rate.
  void header_unread(common::TimePoint now, const SentAttempt& attempt,
                     const UnrecognizedHeader& header);
  std::uint64_t unrecognized_headers() const { return unrecognized_headers_; }
  /// A back end states another request limit than before, or no limit any more.
  void limit_changed(common::TimePoint now, const LimitChange& change);
  /// A back end stated in an answer that it is leaving before the table marked it as leaving.
  void departure_stated(common::TimePoint now, const StatedDeparture& departure);
  /// An attempt goes to a peer, which is to pass it on.
  void request_relayed(common::TimePoint now, const ParsedRequest& parsed, const Forward& forward);
  /// A request that another router relays is not passed on.
  void relay_refused(common::TimePoint now, const ParsedRequest& parsed, const Answer& answer);
  /// A message at the relay interface is not a relayed request of this cell.
  void relay_rejected(common::TimePoint now, const common::Error& error);
  /// The router has lost or regained its path to the back ends of a service.
  void path_changed(const PathNotice& notice);
  /// A back end requested a time without requests.
  void backoff_requested(common::TimePoint now, const BackoffRequest& request);
  /// A request ends without a back end's answer.
  void request_refused(common::TimePoint now, const ParsedRequest& parsed, const Answer& answer,
                       const RefusalContext& context);

 private:
  transport::LineLimit limit_;
  /// Without a path, every request is relayed; a few lines show by whom.
  transport::LineLimit relay_limit_{{.lines_per_second = 5, .burst = 20}};
  /// Updates arrive several times a second, and late ones arrive in bursts.
  transport::LineLimit late_limit_{{.lines_per_second = 1, .burst = 5}};
  /// Each answer of a back end may have an unreadable report or header; a few lines are enough to
  /// notice it.
  transport::LineLimit load_limit_{{.lines_per_second = 0.1, .burst = 5}};
  /// A congested link causes dozens of late writes at once.
  transport::LineLimit write_limit_{{.lines_per_second = 2, .burst = 10}};
  std::uint64_t late_writes_ = 0;
  std::uint64_t unparsed_loads_ = 0;
  /// Names of unrecognized headers. Their number is limited, as back ends choose them.
  std::set<std::string> unrecognized_names_;
  std::uint64_t unrecognized_headers_ = 0;
};

}  // namespace planktray::router
