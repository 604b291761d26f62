// A target of the users' platform that holds keys, and the check of the rule OWNER over all targets.
#pragma once

#include "net.hpp"

namespace review {

constexpr int kKeys = 65536;

/// Counts milliseconds of a text such as "1500ms" or "2.5s".
inline int duration_ms(const std::string& text) {
  const double number = std::atof(text.c_str());
  return static_cast<int>(text.find("ms") != std::string::npos ? number : number * 1000);
}

class Target;

/// All targets of a run, and what breaks OWNER.
class Owners {
 public:
  void add(Target* target) {
    const std::lock_guard lock(mutex_);
    targets_.push_back(target);
  }
  void break_rule(const std::string& what) {
    const std::lock_guard lock(mutex_);
    SAY("BROKEN OWNER: %s", what.c_str());
    broken_.push_back(what);
  }
  std::size_t broken() const {
    const std::lock_guard lock(mutex_);
    return broken_.size();
  }
  std::vector<Target*> targets() const {
    const std::lock_guard lock(mutex_);
    return targets_;
  }
  /// Looks every 20 ms whether two targets that are up hold a key, until told to stop.
  void watch(const std::atomic<bool>& stop);

 private:
  mutable std::mutex mutex_;
  std::vector<Target*> targets_;
  std::vector<std::string> broken_;
};

struct GrantOrder {
  int first = 0;
  int last = 0;
  long fence = 0;
  int hold_ms = 0;
  std::string handover;
};

class Target {
 public:
  struct Options {
    std::string id;
    Address address;
    std::string service;
    std::string zone;
    std::vector<Address> control;  ///< where its heartbeats go
    int heartbeat_ms = 1500;
    int work_ms = 0;
  };
  /// Called with each grant before it is taken; true: leave it without an answer, and it is not taken now.
  using Withhold = std::function<bool(const GrantOrder&)>;

  Target(Owners& owners, Options options)
      : owners_(owners), options_(std::move(options)), seen_(kKeys, 0), fence_(kKeys, 0), until_(kKeys) {
    owners_.add(this);
  }
  ~Target() { stop(); }

  bool start() {
    SAY("%s starts at %s", options_.id.c_str(), options_.address.text().c_str());
    up_ = true;
    return listen_again();
  }
  void begin_heartbeats() {
    heart_ = std::thread([this] { beat(); });
  }
  /// It crashes: it sends nothing more and holds nothing.
  void stop() {
    if (up_.exchange(false)) {
      SAY("%s ends", options_.id.c_str());
    }
    if (heart_.joinable()) {
      heart_.join();
    }
    if (server_ != nullptr) {
      server_->stop();
    }
  }
  /// It is partitioned from the core and from control: no order reaches it, no heartbeat leaves it.
  void cut() {
    SAY("%s is partitioned from the core", options_.id.c_str());
    cut_ = true;
    server_->stop();
  }
  void heal() {
    SAY("%s is joined to the core again", options_.id.c_str());
    cut_ = false;
    (void)listen_again();
  }
  void withhold(Withhold withhold) {
    const std::lock_guard lock(mutex_);
    withhold_ = std::move(withhold);
  }

  /// Called with each request that would run, its connection and the headers of answers; an answer means that
  /// the request does not run.
  using BeforeRun = std::function<std::optional<std::string>(const std::string& id, int connection,
                                                             const std::string& headers)>;
  void before_run(BeforeRun before_run) { before_run_ = std::move(before_run); }
  int runs_of(const std::string& id) const {
    const std::lock_guard lock(mutex_);
    const auto found = runs_by_id_.find(id);
    return found == runs_by_id_.end() ? 0 : found->second;
  }

