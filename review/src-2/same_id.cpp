// A target that owns keys crashes and starts again within a second, under the id it had before.
// Checks OWNER: a key that moves to another life of a target comes with a higher fencing token.
#include "kit.hpp"

using namespace kit;

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
  struct Taken {
    int target, life;
    Held held;
  };
  std::mutex mutex;
  std::vector<Taken> taken;
  std::atomic<int> broken{0}, runs{0};
  std::vector<std::unique_ptr<Target>> targets;
  const auto born = [] { return std::to_string(static_cast<long long>(time(nullptr)) * 1000 + 1); };
  for (int i = 1; i <= 3; ++i) {
    Target::Options options;
    options.service = "sledovanie";
    options.address = fleet.target_address(i);
    options.sharded = true;
    targets.push_back(std::make_unique<Target>(
        options, fleet.control(),
        [&](const Message& request) {
          ++runs;
          return "ran " + request.header("X-Planktray-Request-Id");
        },
        [&, i](const Held& held, int life) {
          const std::lock_guard<std::mutex> lock(mutex);
          record().line("target %d, life %d: takes %u-%u, fence %lu", i, life, held.from, held.to, held.fence);
          for (const Taken& other : taken) {
            const bool is_other = other.target != i || other.life != life;
            if (is_other && other.held.from <= held.to && held.from <= other.held.to && other.held.fence >= held.fence) {
              ++broken;
              record().line("OWNER: keys %u-%u come to target %d, life %d with fence %lu; target %d, life %d had them with %lu",
                            held.from, held.to, i, life, held.fence, other.target, other.life, other.held.fence);
              break;
            }
          }
          taken.push_back({i, life, held});
        }));
    if (!targets.back()->start("i-" + std::to_string(i), born())) {
      return 2;
    }
  }
  const std::string host = "jepu9.example";
  if (!put_config(fleet, config_json(1, 0, {route_json("r-1", host, "/pallets/", "safe", "sledovanie"),
                                            service_json("sledovanie", true), limits_json()})) ||
      !fleet.wait_ready(15)) {
    return 2;
  }
  const auto keys_held = [&] {
    unsigned sum = 0;
    for (auto& target : targets) {
      for (const Held& one : target->held()) {
        sum += one.to - one.from + 1;
      }
    }
    return sum;
  };
  const double until = now_s() + 20;
  while (keys_held() < 65536) {
    if (now_s() > until) {
      return 2;
    }
    sleep_ms(100);
  }
  std::atomic<bool> stop{false};
  std::atomic<int> sent{0}, served{0};
  std::thread client([&] {
    Conn conn;
    while (!stop) {
      const std::string id = "q" + std::to_string(++sent);
      const std::string front = fleet.routers[static_cast<std::size_t>(sent % 2)].front;
      if (conn.connect(front, 1000)) {
        conn.send(request_text("GET", "/pallets/" + id, {{"Host", host}, {"X-Planktray-Request-Id", id}, {"X-Planktray-Deadline-Ms", "1200"},
                                                         {"X-Planktray-Shard-Key", std::to_string(sent * 7919 % 65536)}}, ""));
        served += conn.read(true, now_s() + 2).status == 200 ? 1 : 0;
      }
      sleep_ms(25);
    }
  });
  sleep_ms(5000);
  for (int round = 1; round <= 3; ++round) {
    Target& victim = *targets[static_cast<std::size_t>(round - 1)];
    record().line("target %d crashes, holding %zu ranges", round, victim.held().size());
    victim.crash();
    sleep_ms(800);
    const std::string id = "i-" + std::to_string(round) + (trouble ? "" : "-again");
    record().line("target %d starts again as %s, life %d", round, id.c_str(), victim.life() + 1);
    if (!victim.start(id, born())) {
      return 2;
    }
    sleep_ms(8000);
  }
  stop = true;
  client.join();
  record().line("requests %d, served %d, runs %d; keys taken under a fence that another life had: %d", sent.load(), served.load(),
                runs.load(), broken.load());
  printf("requests %d, served %d, runs %d; grants with a fence that another life had: %d\n", sent.load(), served.load(), runs.load(),
         broken.load());
  fleet.end_all();
  fflush(stdout);
  _exit(broken > 0 ? 1 : (served * 2 < sent ? 2 : 0));
}
