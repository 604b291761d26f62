#pragma once
/// Log lines of a router's decisions about single requests: every attempt that failed, every
/// repeat and every request that was not answered by a back end. Requests that were answered at
/// the first attempt are counted in metrics only.

#include <cstdint>
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

class RequestLog {
 public:
  /// An attempt that is not the first of its request goes out.
  void repeated(common::TimePoint now, const ReadRequest& read, const Forward& forward);
  void attempt_failed(common::TimePoint now, const ReadRequest& read, const SentAttempt& attempt,
                      const AttemptResult& result, const transport::HttpResponse& response);
  /// A back end tells its load in a form that could not be read whole.
  void load_unread(common::TimePoint now, const SentAttempt& attempt, const std::string& text);
  std::uint64_t unread_loads() const { return unread_loads_; }
  /// The request ends without a back end's answer.
  void refused(common::TimePoint now, const ReadRequest& read, const Answer& answer,
               common::Duration took);

 private:
  transport::LineLimit limit_;
  /// Every answer of a back end may carry such a report: a line now and then is enough to see it.
  transport::LineLimit load_limit_{{.lines_per_second = 0.1, .burst = 5}};
  std::uint64_t unread_loads_ = 0;
};

}  // namespace planktray::router