  /// Carries a grant out. @return false if it has seen a higher fence.
  bool take(const GrantOrder& order, const char* how) {
    std::string broken;
    {
      const std::lock_guard lock(mutex_);
      for (int key = order.first; key <= order.last; ++key) {
        if (seen_[static_cast<std::size_t>(key)] > order.fence) {
          SAY("%s refuses keys %d-%d fence %ld: it has seen fence %ld", options_.id.c_str(), order.first, order.last,
              order.fence, seen_[static_cast<std::size_t>(key)]);
          return false;
        }
      }
    }
    const TimePoint now = Clock::now();
    for (Target* other : owners_.targets()) {
      if (other != this && broken.empty()) {
        broken = other->had_higher(order, *this);
      }
    }
    {
      const std::lock_guard lock(mutex_);
      bool is_new = false;
      for (int key = order.first; key <= order.last; ++key) {
        const auto at = static_cast<std::size_t>(key);
        is_new = is_new || fence_[at] != order.fence || until_[at] < now;
        seen_[at] = std::max(seen_[at], order.fence);
        fence_[at] = order.fence;
        until_[at] = now + Ms(order.hold_ms);
      }
      if (is_new) {
        SAY("%s takes keys %d-%d fence %ld for %d ms (%s)", options_.id.c_str(), order.first, order.last, order.fence,
            order.hold_ms, how);
      }
      if (!is_new) {
        broken.clear();  // a renewal of what it still holds takes no key
      }
    }
    if (!broken.empty()) {
      owners_.break_rule(options_.id + " takes keys " + std::to_string(order.first) + "-" + std::to_string(order.last) +
                         " with fence " + std::to_string(order.fence) + ", which is not above that with which " + broken);
    }
    return true;
  }
  bool holds(int key, TimePoint now) const {
    const std::lock_guard lock(mutex_);
    return up_ && until_[static_cast<std::size_t>(key)] > now;
  }
  std::vector<char> held(TimePoint now) const {
    const std::lock_guard lock(mutex_);
    std::vector<char> held(kKeys, 0);
    for (std::size_t key = 0; up_ && key < kKeys; ++key) {
      held[key] = until_[key] > now ? 1 : 0;
    }
    return held;
  }
  int held_count() const {
    const auto held_now = held(Clock::now());
    return static_cast<int>(std::count(held_now.begin(), held_now.end(), 1));
  }
  const std::string& id() const { return options_.id; }
  bool is_up() const { return up_; }
  int runs() const { return runs_; }
  int grants_answered() const { return grants_answered_; }
  long fence_of(int key) const {
    const std::lock_guard lock(mutex_);
    return fence_[static_cast<std::size_t>(key)];
  }
  std::string heartbeat_body(long sequence) const {
    return "{\"address\":\"" + options_.address.text() + "\",\"information\":{\"service\":\"" + options_.service +
           "\",\"version\":\"v1\",\"zone\":\"" + options_.zone + "\",\"slots\":3},\"status\":{\"state\":\"ready\",\"sequence\":" +
           std::to_string(sequence) + ",\"cold_remaining\":\"0ms\"}}";
  }

 private:
  std::string had_higher(const GrantOrder& order, const Target& /*asker*/) const {
    const std::lock_guard lock(mutex_);
    for (int key = order.first; key <= order.last; ++key) {
      const long fence = fence_[static_cast<std::size_t>(key)];
      if (fence >= order.fence) {
        return options_.id + " had key " + std::to_string(key) + " (fence " + std::to_string(fence) + ")";
      }
    }
    return "";
  }
  bool listen_again() {
    server_ = std::make_unique<Server>();
    return server_->start(options_.address, [this](const Message& request, int connection) { return handle(request, connection); });
  }
  std::string own_headers() const { return "X-Planktray-Instance-Id: " + options_.id + "\r\nContent-Type: application/json\r\n"; }

