// Again and again targets fail part of their requests with a 500 of their own for some seconds (srv_grey, errors
// all). The platform ends a process over its
// memory_mb and starts it again. Checks Fault: on a tenth of the machines in use (two at least)
// processes end by themselves three times in the day (memory over the limit counts).
#include <cmath>

#include "kit.hpp"

using namespace kit;

namespace {

constexpr double kSeconds = 96;
constexpr std::size_t kBodyBytes = 200'000;  // of such an answer; the sites' largest answers have 540,000
constexpr double kFailing = 0.55;            // x
constexpr double kGreySeconds = 8.5;         // for_s
constexpr double kPauseSeconds = 3.5;
constexpr long kMemoryMb = 260;    // memory_mb of a front machine
constexpr int kClients = 16;       // at each router
constexpr int kEndsInADay = 3;

long resident_kb(pid_t pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/status");
  std::string line;
  while (std::getline(in, line)) {
    if (line.rfind("VmRSS", 0) == 0) {
      return atol(line.c_str() + 6);
    }
  }
  return 0;
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
  const std::string large(kBodyBytes, 'x');
  std::atomic<long> runs{0}, failed{0};
  std::vector<std::unique_ptr<Target>> targets;
  const double began = now_s();
  for (int i = 1; i <= 4; ++i) {
    Target::Options options;
    options.service = "archivo";
    options.address = fleet.target_address(i);
    options.work_ms = 2;
    // The large answers are 500s with the disruption, 200s without it.
    options.status = [&, trouble](const std::string& body) { return trouble && body.size() == kBodyBytes ? 500 : 200; };
    targets.push_back(std::make_unique<Target>(options, fleet.control(), [&](const Message&) -> std::string {
      thread_local std::mt19937 random(std::random_device{}());
      ++runs;
      const bool is_grey = std::fmod(now_s() - began, kGreySeconds + kPauseSeconds) < kGreySeconds;
      if (!is_grey || std::uniform_real_distribution<double>(0, 1)(random) >= kFailing) {
        return "ran";
      }
      ++failed;
      return large;
    }));
    if (!targets.back()->start("i-" + std::to_string(i))) {
      return 2;
    }
  }
  const std::string host = "jepu9.example";
  if (!put_config(fleet, config_json(1, 0, {route_json("r-1", host, "/audit/", "safe", "archivo"), service_json("archivo", false),
                                            limits_json()})) ||
      !fleet.wait_ready(15)) {
    return 2;
  }
  sleep_ms(3000);
  std::atomic<bool> stop{false};
  std::atomic<long> sent{0}, served{0}, refused{0}, other{0}, unanswered{0};
  std::vector<std::thread> clients;
  for (int c = 0; c < 2 * kClients; ++c) {
    clients.emplace_back([&, front = fleet.routers[static_cast<std::size_t>(c % 2)].front] {
      Conn conn;
      while (!stop) {
        const std::string id = "q" + std::to_string(++sent);
        if (conn.is_open() || conn.connect(front, 1000)) {
          conn.send(request_text("GET", "/audit/" + id, {{"Host", host}, {"X-Planktray-Request-Id", id}, {"X-Planktray-Deadline-Ms", "1500"}}, ""));
          const Message answer = conn.read(true, now_s() + 3);
          (!answer.whole ? unanswered : answer.status == 200 ? served : answer.status == 503 ? refused : other)++;
          if (!answer.whole || strcasecmp(answer.header("Connection").c_str(), "close") == 0) {
            conn.close();
          }
        }
        sleep_ms(conn.is_open() ? 35 : 200);
      }
    });
  }
  // The platform: looks at the memory of each router, ends the process over the limit and starts it again.
  std::vector<int> ends(2, 0);
  const double until = now_s() + kSeconds;
  double next_line = 0;
  while (now_s() < until && !(ends[0] >= kEndsInADay && ends[1] >= kEndsInADay)) {
    const bool tells = now_s() > next_line;
    next_line = tells ? now_s() + 2 : next_line;
    for (std::size_t i = 0; i < 2; ++i) {
      Process& router = fleet.routers[i];
      const bool by_itself = fleet.has_ended(router);
      const long memory = by_itself ? 0 : resident_kb(router.pid);
      if (tells) {
        record().line("%s: %ld KB resident; in all %ld requests, %ld served, %ld refused, %ld other answers, %ld without an answer; runs %ld, large %ld",
                      router.name.c_str(), memory, sent.load(), served.load(), refused.load(), other.load(), unanswered.load(), runs.load(), failed.load());
      }
      if (by_itself || memory > kMemoryMb * 1024) {
        ++ends[i];
        record().line("platform: %s is over memory_mb (%ld KB resident): killed, end %d", router.name.c_str(), memory, ends[i]);
        fleet.end(router);
        sleep_ms(500);
        fleet.launch(router, false);
      }
    }
    sleep_ms(100);
  }
  stop = true;
  for (auto& client : clients) {
    client.join();
  }
  const bool broken = ends[0] >= kEndsInADay && ends[1] >= kEndsInADay;
  if (broken) {
    record().line("Fault: processes of 2 of 5 machines ended over their memory %d and %d times", ends[0], ends[1]);
  }
  printf("requests %ld, served %ld, refused %ld, other answers %ld, without an answer %ld; runs %ld, large answers %ld; ends over memory_mb: %d, %d\n",
         sent.load(), served.load(), refused.load(), other.load(), unanswered.load(), runs.load(), failed.load(), ends[0], ends[1]);
  fleet.end_all();
  fflush(stdout);
  _exit(broken ? 1 : (served * 2 < sent ? 2 : 0));
}
