// Reports the stages of batch tasks as trace spans.
#pragma once

#include "arbutusdale/batch/task_trace.hpp"
#include "arbutusdale/core/clock.hpp"
#include "arbutusdale/observe/trace.hpp"

namespace arbutusdale::daemon {

/// Emits one span per finished stage. All spans of a task, including those of later attempts and of
/// other daemons, belong to one trace, whose id is a hash of job and task.
class SpanTrace final : public batch::TaskTrace {
 public:
  SpanTrace(observe::Tracer& tracer, const Clock& clock) : m_tracer(tracer), m_clock(clock) {}

  void on_stage(const batch::TaskStageSpan& finished) override;

 private:
  observe::Tracer& m_tracer;
  const Clock& m_clock;
};

/// Context of a task's root span, the parent of the spans of its stages. It depends on job and task
/// only, so all daemons compute the same.
observe::TraceContext task_context(const std::string& job, std::uint32_t task);

}  // namespace arbutusdale::daemon
