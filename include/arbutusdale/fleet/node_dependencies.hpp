// What a daemon is built on: the interfaces to the outside, and its identity.
#pragma once

#include "arbutusdale/core/timer.hpp"
#include "arbutusdale/jobs/shards.hpp"
#include "arbutusdale/sched/advisor.hpp"
#include "arbutusdale/sched/worker_directory.hpp"
#include "arbutusdale/sched/worker_orders.hpp"
#include "arbutusdale/store/metadata_store.hpp"

#include <cstdint>
#include <string>

namespace arbutusdale::fleet {

struct NodeDependencies {
  store::MetadataStore& store;
  sched::WorkerOrders& orders;
  sched::Advisor& advisor;
  Timer& timer;
  sched::WorkerDirectoryFactory directory;
  std::string daemon;       // name; at most one process with it is alive
  std::string incarnation;  // unique among all processes that ever wrote to the store
  double cpu_share = 1;     // fraction of a core that this process may use
  store::RecordLimits record_limits = {};
  /// Most shards that this daemon proposes when the fleet starts for the first time.
  std::uint32_t max_shards = jobs::k_max_shards;
};

}  // namespace arbutusdale::fleet
