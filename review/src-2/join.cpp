// Four of five machines of the core are replaced by empty ones, two at a time, as planned work. The seeds of the
// settings files are three running controllers, none of them the one that leads. Checks CONFIG: the
// configuration is read back at the end.
#include "kit.hpp"

using namespace kit;

namespace {

constexpr int kCore = 5;          // controllers at a time
constexpr int kAtOnce = 2;        // fault_tolerance.machines of the site
constexpr double kCatchUp = 6.0;  // catch_up of the site
constexpr double kSeedLag = 3.0;
constexpr double kContact = 3.0;

Message get(const std::string& address) {
  Conn conn;
  if (!conn.connect(address, 500) || !conn.send(request_text("GET", "/v1/configuration/get", {{"Host", address}}, ""))) {
    return {};
  }
  return conn.read(true, now_s() + 1);
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 5) {
    return 2;
  }
  const bool trouble = strcmp(getenv("TROUBLE") == nullptr ? "1" : getenv("TROUBLE"), "0") != 0;
  const bool with_leader = getenv("SEEDS") != nullptr && strcmp(getenv("SEEDS"), "leader") == 0;  // for comparison
  record().open(argv[4]);
  Fleet fleet(argv[3], 1, kCore);
  fleet.tolerated = kAtOnce;
  if (!fleet.start(argv[1], argv[2])) {
    return 2;
  }
  const std::string host = "jepu9.example";
  const auto version = [&](int number, int base, const std::string& service) {
    return config_json(number, base, {route_json("r-1", host, "/shifts/", "unsafe", service), service_json("canjeturno", false),
                                      service_json("cierrepago", false), limits_json()});
  };
  if (!put_config(fleet, version(1, 0, "canjeturno")) || !fleet.wait_ready(15)) {
    return 2;
  }
  sleep_ms((kCatchUp + 2) * 1000);
  // The node that answers a read itself leads.
  const auto leader = [&]() -> std::string {
    for (int tries = 0; tries < 20; ++tries) {
      for (const std::string& address : fleet.control()) {
        if (get(address).status == 200) {
          return address;
        }
      }
      sleep_ms(200);
    }
    return "";
  };
  for (int batch = 1; trouble && batch <= 2; ++batch) {
    const std::string leads = leader();
    record().line("platform: %s leads", leads.c_str());
    if (leads.empty()) {
      break;
    }
    std::vector<std::size_t> old;
    for (std::size_t i = 0; i < kCore; ++i) {
      if (fleet.controllers[i].pid > 0 && fleet.controllers[i].control != leads && old.size() < kAtOnce) {
        old.push_back(i);
      }
    }
    // Three running controllers, the longest-standing first.
    fleet.chosen_seeds.clear();
    for (const std::string& address : fleet.control()) {
      if (fleet.chosen_seeds.size() < 3 && (address != leads || with_leader)) {
        fleet.chosen_seeds.push_back(address);
      }
    }
    if (with_leader && std::find(fleet.chosen_seeds.begin(), fleet.chosen_seeds.end(), leads) == fleet.chosen_seeds.end()) {
      fleet.chosen_seeds.back() = leads;
    }
    std::string text;
    for (const std::string& address : fleet.chosen_seeds) {
      text += " " + address;
    }
    record().line("platform: seeds%s", text.c_str());
    for (int i = 0; i < kAtOnce; ++i) {
      Process& one = fleet.add_controller();
      one.program = argv[2];
      fleet.launch(one, false);
    }
    sleep_ms(kSeedLag * 1000);
    fleet.rewrite_settings();
    sleep_ms((kCatchUp + 1) * 1000);  // in all more than catch_up since the new ones have started
    for (const std::string& address : fleet.control()) {
      record().line("operator: reads the configuration at %s, answered %d", address.c_str(), get(address).status);
    }
    for (const std::size_t i : old) {
      fleet.terminate(fleet.controllers[i], 6);
    }
    sleep_ms(kSeedLag * 1000);
  }
  sleep_ms((kCatchUp + kContact) * 1000);  // calm for catch_up + contact
  const bool taken = put_config(fleet, version(2, 1, "cierrepago"), 8);
  bool comes = false;
  for (const double until = now_s() + 3 * kContact; now_s() < until && !comes;) {
    for (const std::string& address : fleet.control()) {
      const Message answer = get(address);
      record().line("operator: reads the configuration at %s, answered %d, version %s", address.c_str(), answer.status,
                    json_value(answer.body, "version").c_str());
      comes = comes || answer.status == 200;
    }
    sleep_ms(300);
  }
  if (!comes) {
    record().line("CONFIG: the configuration does not come when it is read back");
  }
  printf("five controllers running; a new version %s; the configuration %s\n", taken ? "is acknowledged" : "is not acknowledged in 8 s",
         comes ? "can be read" : "does not come when it is read back");
  fleet.end_all();
  fflush(stdout);
  _exit(!comes ? 1 : (taken ? 0 : 2));
}
