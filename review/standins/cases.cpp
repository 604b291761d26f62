// The runs of the scripts under review/: cases NAME RECORD. Exits with 1 if the rule was broken, 0 if
// it held and 2 if the case could not run. TROUBLE=0 leaves the disruption out; TROUBLE=answered leaves
// out the late order alone.
#include <filesystem>
#include <random>
#include <utility>

#include "fleet.hpp"
#include "target.hpp"

using namespace review;

namespace {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

/// What every case needs: a fleet in a temporary folder, targets, and the watch over them.
struct Stage {
  std::string folder;
  std::unique_ptr<Fleet> fleet;
  Owners owners;
  std::vector<std::unique_ptr<Target>> targets;
  std::atomic<bool> stop{false};
  std::thread watcher;
  bool trouble = true;
  bool answers = false;  ///< TROUBLE=answered: all but the late order, which is carried out and answered at once

  explicit Stage(int routers) {
    std::string name = (std::filesystem::temp_directory_path() / "planktray-review-XXXXXX").string();
    folder = mkdtemp(name.data());
    fleet = std::make_unique<Fleet>(folder, routers);
    const char* setting = std::getenv("TROUBLE");
    trouble = setting == nullptr || std::string(setting) != "0";
    answers = setting != nullptr && std::string(setting) == "answered";
    SAY("trouble %s", answers ? "on, but every order is answered in time" : trouble ? "on" : "off");
  }
  ~Stage() {
    stop = true;
    if (watcher.joinable()) {
      watcher.join();
    }
    for (auto& target : targets) {
      target->stop();
    }
    fleet->end_all();
    if (std::getenv("KEEP") == nullptr) {
      (void)!std::system(("rm -rf '" + folder + "'").c_str());
    } else {
      std::fprintf(stderr, "%s\n", folder.c_str());
    }
  }
  void watch() {
    watcher = std::thread([this] { owners.watch(stop); });
  }
  std::vector<Address> control() { return {fleet->control(0), fleet->control(1), fleet->control(2)}; }
  Target& add_target(const std::string& id, int host, std::vector<Address> control_addresses, int work_ms = 0) {
    Target::Options options;
    options.id = id;
    options.address = {fleet->network() + ".3." + std::to_string(host), 9000};
    options.service = "keys";
    options.zone = host % 2 == 1 ? "zone-a" : "zone-b";
    options.control = std::move(control_addresses);
    options.work_ms = work_ms;
    targets.push_back(std::make_unique<Target>(owners, options));
    return *targets.back();
  }
  /// Waits until these targets hold all keys together, each of them some, for `calm_ms`.
  bool wait_until_held(const std::vector<Target*>& holders, int calm_ms, int timeout_ms) {
    const TimePoint until = Clock::now() + Ms(timeout_ms);
    TimePoint since = Clock::now();
    while (Clock::now() < until) {
      int sum = 0;
      bool all_hold = true;
      for (const Target* target : holders) {
        const int count = target->held_count();
        sum += count;
        all_hold = all_hold && count > 0;
      }
      if (sum != kKeys || !all_hold) {
        since = Clock::now();
      }
      if (Clock::now() - since >= Ms(calm_ms)) {
        return true;
      }
      sleep_ms(20);
    }
    return false;
  }
  int result() const { return owners.broken() > 0 ? kBroken : kHeld; }
};

/// Routes for requests that may run at most once, to a service divided by key.
const char* kUnsafeConfiguration =
    "{\"version\":1,\"base_version\":0,\"resources\":["
    "{\"resource_kind\":\"routes\",\"metadata\":{\"name\":\"r-2\"},\"specification\":{\"host\":\"a.example\",\"path_prefix\":\"/two/\","
    "\"kind\":\"unsafe\",\"timeout\":\"2000ms\",\"objective_latency\":\"1000ms\",\"priority\":1,\"service\":\"keys\",\"max_attempts\":2}},"
    "{\"resource_kind\":\"routes\",\"metadata\":{\"name\":\"r-3\"},\"specification\":{\"host\":\"a.example\",\"path_prefix\":\"/three/\","
    "\"kind\":\"unsafe\",\"timeout\":\"2000ms\",\"objective_latency\":\"1000ms\",\"priority\":1,\"service\":\"keys\",\"max_attempts\":3}},"
    "{\"resource_kind\":\"services\",\"metadata\":{\"name\":\"keys\"},\"specification\":{\"health_check_path\":\"/health\","
    "\"max_connections\":130,\"protocol\":\"h1\",\"tls\":false,\"sharded\":true,\"warmup\":\"3s\",\"grants\":\"invocation\"}},"
    "{\"resource_kind\":\"limits\",\"metadata\":{},\"specification\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
    "\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"}}]}";

