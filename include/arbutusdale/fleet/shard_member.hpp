// A daemon's part in one shard: it follows the records of the shard's leader, takes part in the
// election, and runs the leader while it leads.
#pragma once

#include "arbutusdale/core/timer.hpp"
#include "arbutusdale/fleet/handover_policy.hpp"
#include "arbutusdale/fleet/leader.hpp"
#include "arbutusdale/fleet/leader_election.hpp"
#include "arbutusdale/fleet/node_dependencies.hpp"
#include "arbutusdale/jobs/job_table.hpp"
#include "arbutusdale/store/partition_follower.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace arbutusdale::fleet {

/// What the daemon knows beside the shard's own records.
struct DaemonState {
  bool job_table_current = false;
  std::optional<TimePoint> jobs_fresh_as_of;
  /// See FollowerState.
  bool stronger_in_touch = false;
  bool stronger_known = false;
  std::size_t shards_led = 0;    // by this daemon
  bool claim_in_flight = false;  // of this daemon, for any shard
  /// This daemon leads several shards, and another that is as strong leads none.
  bool should_share_load = false;
  std::optional<TimePoint> lagging_since;
  Duration lag{};
};

class ShardMember final : private store::PartitionListener {
 public:
  /// `on_led_changed` is called when the daemon begins or ceases to lead the shard.
  ShardMember(const NodeDependencies& dependencies, jobs::JobTable& jobs, jobs::ShardIndex shard,
              std::function<void()> on_led_changed);
  ~ShardMember() override;

  void start() { m_follower.start(); }
  /// Call every 100 ms.
  void tick(const DaemonState& daemon);
  /// Whether this daemon leads some shard: a leader has to know soon of jobs that it is handed.
  void follow_closely(bool closely);
  /// All jobs accepted before `fresh_as_of` are in the job table.
  void on_jobs_caught_up(std::optional<TimePoint> fresh_as_of);
  /// Releases the leadership if it is held. Calls `done` after that, or at once when there is
  /// nothing to release.
  void shut_down(std::function<void()> done);

  [[nodiscard]] jobs::ShardIndex shard() const { return m_shard; }
  /// Null unless this daemon leads the shard.
  [[nodiscard]] Leader* leader() { return m_leader.get(); }
  [[nodiscard]] const Leader* leader() const { return m_leader.get(); }
  /// See PartitionFollower::fresh_as_of().
  [[nodiscard]] std::optional<TimePoint> fresh_as_of() const { return m_follower.fresh_as_of(); }
  [[nodiscard]] bool has_claim_in_flight() const { return m_claim_in_flight; }

 private:
  void on_record(const store::Record& record) override;

  void send_claim();
  void on_claim_reply(const LeadershipClaim& claim,
                      const tl::expected<store::AppendReply, store::AppendError>& reply);
  void become_leader_if_claim_stored();
  void become_leader(LeadershipClaim claim);
  void step_down(const char* reason);
  void hand_over_if_overloaded(const DaemonState& daemon);

  const NodeDependencies& m_deps;
  jobs::JobTable& m_jobs;
  const jobs::ShardIndex m_shard;
  std::function<void()> m_on_led_changed;
  store::PartitionFollower m_follower;
  LeaderElection m_election;
  HandoverPolicy m_handover;
  std::unique_ptr<Leader> m_leader;
  /// Sent and without a reply yet, or without one in time, so that its outcome is unknown.
  std::optional<LeadershipClaim> m_pending_claim;
  bool m_claim_in_flight = false;
  bool m_leadership_lost = false;  // the daemon steps down in the next tick
  bool m_handing_over = false;
  bool m_handed_over = false;  // the release has ended; the daemon steps down in the next tick
  bool m_stopping = false;
  std::shared_ptr<bool> m_alive;
};

}  // namespace arbutusdale::fleet
