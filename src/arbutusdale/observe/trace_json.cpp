// OTLP/HTTP JSON encoding of spans.
#include "trace_json.hpp"

#include <nlohmann/json.hpp>

namespace arbutusdale::observe {
namespace {

using Json = nlohmann::json;

constexpr int k_kind_internal = 1;  // SPAN_KIND_INTERNAL
constexpr int k_kind_server = 2;    // SPAN_KIND_SERVER
constexpr int k_kind_client = 3;    // SPAN_KIND_CLIENT
constexpr int k_status_error = 2;   // STATUS_CODE_ERROR

int span_kind(const std::string& name) {
  if (name == "entry") {
    return k_kind_server;
  }
  return name == "target" ? k_kind_client : k_kind_internal;
}

Json attribute(const std::string& key, const std::string& value) {
  return {{"key", key}, {"value", {{"stringValue", value}}}};
}

Json to_json(const Span& span) {
  Json attributes = Json::array();
  for (const auto& [key, value] : span.attributes) {
    attributes.push_back(attribute(key, value));
  }
  // Protobuf's JSON mapping writes 64-bit integers as strings.
  Json out = {{"traceId", span.context.trace_id},
              {"spanId", span.context.span_id},
              {"name", span.name},
              {"kind", span_kind(span.name)},
              {"startTimeUnixNano", std::to_string(span.start_ns)},
              {"endTimeUnixNano", std::to_string(span.end_ns)},
              {"attributes", std::move(attributes)}};
  if (!span.parent_span_id.empty()) {
    out["parentSpanId"] = span.parent_span_id;
  }
  if (span.error) {
    out["status"] = {{"code", k_status_error}};
  }
  return out;
}

}  // namespace

std::string otlp_json(const std::string& service_name, const std::vector<Span>& spans) {
  Json list = Json::array();
  for (const auto& span : spans) {
    list.push_back(to_json(span));
  }
  const Json scope = {{"scope", {{"name", "arbutusdale"}}}, {"spans", std::move(list)}};
  const Json resource = {{"attributes", Json::array({attribute("service.name", service_name)})}};
  const Json resource_spans = {{"resource", resource}, {"scopeSpans", Json::array({scope})}};
  const Json document = {{"resourceSpans", Json::array({resource_spans})}};
  return document.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace arbutusdale::observe
