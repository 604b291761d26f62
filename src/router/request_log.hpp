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
  common::TimePoint sent;
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
  /// An attempt that is not the first of its request goes out.
  void repeated(common::TimePoint now, const ReadRequest& read, const Forward& forward);
  void attempt_failed(common::TimePoint now, const ReadRequest& read, const SentAttempt& attempt,
                      const AttemptResult& result, const transport::HttpResponse& response);
  /// A back end tells its load in a form that could not be read whole.
  void load_unread(common::TimePoint now, const SentAttempt& attempt, const std::string& text);
  std::uint64_t unread_loads() const { return unread_loads_; }
  /// A back end says something that nothing here reads: one line for each new name, a few again.
  void header_unread(common::TimePoint now, const SentAttempt& attempt, const UnreadHeader& header);
  std::uint64_t unread_headers() const { return unread_headers_; }
  /// A back end names another limit than before, or none any more.
  void limit_changed(common::TimePoint now, const LimitChange& change);
  /// The request ends without a back end's answer.
  void refused(common::TimePoint now, const ReadRequest& read, const Answer& answer,
               const RefusalTimes& times);

 private:
  transport::LineLimit limit_;
  /// Updates come several times a second, and late ones come in rows.
  transport::LineLimit late_limit_{{.lines_per_second = 1, .burst = 5}};
  /// Every answer of a back end may carry such a report: a line now and then is enough to see it.
  transport::LineLimit load_limit_{{.lines_per_second = 0.1, .burst = 5}};
  std::uint64_t unread_loads_ = 0;
  std::set<std::string> unread_names_;  ///< of headers; bounded, as back ends choose them
  std::uint64_t unread_headers_ = 0;
};

}  // namespace planktray::router
