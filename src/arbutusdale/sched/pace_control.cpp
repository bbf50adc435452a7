// Harmful runs beside rising tails, and what happens when a tail exceeds its target.
#include "arbutusdale/sched/pace_control.hpp"

#include <algorithm>

namespace arbutusdale::sched {
namespace {

constexpr std::uint32_t k_full_pace = 100;   // percent
constexpr std::uint32_t k_slowed_pace = 40;  // percent

constexpr double k_raised_ratio = 0.4;
constexpr double k_high_ratio = 0.55;
constexpr double k_over_ratio = 1.0;
constexpr double k_accept_ratio = 0.85;
// Runs with at least this part of the worst run's blame stop with it.
constexpr double k_blame_part = 0.4;
// A run that hardly uses anything yet may still be the culprit.
constexpr double k_least_share = 0.02;
// A tail covers the last half second, so a step shows in the next look but one.
constexpr Duration k_settle_time = std::chrono::milliseconds{600};
constexpr Duration k_calm_time = std::chrono::milliseconds{1'000};
// All opportunistic work stops when stopping the likely culprits has not helped for this long.
constexpr Duration k_patience = std::chrono::milliseconds{1'500};
constexpr Duration k_evict_time = std::chrono::milliseconds{1'500};

}  // namespace

std::vector<PaceDecision> PaceControl::decide(const std::vector<ServingSample>& serving,
                                              const std::vector<BatchRunState>& batch_runs,
                                              const InterferenceTable& table, TimePoint now) {
  const double before = m_ratio;
  m_ratio = 0;
  ImageId victim = 0;
  for (const ServingSample& sample : serving) {
    if (sample.ratio >= m_ratio) {
      m_ratio = sample.ratio;
      victim = sample.image;
    }
  }
  if (m_ratio > k_accept_ratio) {
    m_calm_since = now;
  }
  if (m_ratio > k_over_ratio && before <= k_over_ratio) {
    m_over_since = now;
  }
  std::vector<PaceDecision> decisions;
  std::vector<double> harms;   // towards any serving task here
  std::vector<double> blames;  // for the highest ratio
  for (const BatchRunState& batch : batch_runs) {
    decisions.push_back({PaceAction::keep, batch.pace});
    double harm = 0;
    for (const ServingSample& sample : serving) {
      harm = std::max(harm, table.harm(batch.image, sample.image, now));
    }
    harms.push_back(harm);
    const double weight = batch.pace == 0 ? 0 : std::max(batch.share, k_least_share);
    blames.push_back(serving.empty() ? 0 : table.harm(batch.image, victim, now) * weight);
  }
  control_harmful(decisions, batch_runs, harms);
  if (m_ratio > k_over_ratio) {
    stop_culprits(decisions, batch_runs, blames, now);
  } else {
    speed_up(decisions, batch_runs, harms, now);
  }
  return decisions;
}

void PaceControl::control_harmful(std::vector<PaceDecision>& decisions,
                                  const std::vector<BatchRunState>& batch_runs,
                                  const std::vector<double>& harms) const {
  const bool stop = m_ratio > k_high_ratio;
  const bool slow = m_ratio > k_raised_ratio;
  for (std::size_t i = 0; i < batch_runs.size(); ++i) {
    const BatchRunState& batch = batch_runs[i];
    if (harms[i] < k_harmful) {
      continue;
    }
    std::uint32_t pace = batch.pace;
    if (stop) {
      pace = 0;
    } else if (slow) {
      pace = std::min(pace, k_slowed_pace);
    }
    if (pace != batch.pace) {
      decisions[i] = {PaceAction::set_pace, pace};
    } else if (pace < k_full_pace && batch.can_move && batch.paced_for >= k_evict_time) {
      decisions[i].action = PaceAction::evict;
    }
  }
}

void PaceControl::stop_culprits(std::vector<PaceDecision>& decisions,
                                const std::vector<BatchRunState>& batch_runs,
                                const std::vector<double>& blames, TimePoint now) {
  if (now - m_stopped_at < k_settle_time) {
    return;
  }
  const bool all = now - m_over_since >= k_patience;
  const double worst = blames.empty() ? 0 : *std::max_element(blames.begin(), blames.end());
  for (std::size_t i = 0; i < batch_runs.size(); ++i) {
    const bool blamed = all || (blames[i] > 0 && blames[i] >= k_blame_part * worst);
    if (!blamed || batch_runs[i].pace == 0) {
      continue;
    }
    decisions[i] = {PaceAction::set_pace, 0};
    m_stopped_at = now;
  }
}

// Harmless runs that were stopped by mistake go on.
void PaceControl::speed_up(std::vector<PaceDecision>& decisions,
                           const std::vector<BatchRunState>& batch_runs,
                           const std::vector<double>& harms, TimePoint now) const {
  if (now - m_calm_since < k_calm_time || now - m_stopped_at < k_settle_time) {
    return;
  }
  for (std::size_t i = 0; i < batch_runs.size(); ++i) {
    if (harms[i] < k_harmful && batch_runs[i].pace < k_full_pace) {
      decisions[i] = {PaceAction::set_pace, k_full_pace};
    }
  }
}

bool PaceControl::accepts_more(TimePoint now) const {
  return m_ratio < k_accept_ratio && now - m_stopped_at >= k_settle_time;
}

}  // namespace arbutusdale::sched
