// Log lines when the daemon's view of some records of the store becomes too old to start tasks by,
// and when it is current again.
#pragma once

#include "arbutusdale/core/clock.hpp"

#include <optional>
#include <string>
#include <utility>

namespace arbutusdale::fleet {

/// Writes one line for each change, so at most one in `k_max_job_age_for_starts` on average.
class ViewAgeLog {
 public:
  /// `view` names what is seen, such as "jobs".
  explicit ViewAgeLog(std::string view) : m_view(std::move(view)) {}

  /// Call every 100 ms. `fresh_as_of` is empty until all records have been read once; `lag` is by
  /// how much the event loop is late.
  void on_tick(std::optional<TimePoint> fresh_as_of, TimePoint now, Duration lag);

 private:
  std::string m_view;
  std::optional<TimePoint> m_first_tick;
  bool m_is_outdated = false;
  TimePoint m_outdated_at{};
};

}  // namespace arbutusdale::fleet
