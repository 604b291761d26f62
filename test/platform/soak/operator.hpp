#pragma once
/// The operator of the soak test: makes one configuration change at a time, resends it until it is
/// acknowledged, and records when each route was added and removed.

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "common/random.hpp"
#include "common/time.hpp"
#include "transport/http_client.hpp"

namespace planktray::soak {

using common::TimePoint;

/// A route that is added and later removed. Times are those at which the operator received the
/// acknowledgements.
struct ChangingRoute {
  std::string path;
  std::optional<TimePoint> added;
  bool removal_sent = false;
  std::optional<TimePoint> removed;
};

/// What the configuration says of requests.
struct ConfiguredLimits {
  std::uint64_t max_body_bytes = 1048576;
  std::string header_timeout = "3000ms";
  std::string idle_timeout = "15000ms";
  std::string route_timeout = "1500ms";
};

class Operator {
 public:
  static constexpr const char* kHost = "soak.example";
  static constexpr const char* kSafePath = "/safe/";
  static constexpr const char* kUnsafePath = "/unsafe/";

  Operator(std::vector<std::string> controllers, std::uint64_t seed, ConfiguredLimits limits = {});

  /// Begins the next change if none is pending and one is due; resends an unacknowledged change.
  void tick(TimePoint now, bool may_start);
  bool has_first_configuration() const { return acknowledged_ > 0; }
  bool is_idle() const { return !change_.has_value(); }
  std::uint64_t acknowledged() const { return acknowledged_; }
  const std::vector<ChangingRoute>& routes() const { return routes_; }
  /// One entry for each change that a controller refused.
  const std::vector<std::string>& violations() const { return violations_; }

 private:
  struct Change {
    std::uint64_t version = 0;
    std::string path;  ///< of the API request
    std::string body;
    std::optional<std::size_t> adds;
    std::optional<std::size_t> removes;
    TimePoint next_try;
    std::string next_controller;
    bool is_under_way = false;
  };

  void begin_change();
  nlohmann::json first_resources() const;
  void send(TimePoint now);
  void on_answer(const transport::HttpResponse& response);

  std::vector<std::string> controllers_;
  ConfiguredLimits limits_;
  common::RandomEngine random_;
  transport::HttpClient client_;
  std::vector<ChangingRoute> routes_;
  std::optional<Change> change_;
  std::uint64_t version_ = 0;  ///< the newest acknowledged version
  std::uint64_t acknowledged_ = 0;
  TimePoint next_change_;
  std::vector<std::string> violations_;
};

}  // namespace planktray::soak