const char* kConfiguration =
    "{\"version\":1,\"base_version\":0,\"resources\":["
    "{\"resource_kind\":\"routes\",\"metadata\":{\"name\":\"r-1\"},\"specification\":{\"host\":\"a.example\",\"path_prefix\":\"/keys/\","
    "\"kind\":\"safe\",\"timeout\":\"2000ms\",\"objective_latency\":\"1000ms\",\"priority\":1,\"service\":\"keys\",\"max_attempts\":2}},"
    "{\"resource_kind\":\"services\",\"metadata\":{\"name\":\"keys\"},\"specification\":{\"health_check_path\":\"/health\","
    "\"max_connections\":130,\"protocol\":\"h1\",\"tls\":false,\"sharded\":true,\"warmup\":\"3s\",\"grants\":\"invocation\"}},"
    "{\"resource_kind\":\"limits\",\"metadata\":{},\"specification\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
    "\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"}}]}";

int could_not_run(const char* why) {
  SAY("the case could not run: %s", why);
  std::fprintf(stderr, "%s\n", why);
  return kCouldNotRun;
}

/// The link of one machine to a controller. While cut, it keeps the bytes that were sent over it; they
/// arrive when it delivers them, also after their sender has ended.
class Link {
 public:
  Link(const Address& at, const Address& to, bool is_cut) : to_(to), is_cut_(is_cut) {
    listener_ = listen_at(at);
    thread_ = std::thread([this] { run(); });
  }
  ~Link() {
    stop_ = true;
    thread_.join();
    for (auto& thread : threads_) {
      thread.join();
    }
    close(listener_);
  }
  bool is_listening() const { return listener_ >= 0; }
  void deliver() { is_cut_ = false; }
  /// The answers to what was delivered late.
  std::vector<int> late_answers() {
    const std::lock_guard lock(mutex_);
    return late_answers_;
  }

 private:
  void run() {
    while (!stop_) {
      pollfd wait{listener_, POLLIN, 0};
      if (poll(&wait, 1, 20) == 1) {
        const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        threads_.emplace_back([this, fd] { pass(fd); });
      }
    }
  }
  void pass(int fd) {
    std::string buffer;
    const auto request = read_message(fd, buffer, Clock::now() + std::chrono::seconds(5));
    const bool was_cut = is_cut_;
    while (is_cut_ && !stop_) {
      sleep_ms(2);
    }
    if (request.has_value() && !stop_) {
      const auto answer = call_control(to_, "POST", request->word(1), request->body, 1000);
      if (was_cut) {
        const std::lock_guard lock(mutex_);
        late_answers_.push_back(answer.has_value() ? answer->status() : 0);
      }
      if (answer.has_value()) {
        (void)send_all(fd, answer_text(answer->status(), "Content-Type: application/json\r\n", answer->body));
      }
    }
    close(fd);
  }
  Address to_;
  std::atomic<bool> is_cut_;
  std::atomic<bool> stop_{false};
  int listener_ = -1;
  std::thread thread_;
  std::vector<std::thread> threads_;
  std::mutex mutex_;
  std::vector<int> late_answers_;
};

