// Event log with a bounded buffer and a limit on the lines per second.
#include "arbutusdale/observe/event_log.hpp"

#include "arbutusdale/core/enum_names.hpp"
#include "arbutusdale/observe/process_metrics.hpp"

#include <algorithm>
#include <array>
#include <memory>
#include <utility>

#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

namespace arbutusdale::observe {
namespace {

constexpr EnumNames<Event, 54> k_event_names{{
    {Event::process_started, "process_started"},
    {Event::process_stopping, "process_stopping"},
    {Event::process_stopped, "process_stopped"},
    {Event::settings_reloaded, "settings_reloaded"},
    {Event::dependency_lost, "dependency_lost"},
    {Event::dependency_regained, "dependency_regained"},
    {Event::request_repeated, "request_repeated"},
    {Event::append_resolved, "append_resolved"},
    {Event::record_too_large, "record_too_large"},
    {Event::store_lost_records, "store_lost_records"},
    {Event::view_outdated, "view_outdated"},
    {Event::view_current, "view_current"},
    {Event::roster_full, "roster_full"},
    {Event::configuration_applied, "configuration_applied"},
    {Event::job_moved, "job_moved"},
    {Event::shard_layout_known, "shard_layout_known"},
    {Event::shard_layout_proposed, "shard_layout_proposed"},
    {Event::leadership_claimed, "leadership_claimed"},
    {Event::leadership_refused, "leadership_refused"},
    {Event::leadership_lost, "leadership_lost"},
    {Event::leadership_released, "leadership_released"},
    {Event::worker_seen, "worker_seen"},
    {Event::worker_changed, "worker_changed"},
    {Event::worker_gone, "worker_gone"},
    {Event::worker_lost, "worker_lost"},
    {Event::worker_crashed, "worker_crashed"},
    {Event::worker_quarantined, "worker_quarantined"},
    {Event::step_failing, "step_failing"},
    {Event::poll_unanswered, "poll_unanswered"},
    {Event::ends_missing, "ends_missing"},
    {Event::end_held, "end_held"},
    {Event::job_accepted, "job_accepted"},
    {Event::job_refused, "job_refused"},
    {Event::job_unresolved, "job_unresolved"},
    {Event::job_cancelled, "job_cancelled"},
    {Event::job_owned, "job_owned"},
    {Event::job_ended, "job_ended"},
    {Event::state_answered, "state_answered"},
    {Event::run_ordered, "run_ordered"},
    {Event::run_refused, "run_refused"},
    {Event::run_unanswered, "run_unanswered"},
    {Event::run_adopted, "run_adopted"},
    {Event::run_ended, "run_ended"},
    {Event::run_stopping, "run_stopping"},
    {Event::run_vanished, "run_vanished"},
    {Event::run_presumed_ended, "run_presumed_ended"},
    {Event::run_unexpected, "run_unexpected"},
    {Event::task_given_up, "task_given_up"},
    {Event::task_waiting, "task_waiting"},
    {Event::pace_changed, "pace_changed"},
    {Event::opportunistic_work, "opportunistic_work"},
    {Event::advice_received, "advice_received"},
    {Event::advice_missing, "advice_missing"},
    {Event::lines_dropped, "lines_dropped"},
}};

// A pipe that poll() reports as writable accepts this many bytes without blocking.
constexpr std::size_t k_atomic_write_bytes = 4'096;
constexpr std::uint64_t k_ms_per_second = 1'000;

class EventLog {
 public:
  EventLog(int descriptor, std::string daemon, const Clock& clock, EventLogLimits limits)
      : m_descriptor(descriptor), m_daemon(std::move(daemon)), m_clock(clock), m_limits(limits) {}

  void write(Event event, std::string_view fields);
  void flush();
  [[nodiscard]] std::uint64_t dropped() const { return m_dropped; }

 private:
  void append_line(std::uint64_t wall_ms, std::string_view fields);
  void report_dropped(std::uint64_t wall_ms);

