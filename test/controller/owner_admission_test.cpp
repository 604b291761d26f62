/// The fraction of the requests for an owner's keys that routers may send.

#include "controller/core/owner_admission.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>

namespace planktray::controller {
namespace {

using common::BackendId;
using common::TimePoint;
using std::chrono::milliseconds;

const BackendId kOwner{7};
constexpr std::uint32_t kSlots = 4;

TimePoint at(int ms) { return TimePoint(std::chrono::seconds(100)) + milliseconds(ms); }

/// An owner that answers up to `capacity` requests per second and queues the others.
class Owner {
 public:
  Owner(double demand, double capacity) : demand_(demand), capacity_(capacity) {}

  /// Runs for a number of updates, one per 300 ms. @param limit maximum length of the queue.
  void run(int updates, double limit = 16) {
    constexpr double kUpdateSeconds = 0.3;
    for (int i = 0; i < updates; ++i) {
      now_ms_ += 300;
      const double sent = demand_ * admitted_share();
      const double answered = std::min(capacity_, sent + queue_ / kUpdateSeconds);
      queue_ = std::clamp(queue_ + (sent - answered) * kUpdateSeconds, 0.0, limit);
      routing::TargetTime time{kOwner, 100'000};
      time.samples = static_cast<std::uint32_t>(std::lround(answered * kUpdateSeconds));
      time.reports = time.samples;
      time.waiting = static_cast<std::uint32_t>(std::lround(queue_ * time.reports));
      admission_.add_reports(at(now_ms_), {time});
      admission_.update(at(now_ms_), [this](BackendId /*id*/) {
        return OwnerAdmission::Owner{demand_, kSlots};
      });
    }
  }
  double admitted_share() const {
    const auto owners = admission_.crowded_owners();
    return owners.empty() ? 1.0 : owners.front().permille / 1000.0;
  }
  double queue() const { return queue_; }
  void set_demand(double demand) { demand_ = demand; }

 private:
  OwnerAdmission admission_{OwnerAdmissionOptions()};
  double demand_;
  double capacity_;
  double queue_ = 0;
  int now_ms_ = 0;
};

TEST_CASE("an owner that keeps up is sent all requests") {
  Owner owner(15, 16);
  owner.run(30);
  CHECK(owner.admitted_share() == 1.0);
}

// Guards against a queue that stays full as long as the demand persists.
TEST_CASE("the queue of a crowded owner shrinks and the owner stays busy") {
  Owner owner(32, 16);
  owner.run(40);
  CHECK(owner.queue() <= 2.0 * kSlots);
  CHECK(owner.queue() > 0);
  CHECK(owner.admitted_share() == doctest::Approx(0.5).epsilon(0.2));
}

TEST_CASE("a crowded owner is sent all requests again once demand has fallen") {
  Owner owner(48, 16);
  owner.run(30);
  CHECK(owner.admitted_share() < 0.6);
  owner.set_demand(8);
  owner.run(20);
  CHECK(owner.admitted_share() == 1.0);
}

TEST_CASE("a minimum share is admitted however long the queue is") {
  Owner owner(1000, 1);
  owner.run(30, 400);
  CHECK(owner.admitted_share() >= OwnerAdmissionOptions().minimum_share);
}

TEST_CASE("an owner without reports is removed") {
  OwnerAdmission admission{OwnerAdmissionOptions()};
  const auto owner_of = [](BackendId /*id*/) { return OwnerAdmission::Owner{40, kSlots}; };
  for (int ms = 300; ms <= 3000; ms += 300) {
    admission.add_reports(at(ms), {{kOwner, 100'000, 4, 4, 64}});
    admission.update(at(ms), owner_of);
  }
  CHECK(admission.crowded_owners().size() == 1);
  admission.update(at(8000), owner_of);
  CHECK(admission.crowded_owners().empty());
}

}  // namespace
}  // namespace planktray::controller