/// Sends requests for keys through the first router until told to stop.
void send_requests(Fleet& fleet, const std::atomic<bool>& stop, std::map<std::string, int>& counts) {
  std::mt19937 random(7);
  std::mutex mutex;
  std::vector<std::thread> threads;
  for (int number = 1; !stop; ++number) {
    const int key = static_cast<int>(random() % kKeys);
    threads.emplace_back([&, number, key] {
      const std::string id = "q" + std::to_string(number);
      const auto answer = call(fleet.front(0), "GET", "/keys/" + id,
                               "Host: a.example\r\nX-Planktray-Request-Id: " + id +
                                   "\r\nX-Planktray-Deadline-Ms: 2000\r\nX-Planktray-Shard-Key: " + std::to_string(key) + "\r\n",
                               "", 2500);
      const std::string outcome = answer.has_value() ? std::to_string(answer->status()) : "no answer";
      SAY("client: request %s key %d -> %s", id.c_str(), key, outcome.c_str());
      const std::lock_guard lock(mutex);
      ++counts[outcome];
    });
    sleep_ms(100);
  }
  for (auto& thread : threads) {
    thread.join();
  }
}

/// A heartbeat of x-1, delayed by a cut, arrives after x-1 has crashed and y-1 has registered at its address.
int late_heartbeat() {
  Stage stage(1);
  Fleet& fleet = *stage.fleet;
  if (!fleet.start_all()) {
    return could_not_run("a program does not start");
  }
  if (fleet.wait_for_leader(20000) < 0) {
    return could_not_run("no controller leads");
  }
  stage.watch();
  const Address link_address{fleet.network() + ".4.1", 8544};
  Link link(link_address, fleet.control(0), stage.trouble);
  if (!link.is_listening()) {
    return could_not_run("no port for the link");
  }
  SAY("the link of x-1 to the core is %s", stage.trouble ? "cut: what is sent over it is delayed" : "whole");
  Target& x = stage.add_target("x-1", 1, {link_address});
  if (!x.start()) {
    return could_not_run("no port for x-1");
  }
  x.begin_heartbeats();
  sleep_ms(500);
  SAY("x-1 crashes");
  x.stop();
  sleep_ms(1000);
  Target& y = stage.add_target("y-1", 1, stage.control(), 300);
  Target& z = stage.add_target("z-1", 2, stage.control(), 300);
  if (!y.start() || !z.start()) {
    return could_not_run("no port for a target");
  }
  y.begin_heartbeats();
  z.begin_heartbeats();
  sleep_ms(1000);
  if (fleet.order("/v1/configuration/put", kConfiguration, 10000) != 200) {
    return could_not_run("the configuration is not acknowledged");
  }
  if (!stage.wait_until_held({&y, &z}, 2000, 20000)) {
    return could_not_run("y-1 and z-1 do not come to hold all keys");
  }
  std::map<std::string, int> counts;
  std::atomic<bool> stop_clients{false};
  std::thread clients([&] { send_requests(fleet, stop_clients, counts); });
  sleep_ms(1000);
  SAY("before: y-1 holds %d keys, z-1 %d", y.held_count(), z.held_count());
  const int runs_before = y.runs();
  if (stage.trouble) {
    SAY("the heartbeat of x-1 arrives late");
    link.deliver();
  }
  sleep_ms(4000);
  SAY("4 s later: y-1 holds %d keys, z-1 %d", y.held_count(), z.held_count());
  sleep_ms(6000);
  SAY("10 s later: y-1 holds %d keys, z-1 %d; y-1 ran %d requests since", y.held_count(), z.held_count(), y.runs() - runs_before);
  stop_clients = true;
  clients.join();
  for (const auto& [outcome, count] : counts) {
    SAY("client: %d requests ended with %s", count, outcome.c_str());
  }
  for (const int status : link.late_answers()) {
    SAY("the late heartbeat was answered with %d", status);
  }
  return stage.result();
}

