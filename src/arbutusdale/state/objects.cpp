// Labels of objects and errors for unknown records.
#include "objects.hpp"

#include "arbutusdale/state/limits.hpp"

namespace arbutusdale::state {

std::string object_label(const std::string& kind, const std::string& name) {
  if (kind == k_kind_fleet) {
    return "the fleet's " + name;
  }
  return kind + " '" + name + "'";
}

tl::unexpected<Error> unknown_format(const proto::state::Record& record, std::uint64_t offset) {
  return not_run(ErrorCode::internal,
                 "record '" + record.id() + "' at offset " + std::to_string(offset) +
                     " has format " + std::to_string(record.format()) +
                     "; this version only reads format " + std::to_string(k_record_format));
}

tl::unexpected<Error> unknown_type(const proto::state::Record& record, std::uint64_t offset) {
  return not_run(ErrorCode::internal, "record '" + record.id() + "' at offset " +
                                          std::to_string(offset) +
                                          " has a type that is unknown to this stream");
}

}  // namespace arbutusdale::state
