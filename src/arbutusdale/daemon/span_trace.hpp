// Turns the hops of tasks into trace spans.
#pragma once

#include "arbutusdale/batch/task_trace.hpp"
#include "arbutusdale/core/clock.hpp"
#include "arbutusdale/observe/trace.hpp"

namespace arbutusdale::daemon {

/// All hops of a task, also of later attempts and on other daemons, share one trace, whose id is a
/// hash of job and task.
class SpanTrace final : public batch::TaskTrace {
 public:
  SpanTrace(observe::Tracer& tracer, const Clock& clock) : m_tracer(tracer), m_clock(clock) {}

  void hop(const batch::TaskHop& hop) override;

 private:
  observe::Tracer& m_tracer;
  const Clock& m_clock;
};

/// Trace and span of a task from which its hops descend.
observe::TraceContext task_context(const std::string& job, std::uint32_t task);

}  // namespace arbutusdale::daemon