/// Another writer sends one heartbeat with a byte that is no UTF-8, as a target sends its own: every heartbeat
/// interval, and to the next controller when it gets no acknowledgement. The platform starts ended processes
/// again. Broken if processes of half of the core end by themselves three times.
int unreadable_heartbeat() {
  Stage stage(1);
  Fleet& fleet = *stage.fleet;
  if (!fleet.start_all()) {
    return could_not_run("a program does not start");
  }
  if (fleet.wait_for_leader(20000) < 0) {
    return could_not_run("no controller leads");
  }
  Target& t = stage.add_target("t-1", 1, stage.control());
  if (!t.start()) {
    return could_not_run("no port for t-1");
  }
  t.begin_heartbeats();
  sleep_ms(1000);
  if (fleet.order("/v1/configuration/put", kConfiguration, 10000) != 200) {
    return could_not_run("the configuration is not acknowledged");
  }
  if (!stage.wait_until_held({&t}, 2000, 20000)) {
    return could_not_run("t-1 does not come to hold all keys");
  }
  std::map<std::string, int> counts;
  std::atomic<bool> stop_clients{false};
  std::thread clients([&] { send_requests(fleet, stop_clients, counts); });
  // It names no target to use. The name of its zone is Latin-1; without the disruption it is UTF-8.
  const std::string body =
      std::string("{\"address\":\"") + fleet.network() +
      ".9.9:9000\",\"information\":{\"service\":\"not-ours\",\"version\":\"v1\",\"zone\":\"z" +
      (stage.trouble ? "\xf4" : "\xc3\xb4") +
      "ne\",\"slots\":3},\"status\":{\"state\":\"ready\",\"sequence\":1,\"cold_remaining\":\"0ms\"}}";
  std::map<int, int> ends;
  std::map<int, TimePoint> start_again;
  int node = 0;
  TimePoint next_heartbeat = Clock::now();
  const TimePoint until = Clock::now() + std::chrono::seconds(25);
  while (Clock::now() < until) {
    for (int i = 0; i < 3; ++i) {
      const std::string how = fleet.ended(fleet.controller(i));
      if (!how.empty()) {
        SAY("%s ended by itself: %s (%d times now)", fleet.controller(i).name.c_str(), how.c_str(), ++ends[i]);
        start_again[i] = Clock::now() + Ms(500);
      }
      if (start_again.contains(i) && Clock::now() >= start_again[i]) {
        start_again.erase(i);
        fleet.start(fleet.controller(i));
      }
    }
    if (Clock::now() >= next_heartbeat) {
      const auto answer = call_control(fleet.control(node), "POST", "/v1/instances/w-1/heartbeat", body, 1000);
      SAY("the other writer's heartbeat to %s: %d", fleet.controller(node).name.c_str(),
          answer.has_value() ? answer->status() : 0);
      const bool acknowledged = answer.has_value() && answer->status() / 100 == 2;
      node = acknowledged ? node : (node + 1) % 3;
      next_heartbeat = Clock::now() + Ms(acknowledged ? 1500 : 100);
    }
    sleep_ms(5);
  }
  stop_clients = true;
  clients.join();
  int often = 0;
  for (const auto& [number, count] : ends) {
    often += count >= 3 ? 1 : 0;
  }
  for (const auto& [outcome, count] : counts) {
    SAY("client: %d requests ended with %s", count, outcome.c_str());
  }
  SAY("controllers that ended by themselves three times or more: %d of 3", often);
  return often >= 2 ? kBroken : kHeld;
}

