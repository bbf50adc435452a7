// Trace spans in the W3C Trace Context form, exported as OTLP/HTTP JSON.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace arbutusdale::observe {

/// Position of a call in its trace; lower-case hex as in the `traceparent` header.
struct TraceContext {
  std::string trace_id;  // 32 hex digits
  std::string span_id;   // 16 hex digits
  bool sampled = true;
};

/// Parses a `traceparent` header; nothing when it is malformed.
std::optional<TraceContext> parse_traceparent(std::string_view header);
std::string format_traceparent(const TraceContext& context);

/// One finished operation of a trace.
struct Span {
  TraceContext context;
  std::string parent_span_id;  // empty for a root span
  std::string name;            // entry, queue, attempt, target, admit, place, start, finish
  std::uint64_t start_ns = 0;  // since the Unix epoch
  std::uint64_t end_ns = 0;
  bool error = false;
  std::vector<std::pair<std::string, std::string>> attributes;
};

/// Collects finished spans. Thread-safe; never blocks the caller.
class Tracer {
 public:
  Tracer() = default;
  Tracer(const Tracer&) = delete;
  Tracer& operator=(const Tracer&) = delete;
  virtual ~Tracer() = default;

  /// Context of a new child span of `parent`, or of the root span of a new trace.
  virtual TraceContext begin(const std::optional<TraceContext>& parent) = 0;
  /// Queues a finished span for export; drops and counts it when the buffer is full.
  virtual void end(Span span) = 0;
  [[nodiscard]] virtual std::uint64_t dropped() const = 0;
};

struct TracerOptions {
  std::string service_name = "arbutusdaled";
  std::string collector_url;         // http://host:port/v1/traces; empty discards all spans
  std::size_t max_buffered = 4'096;  // spans
  std::uint64_t seed = 1;
};

/// Tracer that exports with libcurl in a background thread when a collector is set.
std::unique_ptr<Tracer> make_tracer(TracerOptions options);

}  // namespace arbutusdale::observe
