// Fencing tokens of one leader's orders to one worker.
#pragma once

#include <algorithm>
#include <cstdint>

namespace arbutusdale::sched {

/// Tokens that each term has for one worker.
inline constexpr std::uint64_t k_tokens_per_term = 1U << 20U;

/// A worker that restarts under its id takes orders that were sent to its earlier incarnation and
/// are carried out late, until the new incarnation has seen a higher token than theirs. So the
/// token rises whenever the worker may have restarted. Every token of a term is above those of
/// earlier terms.
class WorkerFence {
 public:
  /// Orders from now on have a higher token than all earlier ones.
  void raise() { m_raises = std::min(m_raises + 1, k_tokens_per_term - 1); }
  /// Token of an order that is sent now by the leader whose term has `term_token`.
  [[nodiscard]] std::uint64_t token(std::uint64_t term_token) const {
    return term_token * k_tokens_per_term + m_raises;
  }

 private:
  std::uint64_t m_raises = 0;  // below k_tokens_per_term, never decreases
};

}  // namespace arbutusdale::sched