  int m_descriptor;
  std::string m_daemon;
  const Clock& m_clock;
  EventLogLimits m_limits;
  std::string m_buffer;
  std::uint64_t m_current_second = 0;  // by the wall clock, since the Unix epoch
  std::size_t m_lines_in_second = 0;   // written in m_current_second
  std::uint64_t m_dropped = 0;
  std::uint64_t m_reported_drops = 0;  // part of m_dropped that a line has reported
};

void EventLog::append_line(std::uint64_t wall_ms, std::string_view fields) {
  fmt::format_to(std::back_inserter(m_buffer), R"({{"time_ms":{},"daemon":"{}",{}}})", wall_ms,
                 m_daemon, fields);
  m_buffer.push_back('\n');
}

void EventLog::report_dropped(std::uint64_t wall_ms) {
  if (m_dropped == m_reported_drops) {
    return;
  }
  append_line(wall_ms,
              fmt::format(R"("event":"lines_dropped","count":{})", m_dropped - m_reported_drops));
  m_reported_drops = m_dropped;
}

/// Events that are frequent within one job and of which a few may be missing.
bool is_routine(Event event) {
  switch (event) {
    case Event::state_answered:
    case Event::run_ordered:
    case Event::run_refused:
    case Event::run_unanswered:
    case Event::run_adopted:
    case Event::run_ended:
    case Event::run_stopping:
    case Event::run_vanished:
    case Event::pace_changed:
      return true;
    default:
      return false;
  }
}

void EventLog::write(Event event, std::string_view fields) {
  const std::uint64_t wall_ms = m_clock.wall_ms();
  if (wall_ms / k_ms_per_second != m_current_second) {
    m_current_second = wall_ms / k_ms_per_second;
    m_lines_in_second = 0;
    report_dropped(wall_ms);
  }
  const bool buffer_full = m_buffer.size() + fields.size() > m_limits.buffer_bytes;
  const std::size_t reserve = is_routine(event) ? 0 : m_limits.reserved_lines_per_second;
  if (buffer_full || m_lines_in_second >= m_limits.lines_per_second + reserve) {
    ++m_dropped;
    return;
  }
  ++m_lines_in_second;
  append_line(wall_ms, fields);
}

void EventLog::flush() {
  std::size_t written = 0;
  while (written < m_buffer.size()) {
    pollfd ready{m_descriptor, POLLOUT, 0};
    if (::poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) {
      break;
    }
    const std::size_t size = std::min(m_buffer.size() - written, k_atomic_write_bytes);
    const ssize_t result = ::write(m_descriptor, m_buffer.data() + written, size);
    if (result <= 0) {
      break;
    }
    written += static_cast<std::size_t>(result);
  }
  m_buffer.erase(0, written);
}

std::unique_ptr<EventLog>& event_log() {
  static std::unique_ptr<EventLog> log;
  return log;
}

void append_escaped(std::string& out, std::string_view text) {
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      out.push_back('\\');
      out.push_back(c);
    } else if (byte < 0x20 || byte >= 0x7f) {
      fmt::format_to(std::back_inserter(out), "\\u{:04x}", byte);
    } else {
      out.push_back(c);
    }
  }
}

}  // namespace

std::string_view to_string(Event event) {
  return enum_name(k_event_names, event);
}

EventLine::EventLine(Event event) : m_event(event) {
  m_text.reserve(160);
  m_text.append(R"("event":")").append(to_string(event)).push_back('"');
}

EventLine& EventLine::add(std::string_view name, std::string_view value) {
  m_text.append(",\"").append(name).append("\":\"");
  append_escaped(m_text, value);
  m_text.push_back('"');
  return *this;
}

EventLine& EventLine::add_number(std::string_view name, std::string_view digits) {
  m_text.append(",\"").append(name).append("\":").append(digits);
  return *this;
}

EventLine& EventLine::add_ms(std::string_view name, Duration value) {
  return add(name, std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
}

void EventLine::write() {
  count_event(m_event);
  if (event_log()) {
    event_log()->write(m_event, m_text);
  }
}

void open_event_log(int descriptor, std::string daemon, const Clock& clock, EventLogLimits limits) {
  event_log() = std::make_unique<EventLog>(descriptor, std::move(daemon), clock, limits);
}

void flush_event_log() {
  if (event_log()) {
    event_log()->flush();
  }
}

std::uint64_t dropped_event_lines() {
  return event_log() ? event_log()->dropped() : 0;
}

}  // namespace arbutusdale::observe
