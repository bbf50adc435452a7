// Names of versioned objects, look-up of declared objects, and the errors that stop a stream.
#pragma once

#include "arbutusdale/core/verdict.hpp"
#include "arbutusdale/state.pb.h"

#include <algorithm>
#include <cstdint>
#include <string>

#include <google/protobuf/repeated_ptr_field.h>

namespace arbutusdale::state {

// Kinds of objects whose versions preconditions name.
constexpr const char* k_kind_domain = "domain";
constexpr const char* k_kind_team = "team";
constexpr const char* k_kind_service = "service";
constexpr const char* k_kind_job = "job";
constexpr const char* k_kind_vm = "vm";
/// A path prefix: changes when a service takes it or gives it up.
constexpr const char* k_kind_path = "path";
/// Facts about the whole fleet that plans depend on.
constexpr const char* k_kind_fleet = "fleet";
constexpr const char* k_fleet_reservations = "service reservations";
constexpr const char* k_fleet_layout = "failure domains and weights";

/// Name of an object for people, such as "service 'checks'".
std::string object_label(const std::string& kind, const std::string& name);

/// Errors for records that this version does not understand.
tl::unexpected<Error> unknown_format(const proto::state::Record& record, std::uint64_t offset);
tl::unexpected<Error> unknown_type(const proto::state::Record& record, std::uint64_t offset);

/// Declared object of this name, or null.
template <typename Message>
const Message* find_named(const google::protobuf::RepeatedPtrField<Message>& objects,
                          const std::string& name) {
  const auto it = std::find_if(objects.begin(), objects.end(),
                               [&name](const Message& object) { return object.name() == name; });
  return it == objects.end() ? nullptr : &*it;
}

/// Replaces the object of the same name in place, or adds it at the end.
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
