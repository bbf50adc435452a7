// Pages that grow while replies are quick, and longer waits after time-outs.
#include "arbutusdale/store/read_pacing.hpp"

#include <algorithm>

namespace arbutusdale::store {
namespace {

// Covers what is appended between two reads. A follower that lags begins with it, too, since all
// daemons may lag at once.
constexpr std::size_t k_usual_read_kib = 64;
constexpr std::size_t k_min_read_kib = 16;
constexpr std::size_t k_shrink_factor = 4;
constexpr std::size_t k_growth_factor = 2;
// A reply twice as large as one that came within this time still comes within k_read_timeout.
constexpr Duration k_quick_reply = std::chrono::milliseconds{700};
// A view is as old as the request for its newest reply, and callers are refused with a view of the
// jobs that is older than this. A longer time would only delay the first read after a silence of
// the network.
constexpr Duration k_max_timeout = std::chrono::milliseconds{2'500};

}  // namespace

ReadPacing::ReadPacing(std::uint64_t seed)
    : m_max_kib(k_usual_read_kib),
      m_random(static_cast<std::minstd_rand::result_type>(seed % std::minstd_rand::modulus)) {}

Duration ReadPacing::reply_timeout() const {
  return m_is_slow ? k_max_timeout : k_read_timeout;
}

void ReadPacing::on_reply(Duration latency, bool has_more) {
  const bool is_quick = latency <= k_quick_reply;
  m_is_slow = m_is_slow && !is_quick;
  const std::size_t limit = has_more && is_quick ? k_max_read_kib : k_usual_read_kib;
  if (m_max_kib > limit) {
    m_max_kib = limit;
  } else if (is_quick) {
    m_max_kib = std::min(m_max_kib * k_growth_factor, limit);
  }
}

Duration ReadPacing::on_timeout() {
  m_is_slow = true;
  m_max_kib = std::max(m_max_kib / k_shrink_factor, k_min_read_kib);
  return k_retry_delay + Duration{static_cast<Duration::rep>(m_random()) % k_retry_delay.count()};
}

}  // namespace arbutusdale::store
