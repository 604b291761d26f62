#include "limits/memory_account.hpp"

#include <doctest/doctest.h>

#include <memory>

#include "limits/connection_limits.hpp"

namespace planktray::limits {
namespace {

constexpr std::size_t kMebibyte = std::size_t{1} << 20U;
constexpr std::size_t kCapacity = 16 * kMebibyte;

TimePoint at(std::int64_t ms) { return TimePoint(std::chrono::milliseconds(ms)); }

/// A holder that gives up all of its memory when it is revoked.
class Holder final : public MemoryHolder {
 public:
  explicit Holder(MemoryAccount& account) : share_(&account, *this) {}
  void hold(Phase phase, std::size_t bytes, TimePoint progress, std::size_t announced = 0) {
    share_.set({phase, bytes, announced, progress});
  }
  void revoke_memory() override {
    is_revoked_ = true;
    share_.set({});
  }
  const MemoryAccount::Share& share() const { return share_; }
  bool is_revoked() const { return is_revoked_; }

 private:
  MemoryAccount::Share share_;
  bool is_revoked_ = false;
};

TEST_CASE("an account without a capacity admits everything") {
  MemoryAccount account(0);
  Holder holder(account);
  holder.hold(Phase::kReceiving, 1000 * kMebibyte, at(0));
  CHECK(account.admit_large(at(5000), 1000 * kMebibyte));
  CHECK(account.keep_within(at(5000), holder.share()));
}

TEST_CASE("a holder that ends gives back what it held") {
  MemoryAccount account(kCapacity);
  auto holder = std::make_unique<Holder>(account);
  holder->hold(Phase::kRunning, 13 * kMebibyte, at(0));
  CHECK_FALSE(account.admit_large(at(0), 2 * kMebibyte));
  holder.reset();
  CHECK(account.held() == 0);
  CHECK(account.admit_large(at(0), 2 * kMebibyte));
}

TEST_CASE("the holder that holds most for longest without progress is revoked first") {
  MemoryAccount account(kCapacity);
  Holder small(account);
  Holder large(account);
  Holder moving(account);
  small.hold(Phase::kReceiving, kMebibyte, at(0));
  large.hold(Phase::kReceiving, 6 * kMebibyte, at(0));
  moving.hold(Phase::kReceiving, 7 * kMebibyte, at(2000));
  CHECK(account.admit_large(at(2000), 4 * kMebibyte));
  CHECK(large.is_revoked());
  CHECK_FALSE(small.is_revoked());
  CHECK_FALSE(moving.is_revoked());
}

// Guards against requests in progress that lose their memory to newer ones.
TEST_CASE("a request that does not fit is refused while all others make progress") {
  MemoryAccount account(kCapacity);
  Holder receiving(account);
  Holder running(account);
  receiving.hold(Phase::kReceiving, 6 * kMebibyte, at(1500));
  running.hold(Phase::kRunning, 6 * kMebibyte, at(0));
  CHECK_FALSE(account.admit_large(at(2000), 4 * kMebibyte));
  CHECK_FALSE(receiving.is_revoked());
  CHECK_FALSE(running.is_revoked());
}

TEST_CASE("large messages leave a part of the capacity to small ones") {
  MemoryAccount account(kCapacity);
  Holder large(account);
  Holder small(account);
  large.hold(Phase::kReceiving, account.large_capacity() + 1, at(0));
  CHECK_FALSE(account.keep_within(at(0), large.share()));
  large.hold(Phase::kReceiving, account.large_capacity(), at(0));
  CHECK(account.keep_within(at(0), large.share()));
  small.hold(Phase::kReceiving, kSmallMessageBytes, at(0));
  CHECK(account.keep_within(at(0), small.share()));
}

// Guards against a client that takes all memory by a large Content-Length alone.
TEST_CASE("a length that is announced and not sent reserves little") {
  MemoryAccount account(kCapacity);
  Holder claiming(account);
  claiming.hold(Phase::kReceiving, 1000, at(0), 14 * kMebibyte);
  CHECK(account.admit_large(at(0), 12 * kMebibyte));
}

// Guards against several large responses that are admitted together and do not fit together.
TEST_CASE("a response that was admitted reserves its whole length") {
  MemoryAccount account(kCapacity);
  Holder response(account);
  response.hold(Phase::kRunning, 1000, at(0), 8 * kMebibyte);
  CHECK_FALSE(account.admit_large(at(0), 8 * kMebibyte));
}

TEST_CASE("a message that can never fit is refused at once") {
  MemoryAccount account(kCapacity);
  Holder stalled(account);
  stalled.hold(Phase::kReceiving, kMebibyte, at(0));
  CHECK_FALSE(account.admit_large(at(9000), account.large_capacity() + 1));
  CHECK_FALSE(stalled.is_revoked());
}

// The largest body that operators allow, on the smallest machine of a router.
TEST_CASE("the smallest machine has memory for the largest body") {
  MemoryAccount account(connection_memory(120 * kMebibyte));
  CHECK(account.admit_large(at(0), 64 * kMebibyte));
}

TEST_CASE("descriptors are left for the connections of the process itself") {
  for (const std::size_t descriptors : {std::size_t{400}, std::size_t{3075}, std::size_t{4100}}) {
    const RouterConnections router = router_connections(descriptors);
    CHECK(router.callers + router.relays + router.status < descriptors * 4 / 5);
    const ControllerConnections controller = controller_connections(descriptors);
    CHECK(controller.control + controller.operators < descriptors * 9 / 10);
  }
}

}  // namespace
}  // namespace planktray::limits
