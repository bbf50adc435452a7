// The work of a daemon while it leads a shard: the scheduler, the log of its progress, and
// heartbeats.
#pragma once

#include "arbutusdale/core/timer.hpp"
#include "arbutusdale/fleet/node_dependencies.hpp"
#include "arbutusdale/fleet/shard_rooms.hpp"
#include "arbutusdale/jobs/job_table.hpp"
#include "arbutusdale/sched/scheduler.hpp"
#include "arbutusdale/sched/worker_directory.hpp"
#include "arbutusdale/store/group_commit.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace arbutusdale::fleet {

/// A leader whose reads of submissions and cancellations fail might start tasks of cancelled jobs.
inline constexpr Duration k_max_job_age_for_starts = std::chrono::milliseconds{3'000};

/// A claim to the leadership; identifies the leader once it has succeeded.
struct LeadershipClaim {
  std::string daemon;       // incarnation of the daemon
  std::string daemon_name;  // the same for all incarnations
  std::uint32_t term = 0;
  std::uint64_t fencing_token = 0;
  /// Sequence number of the claim. It differs between daemons, since the store treats an append
  /// with the same producer, epoch and sequence number as a retry and replies with success.
  std::uint64_t claim_sequence = 0;
  TimePoint claimed_at{};  // when the claim was sent
};

/// Producer name of all leaders; the epoch of a later leader fences the earlier ones.
inline constexpr const char* k_leader_producer = "arbutusdale.leader";

class Leader final : private sched::ProgressLog {
 public:
  /// `on_lost` is called from within other members; the owner must not destroy the leader in it.
  Leader(const NodeDependencies& dependencies, const jobs::JobTable& jobs, jobs::ShardIndex shard,
         LeadershipClaim claim, std::function<void()> on_lost);
  ~Leader() override;

  /// Receives the jobs submitted and cancelled from now on.
  jobs::JobListener& job_listener() { return m_scheduler; }
  [[nodiscard]] const LeadershipClaim& claim() const { return m_claim; }
  /// Time at which the claim became known to have succeeded.
  [[nodiscard]] TimePoint began_at() const { return m_began_at; }
  [[nodiscard]] sched::Scheduler& scheduler() { return m_scheduler; }
  [[nodiscard]] const sched::Scheduler& scheduler() const { return m_scheduler; }

  /// Call every 100 ms. Every submission and cancellation before `jobs_fresh_as_of` is known.
  void tick(std::optional<TimePoint> jobs_fresh_as_of);

  /// Deletes the progress of jobs whose submissions have been deleted.
  void delete_progress(const std::vector<jobs::JobId>& jobs);
  /// Deletes the records of the moves of these jobs, and the progress that they had before.
  void delete_moves(const std::vector<jobs::JobId>& jobs);

  /// Stops starting tasks and, once the progress written so far is stored, releases the leadership
  /// so that another daemon can claim it.
  void release(std::function<void()> done);

 private:
  void write(std::vector<store::KeyedValue> entries, std::function<void(bool)> done) override;

  void send_heartbeat();
  /// True when the other shards know the room of this one as it was some time ago.
  [[nodiscard]] bool is_stated_room_outdated() const;
  void update_order_limits(std::optional<TimePoint> jobs_fresh_as_of);
  [[nodiscard]] jobs::Leadership make_record(bool released) const;

  Timer& m_timer;
  LeadershipClaim m_claim;
  TimePoint m_began_at;
  std::function<void()> m_on_lost;
  ShardRooms m_rooms;
  store::GroupCommit m_log;
  sched::Scheduler m_scheduler;
  /// Passes the registrations of the shard's workers on to the scheduler, and all to the rooms.
  class ShardWorkers;
  std::unique_ptr<ShardWorkers> m_shard_workers;
  std::unique_ptr<sched::WorkerDirectory> m_directory;
  bool m_releasing = false;
  bool m_heartbeat_in_flight = false;
  TimePoint m_room_stated_at{};  // by the last heartbeat
};

}  // namespace arbutusdale::fleet
