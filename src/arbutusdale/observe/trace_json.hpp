// Spans as an OTLP/HTTP JSON document (opentelemetry-proto, ExportTraceServiceRequest).
#pragma once

#include "arbutusdale/observe/trace.hpp"

#include <string>
#include <vector>

namespace arbutusdale::observe {

std::string otlp_json(const std::string& service_name, const std::vector<Span>& spans);

}  // namespace arbutusdale::observe