/// A target turns a request away and sends that answer twice; the second copy arrives late, where the answer
/// to the next request on the connection is expected. The next request is the router's own repeat.
int surplus_refusal() {
  Stage stage(1);
  Fleet& fleet = *stage.fleet;
  if (!fleet.start_all()) {
    return could_not_run("a program does not start");
  }
  if (fleet.wait_for_leader(20000) < 0) {
    return could_not_run("no controller leads");
  }
  Target& t = stage.add_target("t-1", 1, stage.control(), 200);
  struct Refused {
    int connection = -1;
    bool repeated = false;
    std::string answer;
  };
  std::mutex mutex;
  std::map<std::string, Refused> refused;
  t.before_run([&](const std::string& id, int connection, const std::string& headers) -> std::optional<std::string> {
    const std::lock_guard lock(mutex);
    const auto [found, is_first] = refused.try_emplace(id);
    if (is_first) {
      found->second.connection = connection;
      found->second.answer =
          answer_text(429, headers + "X-Planktray-Not-Executed: 1\r\nX-Planktray-Server-Load: 0,0,3\r\n", "");
      SAY("t-1 turns request %s away: 429, not executed (connection %d)", id.c_str(), connection);
      return found->second.answer;
    }
    if (stage.trouble && !std::exchange(found->second.repeated, true)) {
      SAY("t-1: the second copy of that answer to %s goes out late (connection %d; the request came again on %d)",
          id.c_str(), found->second.connection, connection);
      (void)send_all(found->second.connection, found->second.answer);
    }
    return std::nullopt;
  });
  if (!t.start()) {
    return could_not_run("no port for t-1");
  }
  t.begin_heartbeats();
  sleep_ms(1000);
  if (fleet.order("/v1/configuration/put", kUnsafeConfiguration, 10000) != 200) {
    return could_not_run("the configuration is not acknowledged");
  }
  if (!stage.wait_until_held({&t}, 2000, 20000)) {
    return could_not_run("t-1 does not come to hold all keys");
  }
  int refused_but_run = 0;
  int run_twice = 0;
  std::map<int, int> statuses;
  for (int number = 1; number <= 20; ++number) {
    const bool has_three = number % 2 == 0;
    const std::string id = "u" + std::to_string(number);
    const auto answer = call(fleet.front(0), "POST", std::string(has_three ? "/three/" : "/two/") + id,
                             "Host: a.example\r\nX-Planktray-Request-Id: " + id +
                                 "\r\nX-Planktray-Deadline-Ms: 2000\r\nX-Planktray-Shard-Key: " + std::to_string(number * 1000) + "\r\n",
                             "one order", 2500);
    const int status = answer.has_value() ? answer->status() : 0;
    ++statuses[status];
    sleep_ms(500);  // what runs on has begun by now
    const int runs = t.runs_of(id);
    SAY("client: unsafe request %s got %d; t-1 began it %d times", id.c_str(), status, runs);
    if (runs > 0 && (status == 429 || status == 503 || status == 408 || status == 421)) {
      ++refused_but_run;
      SAY("BROKEN REFUSED: %s got %d, which promises that it has not run, and t-1 ran it", id.c_str(), status);
    }
    if (runs > 1) {
      ++run_twice;
      SAY("BROKEN TWICE: %s may run at most once, and t-1 ran it %d times", id.c_str(), runs);
    }
  }
  for (const auto& [status, count] : statuses) {
    SAY("client: %d requests got %d", count, status);
  }
  SAY("%d refused although they ran, %d run more than once", refused_but_run, run_twice);
  if (statuses[0] == 20 || (!stage.trouble && statuses[200] == 0)) {
    return could_not_run("no request was answered");
  }
  return refused_but_run + run_twice > 0 ? kBroken : kHeld;
}

/// Waits until `holder` alone holds these keys. @return false after the timeout.
bool wait_until_only(const Target& holder, const GrantOrder& keys, int timeout_ms) {
  const TimePoint until = Clock::now() + Ms(timeout_ms);
  while (Clock::now() < until) {
    const auto held = holder.held(Clock::now());
    if (std::all_of(held.begin() + keys.first, held.begin() + keys.last + 1, [](char is_held) { return is_held != 0; })) {
      return true;
    }
    sleep_ms(10);
  }
  return false;
}

/// A grant that a target has left without an answer.
struct Withheld {
  std::mutex mutex;
  std::optional<GrantOrder> order;
  TimePoint at;
  std::optional<GrantOrder> get() {
    const std::lock_guard lock(mutex);
    return order;
  }
};

