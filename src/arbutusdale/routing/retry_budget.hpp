// Limits retries to a fraction of a service's calls.
#pragma once

#include <algorithm>

namespace arbutusdale::routing {

/// Token bucket: each call adds `share` tokens, each retry takes one.
class RetryBudget {
 public:
  explicit RetryBudget(double share) : m_share{share} {}

  void record_call() { m_tokens = std::min(m_tokens + m_share, k_max_tokens); }

  /// Takes one token; false when fewer than one is left.
  bool take() {
    if (m_tokens < 1.0) {
      return false;
    }
    m_tokens -= 1.0;
    return true;
  }

 private:
  // Largest number of saved tokens; limits the burst of retries when all targets fail at once.
  static constexpr double k_max_tokens = 10.0;

  double m_share;
  double m_tokens = 0.0;  // starts empty, so that the share holds from the first call
};

}  // namespace arbutusdale::routing
