// Clients read the headers of some answers with HEAD, then the answers with GET, on a `safe` route.
// Checks MIXED: a 2xx whose body is not the target's whole body.
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
  const std::string host = "jepu9.example";
  const auto body_of = [](const std::string& id) { return "the whole body for " + id + " " + std::string(600, 'x'); };
  std::mutex mutex;
  std::map<std::string, std::string> bodies;  // what a target made for each request
  std::vector<std::unique_ptr<Target>> targets;
  for (int i = 1; i <= 2; ++i) {
    Target::Options options;
    options.service = "terminy";
    options.address = fleet.target_address(i);
    targets.push_back(std::make_unique<Target>(options, fleet.control(), [&, i](const Message& request) {
      const std::string id = request.header("X-Planktray-Request-Id");
      const std::lock_guard<std::mutex> lock(mutex);
      bodies[id] = body_of(id);
      record().line("target %d: runs %s %s for %s", i, request.method.c_str(), request.target.c_str(), id.c_str());
      return bodies[id];
    }));
    if (!targets.back()->start("i-" + std::to_string(i))) {
      return 2;
    }
  }
  const std::string config = config_json(
      1, 0, {route_json("r-1", host, "/slots/", "safe", "terminy"), service_json("terminy", false), limits_json()});
  if (!put_config(fleet, config) || !fleet.wait_ready(15)) {
    return 2;
  }
  sleep_ms(3000);
  int sent = 0, served = 0, heads = 0, broken = 0;
  const auto call = [&](Conn& conn, const std::string& front, const std::string& method) {
    const std::string id = "q" + std::to_string(++sent);
    if (!conn.is_open() && !conn.connect(front, 1000)) {
      return;
    }
    conn.send(request_text(method, "/slots/" + id, {{"Host", host}, {"X-Planktray-Request-Id", id}, {"X-Planktray-Deadline-Ms", "1500"}}, ""));
    const Message answer = conn.read(true, now_s() + 3, method == "HEAD");
    std::string made;
    {
      const std::lock_guard<std::mutex> lock(mutex);
      made = bodies[id];
    }
    const std::string seal = answer.header("X-Planktray-Server-Seal");
    record().line("client: %s %s answered %d, seal %s, whole %d, body %zu of the target's %zu bytes", method.c_str(), id.c_str(),
                  answer.status, seal.c_str(), answer.whole ? 1 : 0, answer.body.size(), made.size());
    heads += method == "HEAD" ? 1 : 0;
    if (answer.status == 200 && answer.whole) {
      ++served;
      if (method == "GET" && (answer.body != made || seal != "seal-" + id)) {
        ++broken;
        record().line("MIXED: %s got a 200 with the target's seal and a body that is not the target's", id.c_str());
      }
    }
    if (!answer.whole || strcasecmp(answer.header("Connection").c_str(), "close") == 0) {
      conn.close();
    }
  };
  for (int i = 0; i < 200; ++i) {
    const std::string front = fleet.routers[static_cast<std::size_t>(i % 2)].front;
    Conn conn;  // a client with a connection of its own
    call(conn, front, trouble && i % 5 == 0 ? "HEAD" : "GET");
    call(conn, front, "GET");
    sleep_ms(20);
  }
  record().line("sent %d, of these HEAD %d, answered 200 whole %d, MIXED %d", sent, heads, served, broken);
  printf("sent %d, of these HEAD %d, answered 200 whole %d, MIXED %d\n", sent, heads, served, broken);
  fleet.end_all();
  fflush(stdout);
  const int code = served * 10 < sent * 9 && broken == 0 ? 2 : (broken > 0 ? 1 : 0);
  _exit(code);
}
