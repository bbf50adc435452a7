// Tests of the trace spans of batch tasks.
#include "span_trace.hpp"

#include <vector>

#include <criterion/criterion.h>

using namespace arbutusdale;

namespace {

class RecordingTracer final : public observe::Tracer {
 public:
  observe::TraceContext begin(const std::optional<observe::TraceContext>& parent) override {
    observe::TraceContext context = parent.value_or(observe::TraceContext{});
    context.span_id = "00000000000000aa";
    return context;
  }
  void end(observe::Span span) override { spans.push_back(std::move(span)); }
  [[nodiscard]] std::uint64_t dropped() const override { return 0; }

  std::vector<observe::Span> spans;
};

}  // namespace

// Guards against stages of one task that end up in different traces, and against durations that
// change in the conversion from steady time to wall time.
Test(span_trace, stages_of_a_task_share_a_trace) {
  FakeClock clock;
  RecordingTracer tracer;
  daemon::SpanTrace trace(tracer, clock);
  const auto begin = clock.now();
  clock.advance(std::chrono::milliseconds{30});
  trace.on_stage({batch::TaskStage::start, "cut", 7, 1, "vm-1", begin, clock.now()});
  trace.on_stage({batch::TaskStage::finish, "cut", 7, 1, "vm-1", begin, clock.now()});
  cr_assert_eq(tracer.spans.size(), 2U);
  cr_assert(tracer.spans[0].context.trace_id == tracer.spans[1].context.trace_id);
  cr_assert_eq(tracer.spans[0].context.trace_id.size(), 32U);
  cr_assert_eq(tracer.spans[0].end_ns - tracer.spans[0].start_ns, 30'000'000U);
  cr_assert(tracer.spans[1].name == "finish");
  cr_assert(daemon::task_context("cut", 8).trace_id != tracer.spans[0].context.trace_id);
}
