#include "sim/backend_node.hpp"

namespace planktray::sim {
namespace {

constexpr Duration kStopCheck = std::chrono::milliseconds(50);
/// A leaving back end stays this long after its last work, for requests on their way.
constexpr Duration kStopQuiet = std::chrono::milliseconds(1000);

}  // namespace

std::string shard_name(const common::ServiceKey& service, common::ShardNumber shard) {
  return service.tenant.value + "/" + service.service.value + "/" + std::to_string(shard.value);
}

BackendNode::BackendNode(Environment& environment, Directory& directory, HostId host,
                         BackendSettings settings)
    : environment_(environment),
      directory_(directory),
      host_(host),
      settings_(std::move(settings)) {}

void BackendNode::start() {
  if (host().generation() > 0) {
    // Another process than the one that may have been leaving.
    environment_.observe(LeavingEnded{settings_.machine.value});
  }
  host().start();
  standin::BackendOptions options;
  options.incarnation =
      common::Incarnation(settings_.machine.value + "#" + std::to_string(host().generation()));
  options.slots = settings_.slots;
  options.ignore_fence = !environment_.safeguards.backends_fence;
  options.ignore_drain = !environment_.safeguards.leaving_refuse;
  core_.emplace(options);
  stopping_ = false;
  lying_ = false;
  observed_ = {false, 0};
}

void BackendNode::kill() {
  host().kill();
  drop_connections();
  core_.reset();
  observe_holdings(GapCause::kLoss);
}

void BackendNode::drop_connections() {
  for (auto& [id, work] : std::exchange(work_, {})) {
    work.reply({.broken = true, .refusal = {}, .answer_to = {}});
  }
  releases_.clear();
}

void BackendNode::stop_as_planned() {
  if (!is_up() || stopping_) {
    return;
  }
  environment_.observe(LeavingBegan{settings_.machine.value});
  stopping_ = true;
  last_work_ = environment_.now();
  core_->begin_drain();
  if (!environment_.safeguards.stops_drain) {
    stop_now();
    return;
  }
  host().after(kStopCheck, [this] { check_stop(); });
}

void BackendNode::check_stop() {
  const bool quiet = environment_.now() - last_work_ > kStopQuiet;
  observe_holdings(GapCause::kMove);
  if (core_->is_idle() && work_.empty() && held_.empty() && quiet) {
    stop_now();
  } else {
    host().after(kStopCheck, [this] { check_stop(); });
  }
}

void BackendNode::stop_now() {
  environment_.observe(PlannedStop{core_->holder().incarnation().value, work_.size()});
  kill();
}

void BackendNode::receive_work(std::uint64_t connection, const standin::WorkOrder& order,
                               WorkReplyHandler reply) {
  if (connection != host().generation()) {
    reply({.broken = true, .refusal = {}, .answer_to = {}});
    return;
  }
  const standin::WorkId id = next_id_++;
  work_[id] = {order.request.value,
               order.keyed ? shard_name(order.service, order.shard) : std::string(), order.epoch,
               environment_.now(), std::move(reply)};
  last_work_ = environment_.now();
  standin::WorkOrder mine = order;
  // The time left counts from arrival on this machine's own clock.
  mine.deadline = host().clock() + (order.deadline - TimePoint());
  core_->on_work(host().clock(), id, std::move(mine));
  flush();
}

ownership::LeaseReply BackendNode::receive_lease(const ownership::LeaseRequest& request) {
  ownership::LeaseReply reply = core_->on_lease(host().clock(), request);
  observe_holdings(GapCause::kLapse);
  if (lying_) {
    reply.load = {0, settings_.slots, 0};
    reply.state = common::chance(environment_.random, 0.5) ? ownership::BackendState::kCold
                                                           : ownership::BackendState::kReady;
  }
  return reply;
}

void BackendNode::receive_release(const ownership::ReleaseRequest& request, ReleaseHandler reply) {
  const standin::ReleaseId id = next_id_++;
  releases_[id] = std::move(reply);
  core_->on_release(host().clock(), id, request);
  observe_holdings(GapCause::kMove);
  flush();
  host().after(std::chrono::milliseconds(request.wait_ms) + kStopCheck, [this] {
    core_->tick(host().clock());
    flush();
  });
}

Duration BackendNode::work_time() {
  const auto mean = static_cast<std::uint64_t>(settings_.service_time.count());
  return Duration(common::uniform(environment_.random, mean / 2, mean + mean / 2));
}

void BackendNode::flush() {
  const standin::BackendOutput output = core_->take_output();
  for (const standin::WorkStarted& started : output.started) {
    host().after(work_time(), [this, id = started.work] {
      core_->on_work_finished(host().clock(), id);
      flush();
    });
  }
  for (const standin::WorkDone& done : output.done) {
    finish(done);
  }
  for (const standin::ReleaseDone& done : output.releases) {
    if (const auto node = releases_.extract(done.release)) {
      node.mapped()(done.reply);
    }
  }
}

void BackendNode::finish(const standin::WorkDone& done) {
  auto node = work_.extract(done.work);
  if (node.empty()) {
    return;
  }
  Work& work = node.mapped();
  WorkReply reply;
  reply.refusal = done.refusal;
  reply.answer_to = work.request;
  if (!done.refusal.has_value()) {
    environment_.observe(Executed{work.request, settings_.machine.value,
                                  core_->holder().incarnation().value, work.shard, work.epoch.value,
                                  work.accepted});
    environment_.measures.on_executed(environment_.now(), settings_.service,
                                      settings_.machine.value);
    const AnswerFaults& faults = environment_.answer_faults;
    if (common::chance(environment_.random, faults.crossed) && !last_request_.empty()) {
      reply.answer_to = last_request_;
    }
    reply.whole = !common::chance(environment_.random, faults.truncated);
    reply.broken = common::chance(environment_.random, faults.closed);
    last_request_ = work.request;
  }
  work.reply(reply);
}

void BackendNode::observe_holdings(GapCause cause) {
  if (!core_.has_value()) {
    for (const auto& [shard, epoch] : std::exchange(held_, {})) {
      environment_.observe(HoldEnded{
          shard, settings_.machine.value + "#" + std::to_string(host().generation() - 1)});
      environment_.measures.on_hold_ended(environment_.now(), shard, cause);
    }
    return;
  }
  const standin::LeaseHolder& holder = core_->holder();
  const std::pair<bool, std::uint64_t> version{holder.has_lease(host().clock()), holder.version()};
  if (version == observed_) {
    return;
  }
  observed_ = version;
  std::map<std::string, std::uint64_t> present;
  for (const auto& [shard, epoch] : holder.held(host().clock())) {
    present[shard_name(shard.first, shard.second)] = epoch.value;
  }
  const std::string& incarnation = holder.incarnation().value;
  for (const auto& [shard, epoch] : held_) {
    if (!present.contains(shard)) {
      environment_.observe(HoldEnded{shard, incarnation});
      environment_.measures.on_hold_ended(environment_.now(), shard, cause);
    }
  }
  const auto before = std::exchange(held_, present);
  bool began = false;
  for (const auto& [shard, epoch] : held_) {
    const auto known = before.find(shard);
    began = began || known == before.end() || known->second != epoch;
  }
  if (!began) {
    return;
  }
  for (BackendNode* other : directory_.backends()) {
    if (other != this) {
      other->observe_holdings(GapCause::kLapse);  // a lease may have run out unseen
    }
  }
  for (const auto& [shard, epoch] : held_) {
    const auto known = before.find(shard);
    if (known == before.end() || known->second != epoch) {
      environment_.observe(HoldBegan{shard, incarnation, epoch});
      environment_.measures.on_hold_began(environment_.now(), shard, incarnation);
    }
  }
}

}  // namespace planktray::sim
