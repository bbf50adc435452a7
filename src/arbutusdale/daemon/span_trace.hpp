// Turns the stages of batch tasks into trace spans.
#pragma once

#include "arbutusdale/batch/task_trace.hpp"
#include "arbutusdale/core/clock.hpp"
#include "arbutusdale/observe/trace.hpp"

namespace arbutusdale::daemon {

/// The spans of all stages of a task, also of later attempts and on other daemons, share one trace,
/// whose id is a hash of job and task.
class SpanTrace final : public batch::TaskTrace {
 public:
  SpanTrace(observe::Tracer& tracer, const Clock& clock) : m_tracer(tracer), m_clock(clock) {}

  void on_stage(const batch::TaskStageSpan& finished) override;

 private:
  observe::Tracer& m_tracer;
  const Clock& m_clock;
};

/// Trace and span of a task that is the parent of the spans of its stages.
observe::TraceContext task_context(const std::string& job, std::uint32_t task);

}  // namespace arbutusdale::daemon
