// Text for people from the JSON responses of the admin API.
#pragma once

#include <string>

#include <nlohmann/json.hpp>

namespace arbutusdale::cli {

using Json = nlohmann::json;

/// Text of a scalar field; `name` is in snake case and is also looked up in the camel case of the
/// protobuf JSON mapping. Empty when it is missing.
std::string field(const Json& object, const std::string& name);

/// Any JSON as indented lines `name: value`.
std::string render_tree(const Json& value);

/// Plans with their decisions, changes and steps.
std::string render_record(const Json& response);

/// Message of a failed call: `detail` of the problem document, else its title, else the status.
std::string render_problem(long status, const std::string& body);

}  // namespace arbutusdale::cli
