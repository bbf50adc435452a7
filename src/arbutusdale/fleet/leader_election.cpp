// Claims after the election timeout, and sooner when the leadership is vacant.
#include "arbutusdale/fleet/leader_election.hpp"

#include "arbutusdale/core/hash.hpp"

#include <algorithm>
#include <cstdint>

namespace arbutusdale::fleet {
namespace {

constexpr std::uint64_t k_max_jitter_ms = 60;
// A daemon with a whole core waits this long, one with a tenth of a core ten times as long, so that
// the leadership goes to a daemon with enough processor time for its work.
constexpr double k_one_core_delay_ms = 15;
constexpr double k_min_cpu_share = 0.05;
// A weak daemon lets stronger ones claim first. After a release they read the record and claim
// within some tenths of a second, also while the store is slow. After the election timeout the
// delay is short, since the stronger daemons may have ended together with the leader.
constexpr Duration k_vacancy_deference = std::chrono::milliseconds{1'000};
constexpr Duration k_timeout_deference = std::chrono::milliseconds{200};
// Longer than the differences of the claim delays and the time of a claim, so that the shards
// spread over the daemons.
constexpr Duration k_deference_per_shard = std::chrono::milliseconds{400};
// A claim needs a view of the partition that is at most this old, including the wait of reads.
constexpr Duration k_max_staleness = std::chrono::milliseconds{1'500};

Duration claim_delay(const std::string& daemon, double cpu_share) {
  const double share = std::clamp(cpu_share, k_min_cpu_share, 1.0);
  const auto by_share = static_cast<std::uint64_t>(k_one_core_delay_ms / share);
  return std::chrono::milliseconds{by_share + stable_hash(daemon) % k_max_jitter_ms};
}

}  // namespace

LeaderElection::LeaderElection(const std::string& daemon, double cpu_share)
    : m_claim_delay(claim_delay(daemon, cpu_share)) {}

void LeaderElection::on_leadership_vacant(TimePoint now) {
  if (!m_vacant_since || m_earlier_incarnation_led) {
    m_vacant_since = now;
  }
  m_earlier_incarnation_led = false;
}

void LeaderElection::on_earlier_incarnation_led(TimePoint now) {
  if (!m_vacant_since) {
    m_vacant_since = now;
    m_earlier_incarnation_led = true;
  }
}

bool LeaderElection::should_claim(TimePoint now, const FollowerState& state) {
  const bool current = state.loaded && state.fresh_as_of &&
                       now - *state.fresh_as_of <= k_max_staleness + 2 * state.read_latency;
  if (!current) {
    m_last_stale = now;
    return false;
  }
  const bool leaves_claim_to_others = m_earlier_incarnation_led && state.stronger_known;
  TimePoint possible = m_last_stale.value_or(TimePoint{});
  Duration deference{};
  if (m_vacant_since && !leaves_claim_to_others) {
    possible = std::max(possible, *m_vacant_since);
    deference = state.stronger_in_touch ? k_vacancy_deference : Duration::zero();
  } else if (m_last_activity) {
    possible = std::max(possible, *m_last_activity + k_election_timeout + 2 * state.read_latency);
    deference = state.stronger_known ? k_timeout_deference : Duration::zero();
  }
  deference += static_cast<Duration::rep>(state.shards_led) * k_deference_per_shard;
  return now >= possible + m_claim_delay + deference;
}

}  // namespace arbutusdale::fleet
