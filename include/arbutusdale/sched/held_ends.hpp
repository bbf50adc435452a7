// Ended runs that the leader does not acknowledge yet, although their effects are stored.
//
// A start order without an answer may still be carried out long after the run has ended. The worker
// that ran it refuses the order, but its next incarnation does not know the run. Until the order
// has run out, the end is therefore not acknowledged: an acknowledged success is never followed by
// another run of its task.
#pragma once

#include "arbutusdale/core/clock.hpp"

#include <cstdint>
#include <vector>

namespace arbutusdale::sched {

/// The held ends of one incarnation of a worker.
class HeldEnds {
 public:
  /// The end with this sequence, and with it all later ones, is not acknowledged before `until`.
  /// `sequence` is above those of earlier calls, since the last `clear()`.
  void hold(std::uint64_t sequence, TimePoint until, TimePoint now);
  void clear() { m_ends.clear(); }
  /// Sequence through which ends may be acknowledged when those through `stored` are stored.
  [[nodiscard]] std::uint64_t acknowledgeable(std::uint64_t stored, TimePoint now) const;

 private:
  struct End {
    std::uint64_t sequence = 0;
    TimePoint until{};
  };

  std::vector<End> m_ends;  // by rising sequence, each held longer than those before it
};

}  // namespace arbutusdale::sched