/// The target t-1 leaves one grant of the leader unanswered, the leader is killed at that moment, t-1 is
/// partitioned from the core, its keys go to u-1, and t-1 carries the grant out late.
/// @param first_grant the grant is the first one of a new assignment, and not a renewal.
int late_order(bool first_grant) {
  Stage stage(0);
  Fleet& fleet = *stage.fleet;
  if (!fleet.start_all()) {
    return could_not_run("a program does not start");
  }
  if (fleet.wait_for_leader(20000) < 0) {
    return could_not_run("no controller leads");
  }
  // No watch over keys that two targets hold: that part of the rule does not count orders taken late.
  Target& t = stage.add_target("t-1", 1, stage.control());
  Target& u = stage.add_target("u-1", 2, stage.control());
  Withheld withheld;
  const auto withhold_next = [&] {
    t.withhold([&](const GrantOrder& order) {
      const std::lock_guard lock(withheld.mutex);
      if (withheld.order.has_value()) {
        return false;
      }
      withheld.order = order;
      withheld.at = Clock::now();
      if (stage.answers) {
        SAY("t-1 answers the grant of keys %d-%d fence %ld", order.first, order.last, order.fence);
        return false;
      }
      SAY("t-1 leaves the grant of keys %d-%d fence %ld unanswered", order.first, order.last, order.fence);
      return true;
    });
  };
  if (!t.start() || !u.start()) {
    return could_not_run("no port for a target");
  }
  t.begin_heartbeats();
  u.begin_heartbeats();
  sleep_ms(2000);
  int leader = fleet.wait_for_leader(5000);
  if (leader < 0) {
    return could_not_run("no controller leads");
  }
  if (stage.trouble && first_grant) {
    withhold_next();
  }
  // In a thread, as the leader is killed while the operator waits or right after its answer.
  std::atomic<int> status{0};
  std::thread operator_call([&] { status = fleet.order("/v1/configuration/put", kConfiguration, 15000); });
  const auto kill_leader_at_grant = [&]() -> bool {
    const TimePoint until = Clock::now() + Ms(15000);
    while (!withheld.get().has_value()) {
      if (Clock::now() > until) {
        return false;
      }
      std::this_thread::sleep_for(std::chrono::microseconds(100));
    }
    fleet.signal(fleet.controller(leader), SIGKILL);
    return true;
  };
  const bool was_killed = !stage.trouble || !first_grant || kill_leader_at_grant();
  operator_call.join();
  if (status != 200 || !was_killed) {
    return could_not_run("the configuration is not acknowledged, or nothing was granted");
  }
  if (first_grant && stage.trouble) {
    t.cut();
  } else if (!stage.wait_until_held({&t, &u}, 2000, 20000)) {
    return could_not_run("t-1 and u-1 do not come to hold all keys");
  }
  if (!stage.trouble) {
    sleep_ms(15000);
    return stage.result();
  }
  if (!first_grant) {
    withhold_next();
    leader = fleet.wait_for_leader(5000);
    if (leader < 0 || !kill_leader_at_grant()) {
      return could_not_run("no renewal came");
    }
    if (fleet.wait_for_leader(10000) < 0) {
      return could_not_run("no new leader");
    }
    const int answered = t.grants_answered();
    const TimePoint until = Clock::now() + Ms(5000);
    while (t.grants_answered() <= answered && Clock::now() < until) {
      sleep_ms(5);
    }
    SAY("t-1 has answered a grant of the new leader");
    sleep_ms(300);
    t.cut();
  }
  const GrantOrder order = *withheld.get();
  const bool passed_on = wait_until_only(u, order, 9000);
  SAY("u-1 %s these keys", passed_on ? "holds" : "does not hold");
  const TimePoint earliest = withheld.at + Ms(2100);
  std::this_thread::sleep_until(std::max(earliest, std::min(Clock::now() + Ms(300), withheld.at + Ms(11500))));
  if (!stage.answers) {
    SAY("t-1 carries the grant out %.1f s after it came",
        std::chrono::duration<double>(Clock::now() - withheld.at).count());
    (void)t.take(order, "carried out late");
  }
  sleep_ms(1500);
  fleet.start(fleet.controller(leader));
  t.heal();
  sleep_ms(2000);
  return stage.result();
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 3) {
    std::fprintf(stderr, "cases NAME RECORD\n");
    return kCouldNotRun;
  }
  ::signal(SIGPIPE, SIG_IGN);
  (void)start_time();
  Record::get().open(argv[2]);
  const std::string name = argv[1];
  int result = kCouldNotRun;
  if (name == "unreadable-heartbeat") {
    result = unreadable_heartbeat();
  } else if (name == "late-heartbeat") {
    result = late_heartbeat();
  } else if (name == "surplus-refusal") {
    result = surplus_refusal();
  } else if (name == "late-renewal") {
    result = late_order(false);
  } else if (name == "late-first-grant") {
    result = late_order(true);
  }
  SAY("%s", result == kBroken ? "the rule was broken" : result == kHeld ? "the rule held" : "the case could not run");
  return result;
}
