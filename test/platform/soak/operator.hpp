#pragma once
/// The operator of the soak: changes the configuration one step after the other, sends each until
/// it is acknowledged, and remembers when every route came and went.

#include <optional>
#include <string>
#include <vector>

#include "common/random.hpp"
#include "common/time.hpp"
#include "transport/http_client.hpp"

namespace planktray::soak {

using common::TimePoint;

/// A route that comes and goes. Times are those of the acknowledgements, as the operator heard
/// them.
struct ChangingRoute {
  std::string path;
  std::optional<TimePoint> added;
  bool removal_sent = false;
  std::optional<TimePoint> removed;
};

class Operator {
 public:
  static constexpr const char* kHost = "soak.example";
  static constexpr const char* kSafePath = "/safe/";
  static constexpr const char* kUnsafePath = "/unsafe/";

  Operator(std::vector<std::string> controllers, std::uint64_t seed);

  /// Begins the next change where none is under way and one is due; sends again what has no answer.
  void tick(TimePoint now, bool may_begin);
  bool has_first_configuration() const { return acknowledged_ > 0; }
  bool is_idle() const { return !change_.has_value(); }
  std::uint64_t acknowledged() const { return acknowledged_; }
  const std::vector<ChangingRoute>& routes() const { return routes_; }
  /// Set where an acknowledged change was refused or the like.
  const std::vector<std::string>& violations() const { return violations_; }

 private:
  struct Change {
    std::uint64_t version = 0;
    std::string path;  ///< of the call
    std::string body;
    std::optional<std::size_t> adds;
    std::optional<std::size_t> removes;
    TimePoint next_try;
    std::string next_controller;
    bool is_under_way = false;
  };

  void begin_change();
  void send(TimePoint now);
  void on_answer(const transport::HttpResponse& response);

  std::vector<std::string> controllers_;
  common::RandomEngine random_;
  transport::HttpClient client_;
  std::vector<ChangingRoute> routes_;
  std::optional<Change> change_;
  std::uint64_t version_ = 0;  ///< the newest acknowledged
  std::uint64_t acknowledged_ = 0;
  TimePoint next_change_;
  std::vector<std::string> violations_;
};

}  // namespace planktray::soak
