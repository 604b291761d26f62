/// Back ends that are registered with the same address. Heartbeats may arrive after their sender
/// has ended, so the order of registrations does not tell which process is running.

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "cell.hpp"

namespace planktray::controller {
namespace {

using ownership::OrderOutcome;
using testing::at_ms;

constexpr const char* kAddress = "10.0.0.1:80";
constexpr const char* kOtherAddress = "10.0.0.2:80";
constexpr std::int64_t kHeartbeatInterval = 1000;

/// A cell with one keyed service. Grants are answered at once by the process that is running at
/// their address.
struct AddressCell : testing::Cell {
  std::string running;         ///< the process at `kAddress`; empty: none
  bool answers_orders = true;  ///< whether that process answers orders
  bool has_other = false;      ///< the back end "other" runs at `kOtherAddress`
  std::size_t answered = 0;    ///< of `grants`
  std::uint64_t sequence = 0;
  ownership::OrderOutcome silence = OrderOutcome::kNotSent;

  AddressCell() {
    config::RouteChange change;
    change.version = 1;
    change.replaces_all = true;
    config::RoutedService keyed;
    keyed.name = common::ServiceName("s");
    keyed.keyed = true;
    change.services.push_back(keyed);
    ControllerCore& core = *replicas[leader()];
    core.change_routes(at_ms(time), core.new_request(), change);
    exchange();
  }
  void send_heartbeat(const std::string& incarnation, const std::string& address = kAddress) {
    Heartbeat heartbeat;
    heartbeat.incarnation = common::Incarnation(incarnation);
    heartbeat.address = address;
    heartbeat.service = "s";
    heartbeat.sequence = ++sequence;
    ControllerCore& core = *replicas[leader()];
    core.heartbeat(at_ms(time), core.new_request(), heartbeat);
    exchange();
  }
  ownership::OrderReply reply_to(const ownership::GrantOrder& order) const {
    ownership::OrderReply reply;
    if (order.address == kOtherAddress) {
      reply.outcome = has_other ? OrderOutcome::kAccepted : OrderOutcome::kNotSent;
    } else if (running.empty() || !answers_orders) {
      reply.outcome = silence;
    } else if (order.incarnation.value == running) {
      reply.outcome = OrderOutcome::kAccepted;
    } else {
      reply.outcome = OrderOutcome::kReplaced;
      reply.answered_by = common::Incarnation(running);
    }
    return reply;
  }
  /// Passes time; the running process sends heartbeats and answers grants.
  void live_for(std::int64_t length) {
    for (const std::int64_t end = time + length; time < end;) {
      if (!running.empty() && time % kHeartbeatInterval == 0) {
        send_heartbeat(running);
      }
      if (has_other && time % kHeartbeatInterval == 0) {
        send_heartbeat("other", kOtherAddress);
      }
      run_for(1);
      while (answered < grants.size()) {
        const ownership::GrantOrder order = grants[answered++];
        replicas[leader()]->on_order_reply(at_ms(time), order.id, reply_to(order));
        exchange();
      }
    }
  }
  const ownership::BackendRecord* record(const std::string& incarnation) const {
    return replicas[leader()]->state().find_incarnation(common::Incarnation(incarnation));
  }
  bool owns_keys(const std::string& incarnation) const {
    const ownership::BackendRecord* backend = record(incarnation);
    return backend != nullptr && replicas[leader()]->state().owns_keys(backend->id);
  }
};

// Guards against a late first heartbeat of an earlier process that ends the running one at its
// address: its keys went to another owner while it held them, and it got no work any more.
TEST_CASE("a late heartbeat of an earlier incarnation does not end the running one") {
  AddressCell cell;
  cell.running = "younger";
  cell.live_for(3000);
  REQUIRE(cell.owns_keys("younger"));
  const common::BackendId owner = cell.record("younger")->id;
  cell.send_heartbeat("older");
  REQUIRE(cell.record("older") != nullptr);
  for (int i = 0; i < 400; ++i) {
    cell.live_for(10);
    REQUIRE(cell.owns_keys("younger"));
    REQUIRE_FALSE(cell.record("younger")->ended);
  }
  CHECK(cell.record("younger")->id == owner);
  CHECK(cell.record("older") == nullptr);  // the answer of the running process has ended it
  CHECK(cell.replicas[cell.leader()]->state().has_departed(common::Incarnation("older")));
}

// Guards against a removal for silence after which a held-up heartbeat registers the process again
// and ends its successor.
TEST_CASE("a heartbeat of a back end that was removed for silence does not end its successor") {
  AddressCell cell;
  cell.has_other = true;
  cell.running = "older";
  cell.live_for(3000);
  cell.running = "";
  cell.live_for(40'000);
  REQUIRE(cell.record("older") == nullptr);
  cell.running = "younger";
  cell.has_other = false;  // its keys pass to the only back end left
  cell.live_for(10'000);
  REQUIRE(cell.owns_keys("younger"));
  cell.send_heartbeat("older");
  cell.live_for(4000);
  CHECK(cell.owns_keys("younger"));
  CHECK(cell.record("older") == nullptr);
}

// Guards against a late registration that is assigned keys, which the running process would have to
// refuse.
TEST_CASE("a late incarnation is assigned no keys while another one at its address owns some") {
  AddressCell cell;
  cell.running = "younger";
  cell.live_for(3000);
  cell.answers_orders = false;
  cell.silence = OrderOutcome::kUnanswered;
  cell.send_heartbeat("older");
  cell.live_for(1500);
  CHECK(cell.owns_keys("younger"));
  CHECK_FALSE(cell.owns_keys("older"));
}

// Guards against keys that wait for the end of a hold although the successor of their owner answers
// at its address.
TEST_CASE("the answer of a successor ends the owner of the keys at once") {
  AddressCell cell;
  cell.running = "older";
  cell.live_for(3000);
  REQUIRE(cell.owns_keys("older"));
  cell.running = "";
  cell.live_for(1000);
  cell.running = "younger";
  cell.send_heartbeat("younger");
  cell.live_for(150);
  CHECK(cell.record("older") == nullptr);
  CHECK(cell.owns_keys("younger"));
}

// Guards against a successor that waits for ever behind an owner that never answers.
TEST_CASE("a successor gets the keys of a silent owner once its hold has ended") {
  AddressCell cell;
  cell.running = "older";
  cell.live_for(3000);
  cell.running = "";
  cell.live_for(1000);
  cell.running = "younger";
  cell.answers_orders = false;  // its heartbeats arrive, orders to it do not
  cell.live_for(10'000);
  CHECK(cell.owns_keys("younger"));
  CHECK_FALSE(cell.owns_keys("older"));
}

}  // namespace
}  // namespace planktray::controller
