// Limits on workers with suspects, and sizes of groups of suspects.
#include "arbutusdale/sched/suspect_limits.hpp"

#include <algorithm>

namespace arbutusdale::sched {
namespace {

// Share of the workers on which suspects are started at a time, since each may crash its worker. It
// doubles with each isolation time for which a suspect has waited, up to k_max_isolated_share.
constexpr double k_first_isolated_share = 0.125;
constexpr double k_max_isolated_share = 0.5;
constexpr std::size_t k_min_isolated_workers = 2;
// With those that have fallen silent under a suspect, this multiple of that share, also up to
// k_max_isolated_share.
constexpr std::size_t k_silent_isolated_factor = 2;

double isolated_share(Duration waited) {
  double share = k_first_isolated_share;
  for (Duration passed = k_isolation_time; passed <= waited; passed += k_isolation_time) {
    share *= 2;
    if (share >= k_max_isolated_share) {
      return k_max_isolated_share;
    }
  }
  return share;
}

}  // namespace

IsolationLimit isolation_limit(std::size_t workers, Duration waited) {
  const auto workers_of_share = [workers](double share) {
    return static_cast<std::size_t>(static_cast<double>(workers) * share);
  };
  const std::size_t max_total = std::max(workers_of_share(k_max_isolated_share),
                                         k_min_isolated_workers * k_silent_isolated_factor);
  IsolationLimit limit;
  limit.answering = std::max(workers_of_share(isolated_share(waited)), k_min_isolated_workers);
  limit.total = std::min(limit.answering * k_silent_isolated_factor, max_total);
  return limit;
}

std::uint32_t suspect_group_size(std::size_t waiting, Duration longest_wait, std::size_t workers) {
  std::size_t starts = 0;  // until the one that has waited longest has waited for long enough
  Duration wait = longest_wait;
  do {
    starts += isolation_limit(workers, wait).answering;
    wait += k_isolation_time;
  } while (wait + k_isolation_time <= k_max_suspect_wait);
  const std::size_t size = (waiting + starts - 1) / starts;
  return static_cast<std::uint32_t>(std::max<std::size_t>(size, 1));
}

}  // namespace arbutusdale::sched
