// JSON texts for `status` and `record`.
#pragma once

#include <cstddef>
#include <string>

#include "context.hpp"
#include "shard_manager.hpp"
#include "vm_view.hpp"

namespace arbutusdale::control {

/// State of the fleet as known to this daemon.
std::string make_status_json(const Context& context, const ShardManager& shards, const VmView& vms,
                             const Readiness& readiness, TimePoint now);

/// The newest `limit` plans, newest first.
std::string make_record_json(const Context& context, std::size_t limit);

}  // namespace arbutusdale::control
