// Process-wide metrics; each is looked up by name once.
#include "arbutusdale/observe/process_metrics.hpp"

#include "arbutusdale/core/enum_names.hpp"

#include <array>
#include <cstddef>
#include <memory>
#include <string>

namespace arbutusdale::observe {
namespace {

constexpr EnumNames<Timing, 6> k_timing_names{{
    {Timing::acceptance, "arbutusdale_job_acceptance_seconds"},
    {Timing::start_wait, "arbutusdale_task_start_wait_seconds"},
    {Timing::start_call, "arbutusdale_start_call_seconds"},
    {Timing::store_append, "arbutusdale_store_append_seconds"},
    {Timing::leadership_claim, "arbutusdale_leadership_claim_seconds"},
    {Timing::advice_call, "arbutusdale_advice_call_seconds"},
}};
constexpr std::array<const char*, 6> k_timing_helps{{
    "Time from the arrival of a submission to its stored record",
    "Time that a task was ready before a worker was ordered to start it",
    "Time of an order that starts a task, to its answer",
    "Time of an append to the metadata store that succeeded",
    "Time of a claim of the leadership that succeeded",
    "Time of a call to the advice service",
}};
constexpr std::size_t k_event_count = static_cast<std::size_t>(Event::lines_dropped) + 1;

class ProcessMetrics {
 public:
  ProcessMetrics() : m_registry(make_registry()) {
    for (std::size_t i = 0; i < m_timings.size(); ++i) {
      const std::string name(enum_name(k_timing_names, static_cast<Timing>(i)));
      m_timings[i] = &m_registry->histogram(name, k_timing_helps[i]);
    }
    for (std::size_t i = 0; i < m_events.size(); ++i) {
      const std::string event(to_string(static_cast<Event>(i)));
      m_events[i] = &m_registry->counter("arbutusdale_events_total", "Events of the log by name",
                                         {{"event", event}});
    }
  }

  Registry& registry() { return *m_registry; }
  Histogram& timing(Timing timing) { return *m_timings[static_cast<std::size_t>(timing)]; }
  Counter& event(Event event) { return *m_events[static_cast<std::size_t>(event)]; }

 private:
  std::unique_ptr<Registry> m_registry;
  std::array<Histogram*, k_timing_helps.size()> m_timings{};  // owned by the registry
  std::array<Counter*, k_event_count> m_events{};             // owned by the registry
};

ProcessMetrics& metrics() {
  static ProcessMetrics instance;
  return instance;
}

}  // namespace

Registry& process_metrics() {
  return metrics().registry();
}

void count_event(Event event) {
  metrics().event(event).add();
}

void record_timing(Timing timing, Duration duration) {
  metrics().timing(timing).record(std::chrono::duration<double>(duration).count());
}

}  // namespace arbutusdale::observe
