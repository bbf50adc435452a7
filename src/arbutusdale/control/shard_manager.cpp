// Shard claims and shard runners.
#include "shard_manager.hpp"

#include "arbutusdale/core/hash.hpp"

#include <algorithm>

#include <spdlog/spdlog.h>

namespace arbutusdale::control {
namespace {

// Daemons claim in the order of their rendezvous hash, so that a free shard gets one claim.
constexpr Duration k_claim_rank_delay = std::chrono::seconds{2};

void add_counts(batch::ShardStats& sum, const batch::ShardStats& part) {
  sum.started += part.started;
  sum.succeeded += part.succeeded;
  sum.failed += part.failed;
  sum.evictions += part.evictions;
  sum.throttles += part.throttles;
  sum.lost += part.lost;
}

void add_gauges(batch::ShardStats& sum, const batch::ShardStats& part) {
  sum.pending += part.pending;
  sum.running += part.running;
  sum.blocked += part.blocked;
  sum.workers_acquired += part.workers_acquired;
  sum.workers_unreachable += part.workers_unreachable;
  sum.quarantined += part.quarantined;
  sum.takeover_complete = sum.takeover_complete && part.takeover_complete;
}

}  // namespace

ShardManager::ShardManager(const Context& context, const VmView& vms, TermBegan term_began)
    : m_context(context), m_vms(vms), m_term_began(std::move(term_began)) {}

std::uint32_t ShardManager::shards() const {
  const auto& domains = m_context.global.declaration().domains();
  const bool declared = std::any_of(domains.begin(), domains.end(), [this](const auto& domain) {
    return domain.name() == m_context.options.domain;
  });
  // Workers are mapped to shards by the number of shards, so nothing is claimed before the failure
  // domain is declared.
  if (!declared) {
    return 0;
  }
  return state::shard_count(m_context.global.declaration(), m_context.options.domain);
}

std::vector<std::uint32_t> ShardManager::held() const {
  std::vector<std::uint32_t> shards;
  for (const auto& [shard, held] : m_runners) {
    shards.push_back(shard);
  }
  return shards;
}

void ShardManager::tick(TimePoint now, bool joined) {
  sync_runners(now);
  if (joined && !m_releasing && can_propose(m_context.domain_stream.stats())) {
    claim_free(now);
  }
  for (auto& [shard, held] : m_runners) {
    held.runner->tick(now);
  }
}

void ShardManager::sync_runners(TimePoint now) {
  for (auto it = m_runners.begin(); it != m_runners.end();) {
    const auto owner = m_context.domain.shard(it->first);
    const bool still_held = owner.owned && owner.term == it->second.term &&
                            owner.daemon == m_context.options.daemon &&
                            owner.incarnation == m_context.incarnation;
    if (still_held) {
      ++it;
      continue;
    }
    spdlog::info("shard {} of {} is no longer held under term {}", it->first,
                 m_context.options.domain, it->second.term);
    it->second.runner->stop();
    add_counts(m_ended, it->second.runner->stats());
    it = m_runners.erase(it);
  }
  for (std::uint32_t shard = 0; shard < shards(); ++shard) {
    const auto owner = m_context.domain.shard(shard);
    const bool held_here = owner.owned && owner.daemon == m_context.options.daemon &&
                           owner.incarnation == m_context.incarnation;
    if (held_here && !m_runners.contains(shard) && !m_releasing) {
      start_runner(shard, owner.term, now);
    }
    if (!held_here) {
      m_last_term[shard] = owner.term;
    }
  }
}

void ShardManager::start_runner(std::uint32_t shard, std::uint64_t term, TimePoint now) {
  batch::ShardOptions options;
  options.domain = m_context.options.domain;
  options.shard = shard;
  options.term = term;
  options.weighting = m_context.options.weighting;
  options.lease = m_context.options.lease;
  options.gone_after = m_context.options.gone_after;
  options.agent_fencing = m_context.options.agent_fencing;
  options.clock = &m_context.environment.clock;
  options.trace = m_context.options.trace;
  options.seeded_fault = m_context.options.seeded_fault;
  options.seed = stable_hash(m_context.options.daemon, m_context.options.seed + term);
  options.recently_listed =
      m_vms.recent_shard_workers(shard, shards(), now - m_context.options.gone_after);
  // A daemon that has not received VM lists for `gone_after` may not know of a VM that still runs
  // attempts of an earlier term, so the takeover waits.
  const bool followed =
      m_vms.has_received_vms() && now - m_vms.first_listed() >= m_context.options.gone_after;
  if (m_last_term[shard] != 0 && !followed) {
    options.takeover_wait = m_context.options.gone_after;
  }
  auto runner = batch::make_shard_runner(options, m_context.global, m_context.domain,
                                         m_context.domain_stream, m_context.environment.agents);
  update_workers(shard, *runner, now);
  spdlog::info("holding shard {} of {} under term {}", shard, options.domain, term);
  m_runners[shard] = Held{term, std::move(runner)};
  m_term_began(shard, term, m_last_term[shard]);
}

void ShardManager::claim_free(TimePoint now) {
  for (std::uint32_t shard = 0; shard < shards(); ++shard) {
    const auto owner = m_context.domain.shard(shard);
    if (owner.owned) {
      m_free_since.erase(shard);
      continue;
    }
    const auto since = m_free_since.try_emplace(shard, now).first->second;
    if (m_claiming[shard] || now - since < claim_delay(shard, now)) {
      continue;
    }
    claim(shard, owner.term);
  }
}

Duration ShardManager::claim_delay(std::uint32_t shard, TimePoint now) const {
  const auto weight = [shard](const std::string& daemon) { return stable_hash(daemon, shard + 1); };
  const auto own = weight(m_context.options.daemon);
  const auto live = live_in_domain(m_context, now);
  const auto rank = std::count_if(live.begin(), live.end(),
                                  [&](const std::string& daemon) { return weight(daemon) > own; });
  return k_claim_rank_delay * rank;
}

void ShardManager::claim(std::uint32_t shard, std::uint64_t expected_term) {
  proto::state::Record record;
  auto* claimed = record.mutable_shard_claimed();
  claimed->set_shard(shard);
  claimed->set_daemon(m_context.options.daemon);
  claimed->set_incarnation(m_context.incarnation);
  claimed->set_expected_term(expected_term);
  m_claiming[shard] = true;
  m_context.domain_stream.propose(
      std::move(record), true,
      [this, shard](const Result<std::uint64_t>&) { m_claiming[shard] = false; });
}

void ShardManager::update_workers(std::uint32_t shard, batch::ShardRunner& runner, TimePoint now) {
  if (m_vms.has_received_vms()) {
    runner.set_workers(m_vms.shard_workers(shard, shards()), m_vms.trusted(), now);
  }
}

void ShardManager::vms_changed(TimePoint now) {
  for (auto& [shard, held] : m_runners) {
    update_workers(shard, *held.runner, now);
  }
}

void ShardManager::state_changed(TimePoint now) {
  for (auto& [shard, held] : m_runners) {
    held.runner->state_changed(now);
  }
}

void ShardManager::release_all() {
  m_releasing = true;
  for (auto& [shard, held] : m_runners) {
    held.runner->stop();
    proto::state::Record record;
    record.mutable_shard_released()->set_shard(shard);
    record.mutable_shard_released()->set_term(held.term);
    m_context.domain_stream.propose(std::move(record), true, [](const Result<std::uint64_t>&) {});
  }
}

batch::ShardStats ShardManager::totals() const {
  batch::ShardStats sum = m_ended;
  sum.takeover_complete = true;
  for (const auto& [shard, held] : m_runners) {
    add_counts(sum, held.runner->stats());
    add_gauges(sum, held.runner->stats());
  }
  return sum;
}

bool ShardManager::is_drained(const std::string& worker) const {
  const auto held = m_runners.find(state::shard_of_worker(worker, shards()));
  return held != m_runners.end() && held->second.runner->is_drained(worker);
}

std::string ShardManager::waiting_reason(const std::string& job) const {
  for (const auto& [shard, held] : m_runners) {
    auto reason = held.runner->waiting_reason(job);
    if (!reason.empty()) {
      return reason;
    }
  }
  return {};
}

}  // namespace arbutusdale::control
