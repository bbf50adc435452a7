// Spans of one call: entry, queue, attempt and target.
#pragma once

#include "arbutusdale/observe/trace.hpp"

#include <cstdint>
#include <optional>
#include <string>

#include "upstream.hpp"

namespace arbutusdale::gateway {

/// Records the spans of one call; does nothing when there is no tracer. Not thread-safe.
class CallTrace {
 public:
  CallTrace(observe::Tracer* tracer, const std::string* traceparent, std::string service);

  /// Marks the start of the wait for a target.
  void queued();
  /// Starts an attempt and returns its `traceparent` value; empty without a tracer.
  std::string attempt_started(const std::string& worker, std::uint32_t attempt);
  void attempt_ended(const UpstreamEnd& end, int status);
  void ended(int status, const std::string& verdict);

 private:
  void end_span(const observe::TraceContext& context, const std::string& parent, const char* name,
                std::uint64_t start_ns, std::uint64_t end_ns, bool error,
                std::vector<std::pair<std::string, std::string>> attributes);

  observe::Tracer* m_tracer;
  const std::string m_service;
  std::string m_parent_span_id;
  observe::TraceContext m_entry;
  observe::TraceContext m_attempt;
  observe::TraceContext m_target;
  std::string m_worker;
  std::uint32_t m_attempt_number = 0;
  std::uint64_t m_start_ns = 0;
  std::uint64_t m_queued_ns = 0;
  std::uint64_t m_attempt_ns = 0;
};

}  // namespace arbutusdale::gateway
