// A daemon: its replica of all jobs, the job service for callers, and the leader while it leads.
#pragma once

#include "arbutusdale/core/timer.hpp"
#include "arbutusdale/fleet/handover_policy.hpp"
#include "arbutusdale/fleet/job_followers.hpp"
#include "arbutusdale/fleet/job_service.hpp"
#include "arbutusdale/fleet/leader.hpp"
#include "arbutusdale/fleet/leader_election.hpp"
#include "arbutusdale/fleet/loop_lag.hpp"
#include "arbutusdale/fleet/stronger_daemons.hpp"
#include "arbutusdale/jobs/configuration.hpp"
#include "arbutusdale/jobs/job_table.hpp"
#include "arbutusdale/store/partition_follower.hpp"

#include <functional>
#include <memory>
#include <optional>
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
};

/// Statistics of a daemon; those of workers and tasks are 0 unless it leads.
struct NodeStats {
  std::size_t jobs = 0;
  std::optional<TimePoint> jobs_fresh_as_of;
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
  /// Stops claiming the leadership, and releases it if it is held. Calls `done` after the release,
  /// or at once when there is nothing to release.
  void shut_down(std::function<void()> done);

  jobs::ConfigurationView& configuration() { return m_configuration; }
  [[nodiscard]] const jobs::JobTable& jobs() const { return m_jobs; }
  JobService& service() { return m_service; }
  [[nodiscard]] bool is_leader() const { return m_leader != nullptr; }
  [[nodiscard]] NodeStats stats() const;
  /// True when callers can be served.
  [[nodiscard]] bool is_ready() const;

 private:
  class JobRecords;
  class LeaderRecords;

  void on_job_record(const store::Record& record);
  void on_jobs_caught_up();
  void on_leader_record(const store::Record& record);
  void send_claim();
  void on_claim_reply(const LeadershipClaim& claim,
                      const tl::expected<store::AppendReply, store::AppendError>& reply);
  void become_leader_if_claim_stored();
  void become_leader(LeadershipClaim claim);
  void step_down(const char* reason);
  void hand_over_if_overloaded();
  void delete_expired_jobs();

  NodeDependencies m_deps;
  jobs::ConfigurationView m_configuration;
  jobs::JobTable m_jobs;
  std::unique_ptr<JobRecords> m_job_records;
  std::unique_ptr<LeaderRecords> m_leader_records;
  JobFollowers m_job_followers;
  store::PartitionFollower m_leader_follower;
  JobService m_service;
  LeaderElection m_election;
  StrongerDaemons m_stronger;
  LoopLag m_lag;
  HandoverPolicy m_handover;
  std::unique_ptr<Leader> m_leader;
  /// Sent and without a reply yet, or without one in time, so that its outcome is unknown.
  std::optional<LeadershipClaim> m_pending_claim;
  bool m_claim_in_flight = false;
  TimePoint m_next_deletion{};
  bool m_leadership_lost = false;  // the node steps down in the next tick
  bool m_handing_over = false;
  bool m_handed_over = false;  // the release has ended; the node steps down in the next tick
  bool m_stopping = false;
  std::shared_ptr<bool> m_alive;
};

}  // namespace arbutusdale::fleet
