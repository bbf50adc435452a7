// Spans of a call.
#include "call_trace.hpp"

#include <chrono>

namespace arbutusdale::gateway {
namespace {

std::uint64_t wall_ns() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::nanoseconds>(since_epoch).count());
}

std::uint64_t to_ns(Duration duration) {
  return static_cast<std::uint64_t>(std::chrono::nanoseconds(duration).count());
}

}  // namespace

CallTrace::CallTrace(observe::Tracer* tracer, const std::string* traceparent, std::string service)
    : m_tracer(tracer), m_service(std::move(service)) {
  if (m_tracer == nullptr) {
    return;
  }
  const auto parent =
      traceparent == nullptr ? std::nullopt : observe::parse_traceparent(*traceparent);
  m_parent_span_id = parent ? parent->span_id : "";
  m_entry = m_tracer->begin(parent);
  m_start_ns = wall_ns();
}

void CallTrace::queued() {
  m_queued_ns = m_tracer == nullptr ? 0 : wall_ns();
}

std::string CallTrace::attempt_started(const std::string& worker, std::uint32_t attempt) {
  if (m_tracer == nullptr) {
    return {};
  }
  m_attempt_ns = wall_ns();
  if (m_queued_ns != 0) {
    end_span(m_tracer->begin(m_entry), m_entry.span_id, "queue", m_queued_ns, m_attempt_ns, false,
             {});
  }
  m_worker = worker;
  m_attempt_number = attempt;
  m_attempt = m_tracer->begin(m_entry);
  m_target = m_tracer->begin(m_attempt);
  return observe::format_traceparent(m_target);
}

void CallTrace::attempt_ended(const UpstreamEnd& end, int status) {
  if (m_tracer == nullptr) {
    return;
  }
  const std::uint64_t now = wall_ns();
  const bool error = end.result != UpstreamResult::complete || status >= 500;
  if (end.result != UpstreamResult::not_sent) {
    end_span(m_target, m_attempt.span_id, "target", m_attempt_ns + to_ns(end.sent_after), now,
             error, {{"worker", m_worker}, {"status", std::to_string(status)}});
  }
  end_span(m_attempt, m_entry.span_id, "attempt", m_attempt_ns, now, error,
           {{"worker", m_worker}, {"attempt", std::to_string(m_attempt_number)}});
  m_queued_ns = now;
}

void CallTrace::ended(int status, const std::string& verdict) {
  if (m_tracer == nullptr) {
    return;
  }
  end_span(m_entry, m_parent_span_id, "entry", m_start_ns, wall_ns(), status >= 500,
           {{"service", m_service}, {"status", std::to_string(status)}, {"verdict", verdict}});
}

void CallTrace::end_span(const observe::TraceContext& context, const std::string& parent,
                         const char* name, std::uint64_t start_ns, std::uint64_t end_ns, bool error,
                         std::vector<std::pair<std::string, std::string>> attributes) {
  m_tracer->end(
      observe::Span{context, parent, name, start_ns, end_ns, error, std::move(attributes)});
}

}  // namespace arbutusdale::gateway
