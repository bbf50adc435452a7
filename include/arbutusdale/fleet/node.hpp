// A daemon: its replica of all jobs, the job service for callers, and its part in each shard.
#pragma once

#include "arbutusdale/core/timer.hpp"
#include "arbutusdale/fleet/job_followers.hpp"
#include "arbutusdale/fleet/job_service.hpp"
#include "arbutusdale/fleet/loop_lag.hpp"
#include "arbutusdale/fleet/node_dependencies.hpp"
#include "arbutusdale/fleet/shard_layout_agreement.hpp"
#include "arbutusdale/fleet/shard_member.hpp"
#include "arbutusdale/fleet/stronger_daemons.hpp"
#include "arbutusdale/fleet/view_age_log.hpp"
#include "arbutusdale/jobs/configuration.hpp"
#include "arbutusdale/jobs/job_table.hpp"
#include "arbutusdale/store/partition_follower.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace arbutusdale::fleet {

/// Statistics of a daemon; those of workers and tasks are of the shards that it leads.
struct NodeStats {
  std::size_t jobs = 0;
  std::uint32_t shards = 0;  // of the fleet; 0 while unknown
  std::size_t shards_led = 0;
  std::optional<TimePoint> jobs_fresh_as_of;
  std::vector<std::optional<TimePoint>> shards_fresh_as_of;  // views of the records of the leaders
  std::size_t waiting_tasks = 0;
  std::size_t registered_workers = 0;
  std::size_t reachable_workers = 0;
  std::size_t runs = 0;
};

class Node {
 public:
  explicit Node(NodeDependencies dependencies);
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;
  ~Node();

  void start();
  /// Call every 100 ms.
  void tick();
  /// Stops claiming the leadership of shards, and releases those that are held. Calls `done` after
  /// that, or at once when there is nothing to release.
  void shut_down(std::function<void()> done);

  jobs::ConfigurationView& configuration() { return m_configuration; }
  [[nodiscard]] const jobs::JobTable& jobs() const { return m_jobs; }
  JobService& service() { return m_service; }
  /// True while this daemon leads a shard.
  [[nodiscard]] bool is_leader() const { return shards_led() > 0; }
  [[nodiscard]] bool leads(jobs::ShardIndex shard) const;
  [[nodiscard]] std::size_t shards_led() const;
  [[nodiscard]] NodeStats stats() const;
  /// True when callers can be served.
  [[nodiscard]] bool is_ready() const;

 private:
  class JobRecords;

  void on_job_record(const store::Record& record);
  void on_jobs_caught_up();
  void adopt_layout(jobs::ShardLayout layout);
  void on_led_changed();
  void log_view_ages();
  [[nodiscard]] DaemonState daemon_state() const;
  /// Names of the daemons that lead shards, by the newest records.
  [[nodiscard]] std::set<std::string> leading_daemons() const;
  void delete_expired_jobs();
  void delete_progress(const std::vector<jobs::JobId>& jobs);
  void delete_old_moves();

  NodeDependencies m_deps;
  jobs::ConfigurationView m_configuration;
  jobs::JobTable m_jobs;
  std::unique_ptr<JobRecords> m_job_records;
  JobFollowers m_job_followers;
  JobService m_service;
  StrongerDaemons m_stronger;
  LoopLag m_lag;
  ViewAgeLog m_jobs_age_log{"jobs"};
  std::vector<ViewAgeLog> m_shard_age_logs;
  std::unique_ptr<ShardLayoutAgreement> m_agreement;    // until the layout is known
  std::vector<std::unique_ptr<ShardMember>> m_members;  // by shard; empty before
  TimePoint m_next_deletion{};
  bool m_stopping = false;
  std::shared_ptr<bool> m_alive;
};

}  // namespace arbutusdale::fleet
