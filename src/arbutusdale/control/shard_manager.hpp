// Claims shards for this daemon and runs those that it holds.
#pragma once

#include "arbutusdale/batch/shard_runner.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "context.hpp"
#include "vm_view.hpp"

namespace arbutusdale::control {

/// Keeps one ShardRunner for each shard held. A runner is stopped and removed as soon as the stream
/// shows another term or holder.
class ShardManager {
 public:
  /// Called when this daemon has become the holder of a shard.
  using TermBegan =
      std::function<void(std::uint32_t shard, std::uint64_t term, std::uint64_t previous_term)>;

  ShardManager(const Context& context, const VmView& vms, TermBegan term_began);

  /// Starts and stops runners to match the holders in the stream, claims shards without a holder,
  /// and runs all runners.
  void tick(TimePoint now, bool joined);
  void vms_changed(TimePoint now);
  void state_changed(TimePoint now);

  /// Stops all runners and appends a release record for each of their shards.
  void release_all();
  [[nodiscard]] bool holds_any() const { return !m_runners.empty(); }

  [[nodiscard]] std::uint32_t shards() const;
  [[nodiscard]] bool holds(std::uint32_t shard) const { return m_runners.contains(shard); }
  [[nodiscard]] std::vector<std::uint32_t> held() const;
  [[nodiscard]] batch::ShardStats totals() const;
  [[nodiscard]] bool is_drained(const std::string& worker) const;
  [[nodiscard]] std::string waiting_reason(const std::string& job) const;

 private:
  struct Held {
    std::uint64_t term = 0;
    std::unique_ptr<batch::ShardRunner> runner;
  };

  void sync_runners(TimePoint now);
  void start_runner(std::uint32_t shard, std::uint64_t term, TimePoint now);
  void claim_free(TimePoint now);
  void claim(std::uint32_t shard, std::uint64_t expected_term);
  void update_workers(std::uint32_t shard, batch::ShardRunner& runner, TimePoint now);
  [[nodiscard]] Duration claim_delay(std::uint32_t shard, TimePoint now) const;

  Context m_context;
  const VmView& m_vms;
  TermBegan m_term_began;
  std::map<std::uint32_t, Held> m_runners;          // by shard
  std::map<std::uint32_t, TimePoint> m_free_since;  // when a shard was first seen without a holder
  std::map<std::uint32_t, std::uint64_t> m_last_term;  // last term seen while not held here
  std::map<std::uint32_t, bool> m_claiming;            // a claim is in progress, by shard
  batch::ShardStats m_ended;                           // counts of runners that have stopped
  bool m_releasing = false;
};

}  // namespace arbutusdale::control
