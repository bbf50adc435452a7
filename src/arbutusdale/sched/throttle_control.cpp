// Throttling of harmful runs while tails rise, and pausing when a tail exceeds its target.
#include "arbutusdale/sched/throttle_control.hpp"

#include <algorithm>

namespace arbutusdale::sched {
namespace {

constexpr std::uint32_t k_full_speed_percent = 100;
constexpr std::uint32_t k_reduced_speed_percent = 40;

// Ratios of a tail to its target.
constexpr double k_raised_ratio = 0.4;
constexpr double k_high_ratio = 0.55;
constexpr double k_over_ratio = 1.0;
constexpr double k_accept_ratio = 0.85;
// Runs with at least this share of the highest score are paused with the highest.
constexpr double k_likely_cause_share = 0.4;
// A run that has used almost no processor time yet may still be the cause.
constexpr double k_min_share = 0.02;
// A tail covers the last half second, so a change shows fully only in the second poll after it.
constexpr Duration k_settle_time = std::chrono::milliseconds{600};
constexpr Duration k_resume_delay = std::chrono::milliseconds{1'000};
// All opportunistic runs are paused when a tail has been over its target for this long although the
// likely causes were paused.
constexpr Duration k_pause_all_delay = std::chrono::milliseconds{1'500};
constexpr Duration k_evict_delay = std::chrono::milliseconds{1'500};

}  // namespace

std::vector<ThrottleDecision> ThrottleControl::decide(const std::vector<ServingSample>& serving,
                                                      const std::vector<BatchRunState>& batch_runs,
                                                      const InterferenceTable& table,
                                                      TimePoint now) {
  const double before = m_ratio;
  m_ratio = 0;
  ImageId highest_image = 0;
  for (const ServingSample& sample : serving) {
    if (sample.ratio >= m_ratio) {
      m_ratio = sample.ratio;
      highest_image = sample.image;
    }
  }
  if (m_ratio > k_accept_ratio) {
    m_low_since = now;
  }
  if (m_ratio > k_over_ratio && before <= k_over_ratio) {
    m_over_since = now;
  }
  std::vector<ThrottleDecision> decisions;
  std::vector<double> harms;         // highest belief towards any serving task here
  std::vector<double> cause_scores;  // for the tail with the highest ratio
  for (const BatchRunState& batch : batch_runs) {
    decisions.push_back({ThrottleAction::keep, batch.throttle_percent, ThrottleReason::none});
    double harm = 0;
    for (const ServingSample& sample : serving) {
      harm = std::max(harm, table.harm(batch.image, sample.image, now));
    }
    harms.push_back(harm);
    const double weight = batch.throttle_percent == 0 ? 0 : std::max(batch.share, k_min_share);
    cause_scores.push_back(serving.empty() ? 0
                                           : table.harm(batch.image, highest_image, now) * weight);
  }
  throttle_harmful(decisions, batch_runs, harms);
  if (m_ratio > k_over_ratio) {
    pause_likely_causes(decisions, batch_runs, cause_scores, now);
  } else {
    resume_harmless(decisions, batch_runs, harms, now);
  }
  return decisions;
}

void ThrottleControl::throttle_harmful(std::vector<ThrottleDecision>& decisions,
                                       const std::vector<BatchRunState>& batch_runs,
                                       const std::vector<double>& harms) const {
  const bool pause = m_ratio > k_high_ratio;
  const bool slow = m_ratio > k_raised_ratio;
  for (std::size_t i = 0; i < batch_runs.size(); ++i) {
    const BatchRunState& batch = batch_runs[i];
    if (harms[i] < k_harmful) {
      continue;
    }
    std::uint32_t throttle_percent = batch.throttle_percent;
    if (pause) {
      throttle_percent = 0;
    } else if (slow) {
      throttle_percent = std::min(throttle_percent, k_reduced_speed_percent);
    }
    if (throttle_percent != batch.throttle_percent) {
      decisions[i] = {ThrottleAction::set_throttle, throttle_percent, ThrottleReason::tail_raised};
    } else if (throttle_percent < k_full_speed_percent && batch.can_move &&
               batch.since_throttled >= k_evict_delay) {
      decisions[i].action = ThrottleAction::evict;
    }
  }
}

void ThrottleControl::pause_likely_causes(std::vector<ThrottleDecision>& decisions,
                                          const std::vector<BatchRunState>& batch_runs,
                                          const std::vector<double>& cause_scores, TimePoint now) {
  if (now - m_paused_at < k_settle_time) {
    return;
  }
  const bool all = now - m_over_since >= k_pause_all_delay;
  const double worst =
      cause_scores.empty() ? 0 : *std::max_element(cause_scores.begin(), cause_scores.end());
  for (std::size_t i = 0; i < batch_runs.size(); ++i) {
    const bool is_likely_cause =
        all || (cause_scores[i] > 0 && cause_scores[i] >= k_likely_cause_share * worst);
    if (!is_likely_cause || batch_runs[i].throttle_percent == 0) {
      continue;
    }
    decisions[i] = {ThrottleAction::set_throttle, 0,
                    all ? ThrottleReason::all : ThrottleReason::cause};
    m_paused_at = now;
  }
}

// Resumes harmless runs that were paused by mistake.
void ThrottleControl::resume_harmless(std::vector<ThrottleDecision>& decisions,
                                      const std::vector<BatchRunState>& batch_runs,
                                      const std::vector<double>& harms, TimePoint now) const {
  if (now - m_low_since < k_resume_delay || now - m_paused_at < k_settle_time) {
    return;
  }
  for (std::size_t i = 0; i < batch_runs.size(); ++i) {
    if (harms[i] < k_harmful && batch_runs[i].throttle_percent < k_full_speed_percent) {
      decisions[i] = {ThrottleAction::set_throttle, k_full_speed_percent, ThrottleReason::tail_low};
    }
  }
}

bool ThrottleControl::accepts_more(TimePoint now) const {
  return m_ratio < k_accept_ratio && now - m_paused_at >= k_settle_time;
}

}  // namespace arbutusdale::sched
