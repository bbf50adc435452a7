// Decides how much a follower asks for with a read, how long it waits for the reply, and when it
// tries again. A store whose rate is exhausted goes on sending replies after their callers have
// given up, so a follower that asks again at once for as much makes it slower still.
#pragma once

#include "arbutusdale/core/clock.hpp"
#include "arbutusdale/store/metadata_store.hpp"

#include <cstddef>
#include <cstdint>
#include <random>

namespace arbutusdale::store {

class ReadPacing {
 public:
  /// Followers with different seeds try again at different times.
  explicit ReadPacing(std::uint64_t seed);

  /// Size of the next reply.
  [[nodiscard]] std::size_t max_kib() const { return m_max_kib; }
  /// True after a read has timed out, until one is answered quickly. Reads don't wait for a record
  /// then: a reply that was lost is noticed sooner.
  [[nodiscard]] bool is_slow() const { return m_is_slow; }
  /// Time for the next reply, beyond the wait that the read asks for.
  [[nodiscard]] Duration reply_timeout() const;

  /// A reply came in `latency`; `has_more`: the partition has more records.
  void on_reply(Duration latency, bool has_more);
  /// Returns the time until the next attempt.
  Duration on_timeout();
  /// The reply had no space for the next record.
  void on_page_too_small() { m_max_kib = k_max_read_kib; }

  /// After a failure other than a time-out, which costs the store little.
  static constexpr Duration k_retry_delay = std::chrono::milliseconds{150};

 private:
  std::size_t m_max_kib;
  bool m_is_slow = false;
  std::minstd_rand m_random;
};

}  // namespace arbutusdale::store
