#pragma once
/// Log lines of a router's decisions about single requests: every attempt that failed, every
/// repeat and every request that was not answered by a back end. Requests that were answered at
/// the first attempt are counted in metrics only.

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
  /// The request ends without a back end's answer.
  void refused(common::TimePoint now, const ReadRequest& read, const Answer& answer,
               common::Duration took);

 private:
  transport::LineLimit limit_;
};

}  // namespace planktray::router
