// A new version gives one part of a traffic_split the weight 0. Checks CONFIG: from `config_apply`
// after its acknowledgement on, no request goes to that part, and in a calm time of 200 requests a
// part's share is within 0.2 of its weight's.
#include "kit.hpp"

using namespace kit;

namespace {

constexpr int kRoutes = 6;
constexpr double kConfigApply = 2.0;  // the bound config_apply of the small sites
constexpr double kContact = 3.0;

// Routes 1 to 3 shift from the first service to the second; routes 4 to 6 get a service that no version
// has sent anything to yet, with weight 0, in the first place.
bool is_canary(int route) { return route > kRoutes / 2; }

std::string split_route(int number, const std::string& first, int first_weight, const std::string& second, int second_weight) {
  const std::string n = std::to_string(number);
  return "{\"resource_kind\":\"routes\",\"metadata\":{\"name\":\"r-" + n +
         "\"},\"specification\":{\"host\":\"jepu9.example\",\"path_prefix\":\"/r" + n +
         "/\",\"kind\":\"safe\",\"timeout\":\"1500ms\",\"objective_latency\":\"300ms\",\"priority\":1,\"traffic_split\":"
         "[{\"service\":\"" + first + "\",\"weight\":" + std::to_string(first_weight) + "},{\"service\":\"" + second +
         "\",\"weight\":" + std::to_string(second_weight) + "}],\"max_attempts\":2}}";
}

// @param shifts the first part of each route has the weight 0.
std::string version(int number, int base, bool shifts) {
  std::vector<std::string> resources;
  for (int i = 1; i <= kRoutes; ++i) {
    resources.push_back(!shifts        ? split_route(i, "huvo11a", 900, "kafi81c", 100)
                        : is_canary(i) ? split_route(i, "tina22c", 0, "huvo11a", 1)
                                       : split_route(i, "huvo11a", 0, "kafi81c", 1));
  }
  resources.push_back(service_json("tina22c", false));
  resources.push_back(service_json("huvo11a", false));
  resources.push_back(service_json("kafi81c", false));
  resources.push_back(limits_json());
  return config_json(number, base, resources);
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 5) {
    return 2;
  }
  const bool trouble = strcmp(getenv("TROUBLE") == nullptr ? "1" : getenv("TROUBLE"), "0") != 0;
  record().open(argv[4]);
  Fleet fleet(argv[3], 2);
  if (!fleet.start(argv[1], argv[2])) {
    return 2;
  }
  struct Request {
    int route = 0;
    double sent = 0;
    std::string ran_by;
    int status = 0;
  };
  std::mutex mutex;
  std::map<std::string, Request> requests;
  std::vector<std::unique_ptr<Target>> targets;
  for (int i = 1; i <= 6; ++i) {
    Target::Options options;
    options.service = i <= 2 ? "huvo11a" : (i <= 4 ? "kafi81c" : "tina22c");
    options.address = fleet.target_address(i);
    targets.push_back(std::make_unique<Target>(options, fleet.control(), [&, options](const Message& request) {
      const std::string id = request.header("X-Planktray-Request-Id");
      const std::lock_guard<std::mutex> lock(mutex);
      requests[id].ran_by = options.service;
      return "ran " + id;
    }));
    if (!targets.back()->start("i-" + std::to_string(i))) {
      return 2;
    }
  }
  if (!put_config(fleet, version(1, 0, false)) || !fleet.wait_ready(15)) {
    return 2;
  }
  sleep_ms(3000);
  std::atomic<bool> stop{false};
  std::atomic<int> next{0};
  std::vector<std::thread> clients;
  // Each client sends to one route at one router, about 20 requests a second.
  for (int route = 1; route <= kRoutes; ++route) {
    for (const Process& router : fleet.routers) {
      clients.emplace_back([&, route, front = router.front] {
        std::mt19937 random(std::random_device{}());
        std::uniform_real_distribution<double> pause(20, 80);
        Conn conn;
        while (!stop) {
          const std::string id = "q" + std::to_string(++next);
          {
            const std::lock_guard<std::mutex> lock(mutex);
            requests[id].route = route;
            requests[id].sent = now_s();
          }
          if (conn.is_open() || conn.connect(front, 1000)) {
            conn.send(request_text("GET", "/r" + std::to_string(route) + "/" + id,
                                   {{"Host", "jepu9.example"}, {"X-Planktray-Request-Id", id}, {"X-Planktray-Deadline-Ms", "1200"}}, ""));
            const Message answer = conn.read(true, now_s() + 2);
            const std::lock_guard<std::mutex> lock(mutex);
            requests[id].status = answer.status;
            if (!answer.whole || strcasecmp(answer.header("Connection").c_str(), "close") == 0) {
              conn.close();
            }
          }
          sleep_ms(pause(random));
        }
      });
    }
  }
  sleep_ms(5000);
  const bool taken = put_config(fleet, version(2, 1, trouble));
  const double acknowledged = now_s();
  sleep_ms(25000);
  stop = true;
  for (auto& client : clients) {
    client.join();
  }
  if (!taken) {
    return 2;
  }
  const std::lock_guard<std::mutex> lock(mutex);
  int broken = 0, never_allowed = 0, served = 0;
  double first = 1e9, last = 0;
  std::map<int, std::pair<int, int>> shares;  // by route: all, run by its first part, in the calm time
  for (const auto& [id, request] : requests) {
    record().line("%s: route r-%d, sent %+.3f s from the acknowledgement, answered %d, run by %s", id.c_str(), request.route,
                  request.sent - acknowledged, request.status, request.ran_by.c_str());
    served += request.status == 200 ? 1 : 0;
    const double after = request.sent - acknowledged;
    const std::string first_part = trouble && is_canary(request.route) ? "tina22c" : "huvo11a";
    never_allowed += request.ran_by == "tina22c" ? 1 : 0;
    if (trouble && after > kConfigApply && request.ran_by == first_part) {
      ++broken;
      first = std::min(first, after);
      last = std::max(last, after);
    }
    if (after > kConfigApply + kContact && !request.ran_by.empty()) {
      ++shares[request.route].first;
      shares[request.route].second += request.ran_by == first_part ? 1 : 0;
    }
  }
  int off = 0;
  for (const auto& [route, share] : shares) {
    const double wanted = trouble ? 0.0 : 0.9;
    const double seen = share.first == 0 ? wanted : static_cast<double>(share.second) / share.first;
    const bool is_off = share.first >= 200 && std::abs(seen - wanted) > 0.2;
    off += is_off ? 1 : 0;
    record().line("route r-%d from 5 s after the acknowledgement: %d requests, share of its first part %.3f, by weight %.1f%s", route, share.first,
                  seen, wanted, is_off ? "  CONFIG: more than 0.2 off" : "");
  }
  if (broken > 0) {
    record().line("CONFIG: %d requests sent %.2f to %.2f s after the acknowledgement were run by a part whose weight is 0", broken, first, last);
    record().line("ROUTE: %d requests were run by tina22c, to which no version has given a weight above 0", never_allowed);
  }
  printf("requests %zu, answered 200: %d; later than config_apply at the part with weight 0: %d (until %.1f s); routes with a share 0.2 off: %d; run by a service that never had a weight: %d\n",
         requests.size(), served, broken, last, off, never_allowed);
  fleet.end_all();
  fflush(stdout);
  _exit(broken > 0 || off > 0 ? 1 : (served * 10 < static_cast<int>(requests.size()) * 9 ? 2 : 0));
}
