// Changes between an old and a current view, as log lines.
#include "arbutusdale/fleet/view_age_log.hpp"

#include "arbutusdale/fleet/leader.hpp"
#include "arbutusdale/observe/event_log.hpp"

namespace arbutusdale::fleet {

using observe::Event;
using observe::EventLine;

void ViewAgeLog::on_tick(std::optional<TimePoint> fresh_as_of, TimePoint now, Duration lag) {
  if (!m_first_tick) {
    m_first_tick = now;
  }
  const Duration age = now - fresh_as_of.value_or(*m_first_tick);
  const bool is_outdated = age > k_max_job_age_for_starts;
  if (is_outdated == m_is_outdated) {
    return;
  }
  m_is_outdated = is_outdated;
  EventLine line(is_outdated ? Event::view_outdated : Event::view_current);
  line.add("view", m_view).add("was_loaded", fresh_as_of ? 1 : 0).add_ms("age_ms", age);
  line.add_ms("lag_ms", lag);
  if (is_outdated) {
    m_outdated_at = now;
  } else {
    line.add_ms("outdated_for_ms", now - m_outdated_at);
  }
  line.write();
}

}  // namespace arbutusdale::fleet
