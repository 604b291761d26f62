#pragma once
/// The clients of the soak, who keep their connections, and the judge of what they and the targets
/// see. A promise bound by time is judged only for routers without trouble of their own for the
/// promised quiet time; everything else always.

#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/random.hpp"
#include "soak/operator.hpp"
#include "soak/processes.hpp"
#include "soak/targets.hpp"
#include "transport/http_client.hpp"

namespace planktray::soak {

struct ClientCounts {
  std::uint64_t sent = 0;
  std::uint64_t served = 0;
  std::uint64_t refused = 0;       ///< with the promise that it has not run
  std::uint64_t not_there = 0;     ///< no such route
  std::uint64_t other = 0;         ///< other failures, or no answer
  std::uint64_t judged_added = 0;  ///< requests on routes that had to be in force
  std::uint64_t judged_removed = 0;
  std::uint64_t pipelined = 0;       ///< sent on behind another without waiting for its answer
  std::uint64_t judged_leaving = 0;  ///< arrivals at targets that had been acknowledged as leaving
};

class Clients {
 public:
  Clients(const Processes& processes, const Operator& changes, Promises promises,
          std::uint64_t seed);

  /// Sends `count` requests to routers at random.
  void send(TimePoint now, int count);
  /// Asks every router for one path. @param done gets the number that served it.
  void ask_all(const std::string& path, const std::function<void(std::size_t served)>& done);
  void on_arrival(const Arrival& arrival);
  /// This process did not look at its sockets between `from` and `to`: arrivals then count as they
  /// were read, which may be late.
  void on_stall(TimePoint to) { stalled_until_ = to; }
  /// Judges what can only be judged at the end.
  void judge_end();

  const ClientCounts& counts() const { return counts_; }
  const std::vector<std::string>& violations() const { return violations_; }

 private:
  struct Request {
    std::size_t router = 0;
    pid_t router_pid = 0;
    std::string path;
    bool safe = true;
    std::optional<std::size_t> route;  ///< of those that change; else one that always holds
    TimePoint sent;
    bool was_promised = false;  ///< it was told that it has not run
    int runs = 0;
  };

  void send_one(TimePoint now, std::size_t router, const std::string& path, bool safe,
                std::optional<std::size_t> route, const std::function<void(unsigned)>& done);
  /// Sends several requests on one connection at once: safe ones, and now and then one that may run
  /// once among them.
  void send_pipeline(TimePoint now, std::size_t router);
  std::string remember(TimePoint now, std::size_t router, const std::string& path, bool safe,
                       std::optional<std::size_t> route);
  void on_answer(const std::string& id, const transport::HttpResponse& response);
  void judge_route(const std::string& id, const Request& request, unsigned status);
  void judge_cut(const std::string& id, const Request& request,
                 const transport::HttpResponse& response);
  /// The time after an acknowledgement in which a change must be in force at this router; nothing
  /// where it need not be by any time.
  std::optional<Duration> bound(const Process& router, TimePoint since, TimePoint now) const;
  void violate(const std::string& rule, const std::string& id, const Request& request,
               const std::string& what);

  const Processes& processes_;
  const Operator& changes_;
  Promises promises_;
  common::RandomEngine random_;
  common::RandomEngine pipeline_random_;
  transport::HttpClient client_;
  std::unordered_map<std::string, Request> requests_;
  std::uint64_t next_ = 0;
  TimePoint stalled_until_;
  ClientCounts counts_;
  std::vector<std::string> violations_;
};

}  // namespace planktray::soak
