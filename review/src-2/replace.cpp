// The machines of the core are replaced by empty ones at other addresses, two at a time, as planned work.
// Then the configuration changes. Checks CONFIG: a request sent later than config_apply after the
// acknowledgement is not handled as only the older version allows.
#include "kit.hpp"

using namespace kit;

namespace {

constexpr int kCore = 5;          // controllers at a time
constexpr int kAtOnce = 2;        // fault_tolerance.machines of the site
constexpr double kCatchUp = 6.0;  // catch_up of the site
constexpr double kConfigApply = 2.0;
constexpr double kContact = 3.0;
constexpr int kMostBatches = 14;
constexpr double kSeedLag = 3.0;  // seed_lag of the site

}  // namespace

int main(int argc, char** argv) {
  if (argc < 5) {
    return 2;
  }
  const bool trouble = strcmp(getenv("TROUBLE") == nullptr ? "1" : getenv("TROUBLE"), "0") != 0;
  record().open(argv[4]);
  Fleet fleet(argv[3], 2, kCore);
  fleet.tolerated = kAtOnce;
  if (!fleet.start(argv[1], argv[2])) {
    return 2;
  }
  std::mutex list_mutex;
  std::vector<std::string> list = fleet.control();
  const auto control_now = [&] {
    const std::lock_guard<std::mutex> lock(list_mutex);
    return list;
  };
  const auto refresh_list = [&] {
    const std::lock_guard<std::mutex> lock(list_mutex);
    list = fleet.control();
  };
  struct Request {
    double sent = 0;
    std::string ran_by;
    int router = 0, status = 0;
  };
  std::mutex mutex;
  std::map<std::string, Request> requests;
  std::vector<std::unique_ptr<Target>> targets;
  for (int i = 1; i <= 4; ++i) {
    Target::Options options;
    options.service = i <= 2 ? "canjeturno" : "cierrepago";
    options.address = fleet.target_address(i);
    targets.push_back(std::make_unique<Target>(options, control_now(), [&, options](const Message& request) {
      const std::string id = request.header("X-Planktray-Request-Id");
      const std::lock_guard<std::mutex> lock(mutex);
      requests[id].ran_by = options.service;
      return "ran " + id;
    }));
    targets.back()->control_now = control_now;
    if (!targets.back()->start("i-" + std::to_string(i))) {
      return 2;
    }
  }
  const std::string host = "jepu9.example";
  const auto version = [&](int number, int base, const std::string& service) {
    return config_json(number, base, {route_json("r-1", host, "/shifts/", "unsafe", service), service_json("canjeturno", false),
                                      service_json("cierrepago", false), limits_json()});
  };
  if (!put_config(fleet, version(1, 0, "canjeturno")) || !fleet.wait_ready(15)) {
    return 2;
  }
  sleep_ms(1000);
  std::atomic<bool> stop{false};
  std::atomic<int> next{0};
  std::vector<std::thread> clients;
  for (int c = 0; c < 2; ++c) {
    clients.emplace_back([&, c, front = fleet.routers[static_cast<std::size_t>(c)].front] {
      Conn conn;
      while (!stop) {
        const std::string id = "q" + std::to_string(++next);
        {
          const std::lock_guard<std::mutex> lock(mutex);
          requests[id].sent = now_s();
          requests[id].router = c + 1;
        }
        if (conn.is_open() || conn.connect(front, 1000)) {
          conn.send(request_text("POST", "/shifts/" + id,
                                 {{"Host", host}, {"X-Planktray-Request-Id", id}, {"X-Planktray-Deadline-Ms", "1500"}}, "swap"));
          const Message answer = conn.read(true, now_s() + 3);
          const std::lock_guard<std::mutex> lock(mutex);
          requests[id].status = answer.status;
          if (!answer.whole || strcasecmp(answer.header("Connection").c_str(), "close") == 0) {
            conn.close();
          }
        }
        sleep_ms(100);
      }
    });
  }
  // The seeds of each new settings file: the controller that leads, the newest other one, and one more.
  const auto choose_seeds = [&] {
    for (int tries = 0; tries < 20; ++tries) {
      std::vector<std::string> running = fleet.control();
      for (const std::string& address : running) {
        Conn conn;
        if (conn.connect(address, 300) && conn.send(request_text("GET", "/v1/configuration/get", {{"Host", address}}, "")) &&
            conn.read(true, now_s() + 1).status == 200) {
          fleet.chosen_seeds = {address};
          std::reverse(running.begin(), running.end());
          for (const std::string& other : running) {
            if (other != address && fleet.chosen_seeds.size() < 3) {
              fleet.chosen_seeds.push_back(other);
            }
          }
          return;
        }
      }
      sleep_ms(100);
    }
  };
  const char* wanted = getenv("BATCHES");  // fewer, to find the count from which on the rule breaks
  const int batches = wanted == nullptr ? kMostBatches : atoi(wanted);
  const int version_now = 1;
  for (int batch = 1; trouble && batch <= batches; ++batch) {
    std::vector<std::size_t> old;
    for (std::size_t i = 0; i < fleet.controllers.size() && old.size() < kAtOnce; ++i) {
      if (fleet.controllers[i].pid > 0) {
        old.push_back(i);
      }
    }
    choose_seeds();
    for (int i = 0; i < kAtOnce; ++i) {
      Process& one = fleet.add_controller();
      one.program = argv[2];
      fleet.launch(one, false);
    }
    refresh_list();
    sleep_ms(kSeedLag * 1000);
    choose_seeds();
    fleet.rewrite_settings();  // the list has changed: every running process gets other seeds
    sleep_ms((kCatchUp - kSeedLag) * 1000);  // the new ones have had their time: only now the old ones go
    for (const std::size_t i : old) {
      fleet.terminate(fleet.controllers[i], 6);
    }
    refresh_list();
  }
  sleep_ms(kSeedLag * 1000);
  choose_seeds();
  fleet.rewrite_settings();
  sleep_ms((kContact + 1) * 1000);  // calm: nothing of the core has changed for more than contact
  const bool taken = put_config(fleet, version(version_now + 1, version_now, "cierrepago"), 8);
  const double acknowledged = now_s();
  sleep_ms((kConfigApply + 4) * 1000);
  stop = true;
  for (auto& client : clients) {
    client.join();
  }
  if (!taken) {
    // The cell itself has been lost? The operator reads the configuration back, at any node, for longer than contact.
    record().line("operator: the change was not acknowledged");
    bool comes = false;
    for (const double until = now_s() + 2 * kContact; now_s() < until && !comes;) {
      for (const std::string& address : fleet.control()) {
        Conn conn;
        if (conn.connect(address, 500) && conn.send(request_text("GET", "/v1/configuration/get", {{"Host", address}}, ""))) {
          const int status = conn.read(true, now_s() + 1).status;
          record().line("operator: reads the configuration at %s, answered %d", address.c_str(), status);
          comes = comes || status == 200;
        }
      }
      sleep_ms(300);
    }
    printf("the change was not acknowledged; the configuration %s\n", comes ? "can be read" : "does not come when it is read back");
    fleet.end_all();
    fflush(stdout);
    if (!comes) {
      record().line("CONFIG: the configuration does not come when it is read back");
    }
    _exit(comes ? 2 : 1);
  }
  // For information: how many addresses of controllers each router has been told, by its log.
  for (const Process& router : fleet.routers) {
    std::ifstream log(router.log);
    std::string line;
    std::set<std::string> told;
    while (std::getline(log, line)) {
      const bool is_learnt = line.find("event=controller_learnt") != std::string::npos;
      const auto at = line.find(is_learnt ? "peer=" : "controllers_added=");
      if (at != std::string::npos && (is_learnt || line.find("event=settings_reloaded") != std::string::npos)) {
        std::istringstream list_text(line.substr(line.find('=', at) + 1));
        std::string word;
        list_text >> word;
        std::istringstream words(word);
        while (std::getline(words, word, ',')) {
          if (word.size() > 2) {
            told.insert(word);
          }
        }
      }
    }
    record().line("%s was told %zu addresses of controllers beside its first seeds", router.name.c_str(), told.size());
    printf("%s was told %zu addresses of controllers beside its first seeds\n", router.name.c_str(), told.size());
  }
  int ready = 0;
  for (const Process& router : fleet.routers) {
    Conn conn;
    if (conn.connect(router.ready, 500)) {
      conn.send(request_text("GET", "/v1/readiness", {{"Host", router.ready}}, ""));
      const int status = conn.read(true, now_s() + 1).status;
      ready += status == 200 ? 1 : 0;
      record().line("platform: %s says %d to readiness", router.name.c_str(), status);
    }
  }
  const std::lock_guard<std::mutex> lock(mutex);
  int broken = 0, served = 0, later = 0;
  for (const auto& [id, request] : requests) {
    const double after = request.sent - acknowledged;
    served += request.status == 200 ? 1 : 0;
    if (after > kConfigApply - 1) {
      record().line("%s: at front-%d, sent %+.3f s from the acknowledgement, answered %d, run by %s", id.c_str(), request.router, after,
                    request.status, request.ran_by.c_str());
    }
    later += after > kConfigApply ? 1 : 0;
    broken += after > kConfigApply && request.ran_by == "canjeturno" ? 1 : 0;
  }
  if (broken > 0) {
    record().line("CONFIG: %d of %d requests sent later than config_apply after the acknowledgement were run by the old service", broken, later);
  }
  printf("requests %zu, answered 200: %d; later than config_apply %d, of these run by the old service %d; routers ready %d of 2\n", requests.size(),
         served, later, broken, ready);
  fleet.end_all();
  fflush(stdout);
  _exit(broken > 0 ? 1 : (served * 10 < static_cast<int>(requests.size()) * 9 ? 2 : 0));
}
