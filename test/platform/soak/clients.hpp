#pragma once
/// The clients of the soak test, which use persistent connections, and the checks of the responses
/// to clients and of the arrivals at targets. Time bounds are checked only for routers that had no
/// injected fault during the guaranteed quiet time; all other guarantees are always checked.

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
  std::uint64_t refused = 0;          ///< with the guarantee that the request was not executed
  std::uint64_t not_found = 0;        ///< no such route
  std::uint64_t other = 0;            ///< other failures, or no response
  std::uint64_t checked_added = 0;    ///< requests checked against a route that had to be in force
  std::uint64_t checked_removed = 0;  ///< requests checked against a route that had to be gone
  std::uint64_t pipelined = 0;        ///< sent without waiting for the previous response
  std::uint64_t at_cut_routers = 0;   ///< requests checked at routers without a path to targets
  std::uint64_t checked_leaving = 0;  ///< checked arrivals at draining targets (acknowledged)
};

class Clients {
 public:
  Clients(const Processes& processes, const Operator& changes, Promises promises,
          std::uint64_t seed);

  /// Sends `count` requests, each to a random router.
  void send(TimePoint now, int count);
  /// Requests one path from every router. @param done receives the number of routers that served
  /// it.
  void ask_all(const std::string& path, const std::function<void(std::size_t served)>& done);
  void on_arrival(const Arrival& arrival);
  /// Reports that the router has lost its path to the targets, or has it back.
  void on_path_changed(TimePoint now, std::size_t router, bool is_cut);
  /// Reports that this process was stalled and did not read its sockets until `to`. Arrivals carry
  /// the time at which they were read, which may be late after a stall.
  void on_stall(TimePoint to) { stalled_until_ = to; }
  /// Runs the checks that need the complete run.
  void check_at_end();

  const ClientCounts& counts() const { return counts_; }
  const std::vector<std::string>& violations() const { return violations_; }

 private:
  struct Request {
    std::size_t router = 0;
    pid_t router_pid = 0;
    std::string path;
    bool safe = true;
    std::optional<std::size_t> route;  ///< index of a changing route; empty: a permanent route
    TimePoint sent;
    bool was_refused = false;  ///< the response guarantees that it was not executed
    int runs = 0;
  };
  /// Requests of undisturbed routers while others have no path to the targets.
  struct Share {
    std::uint64_t sent = 0;
    std::uint64_t served = 0;
  };

  void send_one(TimePoint now, std::size_t router, const std::string& path, bool safe,
                std::optional<std::size_t> route, const std::function<void(unsigned)>& done);
  /// Sends several pipelined requests on one connection: mostly safe ones, mixed with unsafe ones
  /// that may be executed only once.
  void send_pipeline(TimePoint now, std::size_t router);
  std::string record_request(TimePoint now, std::size_t router, const std::string& path, bool safe,
                             std::optional<std::size_t> route);
  void on_answer(const std::string& id, const transport::HttpResponse& response);
  void check_route(const std::string& id, const Request& request, unsigned status);
  /// Counts a request for the comparison of routers with and without a path.
  void count_share(const Request& request, unsigned status);
  void check_connection_loss(const std::string& id, const Request& request,
                             const transport::HttpResponse& response);
  /// Returns how long after its acknowledgement a change must be in force at this router, or
  /// nothing if no bound applies.
  std::optional<Duration> bound(const Process& router, TimePoint since, TimePoint now) const;
  void record_violation(const std::string& rule, const std::string& id, const Request& request,
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
  std::map<std::size_t, TimePoint> cut_since_;  ///< routers without a path to the targets
  Share at_cut_routers_;
  Share elsewhere_;
  ClientCounts counts_;
  std::vector<std::string> violations_;
};

}  // namespace planktray::soak
