// Targets of one service at one daemon: free slots, health, and the choice of a worker for each
// attempt. Only changes of the worker list, the options or the membership take time linear in the
// number of workers.
#pragma once

#include "arbutusdale/core/random.hpp"
#include "arbutusdale/routing/request_router.hpp"

#include <cstdint>
#include <optional>
#include <queue>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "index_set.hpp"
#include "slot_partition.hpp"
#include "worker_health.hpp"

namespace arbutusdale::routing {

struct PoolOptions {
  Policy policy = Policy::slot_share;
  std::uint32_t slots = 8;
  std::uint32_t connections = 64;
  double max_ejected_share = 0.3;
  std::uint64_t seed = 1;
};

/// Worker chosen for an attempt.
struct Choice {
  std::uint32_t worker = 0;  // index in the pool
  bool borrowed = false;     // occupies a slot that belongs to another daemon
};

/// Slots and health of a service's workers. Not thread-safe.
class WorkerPool {
 public:
  explicit WorkerPool(const PoolOptions& options);

  void set_options(std::uint32_t slots, std::uint32_t connections);
  void set_targets(const std::vector<TargetInfo>& targets, TimePoint now);
  void set_membership(std::uint32_t daemons, std::uint32_t position);
  /// Limits how many slots of other daemons this daemon may occupy at the same time.
  void set_borrow_allowance(std::uint32_t slots) { m_borrow_allowance = slots; }
  /// Additional slots of other daemons that may be occupied while this daemon's queue is longer
  /// than theirs.
  void set_overflow_allowance(std::uint32_t slots) { m_overflow_allowance = slots; }

  /// Takes a slot. The workers in `avoid` are used only when no other worker is usable.
  std::optional<Choice> take(const std::vector<std::string>& avoid, TimePoint now);
  /// Returns the slot and updates the worker's health from the outcome.
  void release(const Choice& choice, const AttemptOutcome& outcome, TimePoint now);
  /// Ends the holds and ejections that are due; true when there were any.
  bool tick(TimePoint now);
  [[nodiscard]] TimePoint next_due() const;

  [[nodiscard]] const std::string& worker_id(std::uint32_t worker) const;
  [[nodiscard]] const std::string& address(std::uint32_t worker) const;
  [[nodiscard]] std::uint32_t idle_slots() const;
  /// Slots that this daemon may occupy at the same time.
  [[nodiscard]] std::uint32_t capacity() const;
  [[nodiscard]] std::uint32_t targets() const { return m_listed; }
  [[nodiscard]] std::uint32_t usable() const { return m_usable; }
  [[nodiscard]] std::uint32_t ejected() const { return m_ejected; }
  /// Moving average of the latency of successful answers; zero before the first one.
  [[nodiscard]] Duration mean_latency() const;

 private:
  static constexpr std::uint32_t k_not_open = 0xFFFFFFFF;

  struct Worker {
    std::string id;
    std::string address;
    bool listed = false;
    bool leaving = false;
    bool in_subset = false;  // in this daemon's subset
    std::uint32_t own_slots = 0;
    std::uint32_t in_flight = 0;
    std::uint32_t held = 0;  // slots kept occupied after a fast failure or in slow start
    HealthAverage health{k_health_weight};
    OutlierKind outlier = OutlierKind::none;
    TimePoint eject_until{};
    std::uint32_t ejections = 0;
    TimePoint ramp_start{};
    bool ramping = false;
    // This worker's contribution to the pool's sums; subtracted before the new one is added.
    std::uint32_t counted_own = 0;
    std::uint32_t counted_idle = 0;
    std::uint32_t counted_reserve = 0;
    bool counted_usable = false;
    std::uint32_t counted_load = k_not_open;
  };
  struct Due {
    TimePoint time{};
    std::uint32_t worker = 0;
    bool hold = false;  // end of a held slot, otherwise of an ejection
    friend bool operator>(const Due& a, const Due& b) { return a.time > b.time; }
  };

  // Weight of a sample in the averages of a worker (about 20 calls) and of the service (about 200).
  static constexpr double k_health_weight = 0.05;
  static constexpr double k_service_weight = 0.005;

  [[nodiscard]] static bool is_usable(const Worker& worker);
  [[nodiscard]] static std::uint32_t occupied(const Worker& worker);
  std::uint32_t index_of(const TargetInfo& target);
  void partition_slots();
  void refresh(std::uint32_t index);
  void refresh_sums(Worker& worker);
  void refresh_sets(std::uint32_t index, Worker& worker);

  std::optional<std::uint32_t> choose_own(const std::vector<std::string>& avoid);
  std::optional<std::uint32_t> choose_least_loaded(const std::vector<std::string>& avoid);
  std::optional<std::uint32_t> choose_random(const std::vector<std::string>& avoid);
  std::optional<std::uint32_t> choose_round_robin(const std::vector<std::string>& avoid);
  std::optional<std::uint32_t> pick(const IndexSet& set, const std::vector<std::string>& avoid);
  std::optional<Choice> choose(const std::vector<std::string>& avoid);
  [[nodiscard]] bool is_avoided(std::uint32_t index, const std::vector<std::string>& avoid) const;
  std::vector<std::string> effective_avoid(const std::vector<std::string>& avoid) const;

  void eject_if_outlier(std::uint32_t index, TimePoint now);
  void hold_slot(std::uint32_t index, const AttemptOutcome& outcome, TimePoint now);
  void end_ejection(std::uint32_t index, TimePoint now);

  PoolOptions m_options;
  Random m_random;
  std::vector<Worker> m_workers;  // indices stay valid while a worker is listed or occupied
  std::vector<std::uint32_t> m_free_indices;
  std::unordered_map<std::string, std::uint32_t> m_by_id;
  std::vector<std::uint32_t> m_ranked;  // listed workers that are not leaving, sorted by id
  SlotPartition m_partition;
  std::uint32_t m_connection_share = 1;
  std::uint32_t m_borrow_allowance = 0;
  std::uint32_t m_overflow_allowance = 0;
  std::uint32_t m_borrowed = 0;

  IndexSet m_own_free;              // usable, with a free own slot
  IndexSet m_reserve;               // ejected for latency, with a free own slot; used last
  IndexSet m_open;                  // usable, with fewer occupied slots than the connection share
  std::vector<IndexSet> m_by_load;  // members of m_open by number of occupied slots
  std::uint32_t m_next_rank = 0;    // next rank of the round robin; 0 before the first choice

  std::uint32_t m_listed = 0;
  std::uint32_t m_usable = 0;
  std::uint32_t m_ejected = 0;
  std::uint32_t m_own_slots = 0;
  std::uint32_t m_idle = 0;
  std::uint32_t m_reserve_slots = 0;  // own slots of workers that are ejected for latency
  HealthAverage m_service{k_service_weight};
  std::priority_queue<Due, std::vector<Due>, std::greater<>> m_due;
};

}  // namespace arbutusdale::routing
