// Bounds retries to a share of a service's calls.
#pragma once

#include <algorithm>

namespace arbutusdale::routing {

class RetryBudget {
 public:
  explicit RetryBudget(double share) : m_share{share} {}

  void record_call() { m_tokens = std::min(m_tokens + m_share, k_max_tokens); }

  /// Takes one retry out of the budget; false when it is used up.
  bool take() {
    if (m_tokens < 1.0) {
      return false;
    }
    m_tokens -= 1.0;
    return true;
  }

 private:
  // Retries that can be saved up; bounds the burst when all targets fail at once.
  static constexpr double k_max_tokens = 10.0;

  double m_share;
  double m_tokens = 0.0;  // starts empty, so that the share holds from the first call
};

}  // namespace arbutusdale::routing
