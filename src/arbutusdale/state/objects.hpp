// Kinds of versioned objects, look-up of declared objects by name, and the errors for unknown
// records, which stop a stream.
#pragma once

#include "arbutusdale/core/verdict.hpp"
#include "arbutusdale/state.pb.h"

#include <algorithm>
#include <cstdint>
#include <string>

#include <google/protobuf/repeated_ptr_field.h>

namespace arbutusdale::state {

// Kinds of objects whose versions a plan's preconditions refer to.
constexpr const char* k_kind_domain = "domain";
constexpr const char* k_kind_team = "team";
constexpr const char* k_kind_service = "service";
constexpr const char* k_kind_job = "job";
constexpr const char* k_kind_vm = "vm";
/// A path prefix; its version changes when a service starts or stops using it.
constexpr const char* k_kind_path = "path";
/// Properties of the whole fleet that plans depend on.
constexpr const char* k_kind_fleet = "fleet";
constexpr const char* k_fleet_reservations = "service reservations";
constexpr const char* k_fleet_layout = "failure domains and weights";

/// Human-readable name of an object, such as "service 'checks'".
std::string object_label(const std::string& kind, const std::string& name);

/// Errors for records whose format or type this version does not know.
tl::unexpected<Error> unknown_format(const proto::state::Record& record, std::uint64_t offset);
tl::unexpected<Error> unknown_type(const proto::state::Record& record, std::uint64_t offset);

/// Declared object with this name, or null.
template <typename Message>
const Message* find_named(const google::protobuf::RepeatedPtrField<Message>& objects,
                          const std::string& name) {
  const auto it = std::find_if(objects.begin(), objects.end(),
                               [&name](const Message& object) { return object.name() == name; });
  return it == objects.end() ? nullptr : &*it;
}

/// Replaces the object with the same name in place, or appends it.
template <typename Message>
void upsert_named(google::protobuf::RepeatedPtrField<Message>& objects, const Message& object) {
  const auto it = std::find_if(objects.begin(), objects.end(), [&object](const Message& other) {
    return other.name() == object.name();
  });
  if (it == objects.end()) {
    *objects.Add() = object;
  } else {
    *it = object;
  }
}

template <typename Message>
void erase_named(google::protobuf::RepeatedPtrField<Message>& objects, const std::string& name) {
  const auto it = std::find_if(objects.begin(), objects.end(),
                               [&name](const Message& object) { return object.name() == name; });
  if (it != objects.end()) {
    objects.erase(it);
  }
}

}  // namespace arbutusdale::state