  std::optional<std::string> handle(const Message& request, int connection) {
    const std::string path = request.word(1);
    const std::string expected = request.header("x-planktray-expected-instance");
    std::string headers = own_headers();
    const std::string request_id = request.header("x-planktray-request-id");
    if (!request_id.empty()) {
      headers += "X-Planktray-Request-Id: " + request_id + "\r\n";
    }
    if (!expected.empty() && expected != options_.id) {
      return answer_text(421, headers + "X-Planktray-Not-Executed: 1\r\n", "");
    }
    if (path == "/health") {
      return answer_text(200, headers, "");
    }
    if (path == "/v1/grant") {
      const GrantOrder order = order_of(request);
      Withhold withhold;
      {
        const std::lock_guard lock(mutex_);
        withhold = withhold_;
      }
      if (withhold && withhold(order)) {
        return std::nullopt;
      }
      const bool taken = take(order, "in time");
      ++grants_answered_;
      return answer_text(taken ? 200 : 409, headers, "");
    }
    if (path == "/v1/release") {
      const GrantOrder order = order_of(request);
      const TimePoint now = Clock::now();
      const std::lock_guard lock(mutex_);
      for (int key = order.first; key <= order.last; ++key) {
        seen_[static_cast<std::size_t>(key)] = std::max(seen_[static_cast<std::size_t>(key)], order.fence);
        until_[static_cast<std::size_t>(key)] = std::min(until_[static_cast<std::size_t>(key)], now);
      }
      SAY("%s releases keys %d-%d fence %ld", options_.id.c_str(), order.first, order.last, order.fence);
      return answer_text(200, headers + "X-Planktray-Handover: h" + std::to_string(order.fence) + "\r\n", "");
    }
    const std::string key = request.header("x-planktray-shard-key");
    if (!key.empty() && !holds(std::atoi(key.c_str()), Clock::now())) {
      SAY("%s turns request %s away: it does not hold key %s", options_.id.c_str(), request_id.c_str(), key.c_str());
      return answer_text(421, headers + "X-Planktray-Not-Executed: 1\r\n", "");
    }
    if (before_run_) {
      const auto answer = before_run_(request_id, connection, headers);
      if (answer.has_value()) {
        return answer;
      }
    }
    ++runs_;
    {
      const std::lock_guard lock(mutex_);
      ++runs_by_id_[request_id];
    }
    SAY("%s runs request %s key %s", options_.id.c_str(), request_id.c_str(), key.c_str());
    sleep_ms(options_.work_ms);
    return answer_text(200, headers + "X-Planktray-Server-Seal: seal-" + request_id + "\r\n", "ran " + request_id);
  }
  static GrantOrder order_of(const Message& request) {
    return {std::atoi(field(request.body, "from").c_str()), std::atoi(field(request.body, "to_version").c_str()),
            std::atol(field(request.body, "fence").c_str()), duration_ms(field(request.body, "hold_time")),
            field(request.body, "handover")};
  }
  void beat() {
    const std::string path = "/v1/instances/" + options_.id + "/heartbeat";
    std::string next;
    std::size_t node = 0;
    for (long sequence = 1; up_; ++sequence) {
      bool acknowledged = false;
      if (!cut_) {
        const Address to = next.empty() ? options_.control[node % options_.control.size()] : Address::parse(next);
        const auto answer = call_control(to, "POST", path, heartbeat_body(sequence), 1000);
        acknowledged = answer.has_value() && answer->status() / 100 == 2;
        next = acknowledged ? field(answer->body, "heartbeat_address") : "";
        node += acknowledged ? 0 : 1;
        if (acknowledged && sequence == 1) {
          SAY("%s is registered", options_.id.c_str());
        }
      }
      const TimePoint until = Clock::now() + Ms(acknowledged ? options_.heartbeat_ms : 100);
      while (up_ && Clock::now() < until) {
        sleep_ms(10);
      }
    }
  }

  Owners& owners_;
  Options options_;
  mutable std::mutex mutex_;
  std::vector<long> seen_;    ///< highest fence seen, by key
  std::vector<long> fence_;   ///< fence of the last grant taken, by key
  std::vector<TimePoint> until_;
  Withhold withhold_;
  BeforeRun before_run_;
  std::map<std::string, int> runs_by_id_;
  std::unique_ptr<Server> server_;
  std::thread heart_;
  std::atomic<bool> up_{false};
  std::atomic<bool> cut_{false};
  std::atomic<int> runs_{0};
  std::atomic<int> grants_answered_{0};
};

inline void Owners::watch(const std::atomic<bool>& stop) {
  std::vector<TimePoint> since(kKeys);
  std::vector<char> both(kKeys, 0);
  std::vector<char> reported(kKeys, 0);
  while (!stop) {
    const TimePoint now = Clock::now();
    std::vector<char> holders(kKeys, 0);
    std::vector<std::string> names(1);
    std::vector<Target*> all = targets();
    std::vector<std::vector<char>> held;
    for (Target* target : all) {
      held.push_back(target->held(now));
      for (int key = 0; key < kKeys; ++key) {
        holders[static_cast<std::size_t>(key)] += held.back()[static_cast<std::size_t>(key)];
      }
    }
    int first = -1;
    int last = -1;
    for (int key = 0; key < kKeys; ++key) {
      const auto at = static_cast<std::size_t>(key);
      const bool is_double = holders[at] > 1;
      if (is_double && both[at] == 0) {
        since[at] = now;
      }
      both[at] = is_double ? 1 : 0;
      if (is_double && reported[at] == 0 && now - since[at] > Ms(500)) {
        reported[at] = 1;
        first = first < 0 ? key : first;
        last = key;
      }
    }
    if (first >= 0) {
      std::string who;
      for (std::size_t i = 0; i < all.size(); ++i) {
        who += held[i][static_cast<std::size_t>(first)] != 0 ? all[i]->id() + " (fence " + std::to_string(all[i]->fence_of(first)) + ") " : "";
      }
      break_rule("two targets that are up hold keys from " + std::to_string(first) + " on to " + std::to_string(last) +
                 " for longer than half a second: " + who);
    }
    sleep_ms(20);
  }
}

}  // namespace review
