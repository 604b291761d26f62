#include "routing/crash_suspects.hpp"

#include <algorithm>

namespace planktray::routing {
namespace {

CrashLedgerOptions local_options(const CrashSuspectsOptions& options) {
  CrashLedgerOptions local = options.ledger;
  local.first_block = options.local_block;
  local.longest_block = options.local_block;
  return local;
}

std::uint64_t age_us(common::TimePoint now, common::TimePoint then) {
  return static_cast<std::uint64_t>(std::max<common::Duration::rep>((now - then).count(), 0));
}

}  // namespace

CrashSuspects::CrashSuspects(CrashSuspectsOptions options)
    : options_(options), ledger_(local_options(options)) {}

bool CrashSuspects::on_connection_ended(const CrashEvent& event) {
  if (event.digest == 0 || !options_.is_enabled) {
    return false;
  }
  std::erase_if(pending_, [&](const auto& item) {
    return event.ended - item.second.front().ended > options_.pending_memory;
  });
  std::vector<CrashEvent>& events = pending_[event.backend];
  if (events.size() < options_.max_kept) {
    events.push_back(event);
  }
  if (!options_.probes_target) {
    on_target_gone(event.ended, event.backend);
    return false;
  }
  return events.size() == 1;
}

bool CrashSuspects::on_target_gone(common::TimePoint now, common::BackendId target) {
  const auto found = pending_.find(target);
  if (found == pending_.end()) {
    return false;
  }
  const std::vector<CrashEvent> events = std::move(found->second);
  pending_.erase(found);
  expire(now);
  bool completes = false;
  for (const CrashEvent& event : events) {
    ledger_.record_crash(event);
    own_.push_back({event, {}, false});
    completes = completes || is_suspect(event.digest);
  }
  while (own_.size() > options_.max_kept) {
    own_.pop_front();
  }
  return completes;
}

bool CrashSuspects::may_be_suspect(RequestDigest digest) const {
  if (is_suspect(digest)) {
    return true;
  }
  const auto is_pending = [digest](const auto& item) {
    return std::any_of(item.second.begin(), item.second.end(),
                       [digest](const CrashEvent& event) { return event.digest == digest; });
  };
  return options_.is_enabled && std::count_if(pending_.begin(), pending_.end(), is_pending) > 1;
}

void CrashSuspects::on_answered(common::TimePoint now, RequestDigest digest) {
  const bool was_own = ledger_.record_answer(digest, now, false);
  const bool was_listed = listed_.erase(digest) + inherited_.erase(digest) > 0;
  if (!was_own && !was_listed) {
    return;
  }
  answered_.push_back({{digest, now}, {}, false});
  if (answered_.size() > options_.max_kept) {
    answered_.pop_front();
  }
}

void CrashSuspects::on_leader_list(common::TimePoint now, common::TimePoint asked_at,
                                   common::Term term, const std::vector<SuspectRequest>& listed) {
  if (term != term_) {
    term_ = term;
    report_again(own_);
    report_again(answered_);
    inherit_list();
  }
  const bool was_inherited_read =
      inherited_reported_ != common::TimePoint() && inherited_reported_ <= asked_at;
  if (was_inherited_read) {
    inherited_.clear();
  }
  acknowledge(own_, asked_at);
  acknowledge(answered_, asked_at);
  expire(now);
  listed_.clear();
  for (const SuspectRequest& suspect : listed) {
    const bool is_answered =
        std::any_of(answered_.begin(), answered_.end(), [&](const Kept<Answered>& kept) {
          return kept.item.digest == suspect.digest && !kept.acknowledged;
        });
    if (!is_answered) {  // the list does not include an answer that this router has not reported
      listed_[suspect.digest] = {suspect.digest, suspect.crashes,
                                 now + std::chrono::milliseconds(suspect.blocked_for_ms)};
    }
  }
}

void CrashSuspects::inherit_list() {
  inherited_.insert(listed_.begin(), listed_.end());
  inherited_reported_ = common::TimePoint();
}

template <typename Item>
void CrashSuspects::acknowledge(std::deque<Kept<Item>>& kept, common::TimePoint asked_at) {
  for (Kept<Item>& entry : kept) {
    const bool was_read = entry.reported != common::TimePoint() && entry.reported <= asked_at;
    entry.acknowledged = entry.acknowledged || was_read;
  }
}

template <typename Item>
void CrashSuspects::report_again(std::deque<Kept<Item>>& kept) {
  for (Kept<Item>& entry : kept) {
    entry.reported = common::TimePoint();
    entry.acknowledged = false;
  }
}

void CrashSuspects::expire(common::TimePoint now) {
  while (!own_.empty() && now - own_.front().item.ended > options_.ledger.memory) {
    own_.pop_front();
  }
  while (!answered_.empty() && now - answered_.front().item.at > options_.ledger.memory) {
    answered_.pop_front();
  }
  ledger_.expire(now);
}

bool CrashSuspects::is_blocked(common::TimePoint now, RequestDigest digest) const {
  if (digest == 0 || !options_.is_enabled) {
    return false;
  }
  const auto is_in = [&](const List& list) {
    const auto found = list.find(digest);
    return found != list.end() && now < found->second.blocked_until;
  };
  return ledger_.is_blocked(now, digest) || is_in(listed_) || is_in(inherited_);
}

bool CrashSuspects::is_suspect(RequestDigest digest) const {
  const auto is_in = [&](const List& list) {
    const auto found = list.find(digest);
    return found != list.end() && found->second.crashes + 1 >= options_.ledger.threshold;
  };
  return options_.is_enabled && (ledger_.is_suspect(digest) || is_in(listed_) || is_in(inherited_));
}

template <typename Item, typename Add>
void CrashSuspects::report_each(common::TimePoint now, std::size_t limit,
                                std::deque<Kept<Item>>& kept, const Add& add) {
  for (Kept<Item>& entry : kept) {
    if (limit == 0) {
      return;
    }
    if (entry.acknowledged) {
      continue;
    }
    if (entry.reported == common::TimePoint()) {
      entry.reported = now;
    }
    add(entry.item);
    --limit;
  }
}

void CrashSuspects::report(common::TimePoint now, std::size_t limit, RouterHello& hello) {
  report_each(now, limit, own_, [&](const CrashEvent& event) {
    hello.crashes.push_back(
        {event.digest, event.backend, age_us(now, event.sent), age_us(now, event.ended)});
  });
  for (const auto& [digest, suspect] : inherited_) {
    const auto remaining =
        std::chrono::duration_cast<std::chrono::milliseconds>(suspect.blocked_until - now).count();
    const auto remaining_ms = static_cast<std::uint32_t>(std::max<std::int64_t>(remaining, 0));
    if (hello.suspects_listed.size() < limit) {
      hello.suspects_listed.push_back({digest, remaining_ms, suspect.crashes});
    }
  }
  inherited_reported_ = inherited_reported_ == common::TimePoint() ? now : inherited_reported_;
  report_each(now, limit, answered_, [&](const Answered& answer) {
    hello.suspects_answered.push_back({answer.digest, age_us(now, answer.at)});
  });
}

std::size_t CrashSuspects::blocked(common::TimePoint now) const {
  return static_cast<std::size_t>(
      std::count_if(listed_.begin(), listed_.end(),
                    [now](const auto& item) { return now < item.second.blocked_until; }));
}

}  // namespace planktray::routing
