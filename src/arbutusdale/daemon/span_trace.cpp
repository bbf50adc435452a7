// Trace spans of batch tasks.
#include "span_trace.hpp"

#include "arbutusdale/core/hash.hpp"

#include <fmt/format.h>

namespace arbutusdale::daemon {
namespace {

constexpr std::uint64_t k_ns_per_ms = 1'000'000;
constexpr std::uint64_t k_trace_seed = 1;
constexpr std::uint64_t k_span_seed = 2;

/// Wall time, in nanoseconds since the epoch, of a time point of the steady clock.
std::uint64_t wall_ns(const Clock& clock, TimePoint time) {
  const auto ago = std::chrono::duration_cast<std::chrono::nanoseconds>(clock.now() - time);
  return clock.wall_ms() * k_ns_per_ms - static_cast<std::uint64_t>(ago.count());
}

}  // namespace

observe::TraceContext task_context(const std::string& job, std::uint32_t task) {
  const auto name = fmt::format("{}/{}", job, task);
  observe::TraceContext context;
  context.trace_id =
      fmt::format("{:016x}{:016x}", stable_hash(name), stable_hash(name, k_trace_seed));
  context.span_id = fmt::format("{:016x}", stable_hash(name, k_span_seed));
  return context;
}

void SpanTrace::on_stage(const batch::TaskStageSpan& finished) {
  const auto parent = task_context(finished.job, finished.task);
  observe::Span span;
  span.context = m_tracer.begin(parent);
  span.parent_span_id = parent.span_id;
  span.name = to_string(finished.stage);
  span.start_ns = wall_ns(m_clock, finished.begin);
  span.end_ns = wall_ns(m_clock, finished.end);
  span.attributes = {{"job", finished.job},
                     {"task", std::to_string(finished.task)},
                     {"attempt", std::to_string(finished.attempt)},
                     {"worker", finished.worker}};
  m_tracer.end(std::move(span));
}

}  // namespace arbutusdale::daemon
