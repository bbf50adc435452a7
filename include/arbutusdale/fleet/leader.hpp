// A daemon's work while it leads: the scheduler, its record of progress and its heartbeats.
#pragma once

#include "arbutusdale/core/timer.hpp"
#include "arbutusdale/jobs/job_table.hpp"
#include "arbutusdale/sched/scheduler.hpp"
#include "arbutusdale/sched/worker_directory.hpp"
#include "arbutusdale/store/group_commit.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace arbutusdale::fleet {

/// A claim that has succeeded.
struct LeadershipClaim {
  std::string daemon;       // incarnation
  std::string daemon_name;  // the same for all incarnations
  std::uint32_t term = 0;
  std::uint64_t fencing_token = 0;
  /// Sequence number of the claim. It differs between daemons, since the store takes an append with
  /// the same producer, epoch and sequence for a repeat and answers it with success.
  std::uint64_t claim_sequence = 0;
  TimePoint claimed_at{};  // when the claim was sent
};

/// Name under which leaders write; a later leader's epoch fences the earlier ones.
inline constexpr const char* k_leader_producer = "arbutusdale.leader";

class Leader final : private sched::ProgressLog {
 public:
  /// `on_lost` is called from within other members; the owner must not destroy the leader in it.
  Leader(store::MetadataStore& store, sched::WorkerOrders& orders, sched::Advisor& advisor,
         Timer& timer, const jobs::JobTable& jobs, const sched::WorkerDirectoryFactory& directory,
         LeadershipClaim claim, std::function<void()> on_lost);

  /// Learns of jobs submitted and cancelled from now on.
  jobs::JobListener& job_listener() { return m_scheduler; }
  [[nodiscard]] const LeadershipClaim& claim() const { return m_claim; }
  /// Time at which the claim was known to have succeeded.
  [[nodiscard]] TimePoint began_at() const { return m_began_at; }
  [[nodiscard]] sched::Scheduler& scheduler() { return m_scheduler; }
  [[nodiscard]] const sched::Scheduler& scheduler() const { return m_scheduler; }

  /// Call every 100 ms.
  void tick();

  /// Drops the progress of jobs whose submissions have been dropped.
  void delete_progress(const std::vector<jobs::JobId>& jobs);

  /// Starts no more tasks, stores what has ended, and gives the leadership up for another daemon.
  void release(std::function<void()> done);

 private:
  void write(std::vector<store::KeyedValue> entries, std::function<void(bool)> done) override;

  void send_heartbeat();
  void update_confirmation();
  [[nodiscard]] jobs::Leadership make_record(bool released) const;

  Timer& m_timer;
  LeadershipClaim m_claim;
  TimePoint m_began_at;
  std::function<void()> m_on_lost;
  store::GroupCommit m_log;
  sched::Scheduler m_scheduler;
  std::unique_ptr<sched::WorkerDirectory> m_directory;
  bool m_releasing = false;
};

}  // namespace arbutusdale::fleet
