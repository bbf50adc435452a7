// Finds the number of shards of the fleet, or lets the fleet agree on it when it starts for the
// first time: a daemon counts the registered workers and stores the layout under the condition that
// the layout's partition is empty, so all daemons read the same one.
#pragma once

#include "arbutusdale/core/timer.hpp"
#include "arbutusdale/jobs/shards.hpp"
#include "arbutusdale/sched/worker_directory.hpp"
#include "arbutusdale/store/metadata_store.hpp"
#include "arbutusdale/store/partition_follower.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace arbutusdale::fleet {

struct ShardLayoutOptions {
  std::string daemon;    // name
  double cpu_share = 1;  // fraction of a core that the daemon may use
  std::uint32_t max_shards = jobs::k_max_shards;
};

class ShardLayoutAgreement final : private store::PartitionListener, private sched::WorkerListener {
 public:
  ShardLayoutAgreement(store::MetadataStore& store, Timer& timer,
                       sched::WorkerDirectoryFactory directory, ShardLayoutOptions options);
  ~ShardLayoutAgreement() override;

  void start();
  /// Call every 100 ms until the layout is known.
  void tick();
  /// Empty until it has been read from the store.
  [[nodiscard]] std::optional<jobs::ShardLayout> layout() const { return m_layout; }

 private:
  void on_record(const store::Record& record) override;
  void on_scan_complete() override;
  void on_worker_updated(const sched::WorkerEntry& entry) override;
  void on_worker_gone(const std::string& id) override { m_workers.erase(id); }
  void on_workers_loaded() override;

  void find_earlier_leader();
  [[nodiscard]] bool may_propose() const;
  void propose();

  store::MetadataStore& m_store;
  Timer& m_timer;
  sched::WorkerDirectoryFactory m_make_directory;
  const ShardLayoutOptions m_options;
  store::PartitionFollower m_follower;
  std::optional<jobs::ShardLayout> m_layout;
  bool m_has_unreadable_record = false;

  std::optional<TimePoint> m_missing_since;  // the store was seen to have no layout
  /// A leader of a version without shards has stored records, so the fleet has one shard.
  std::optional<bool> m_had_leader;
  std::unique_ptr<sched::WorkerDirectory> m_directory;  // while this daemon counts workers
  std::optional<TimePoint> m_counted_since;
  std::optional<TimePoint> m_worker_added_at;
  std::set<std::string> m_workers;  // ids
  bool m_call_in_flight = false;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace arbutusdale::fleet
