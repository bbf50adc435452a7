// Faults of workers and leaders in the waiting soak.
#pragma once

#include "arbutusdale/core/random.hpp"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "sched_fixture_test.hpp"
#include "soak_draws_test.hpp"
#include "waiting_shapes_test.hpp"

namespace arbutusdale::sched {

inline constexpr std::uint64_t k_waiting_worker_cpu_millis = 16'000;

/// Injects overlapping faults into a fleet.
class WaitingFaults {
 public:
  WaitingFaults(const WaitingSoakShape& shape, SoakDraws& draws, FleetFixture& fixture,
                std::function<void()> lead)
      : m_shape(shape), m_draws(draws), m_fixture(fixture), m_lead(std::move(lead)) {}

  /// All faults injected so far are over from then on.
  [[nodiscard]] TimePoint disturbed_until() const { return m_disturbed_until; }

  void inject() {
    const Duration length = m_draws.ms(500, 8'000);
    const WaitingFault kind = draw_kind();
    trace(kind, length);
    for (const std::string& id : draw_workers()) {
      inject_into(id, kind, length);
    }
    if (kind == WaitingFault::new_leader) {
      m_lead();
      disturb_for(Duration::zero());
    }
  }

 private:
  WaitingFault draw_kind() {
    if (m_shape.crash_chance > 0 && m_draws.chance(m_shape.crash_chance)) {
      return WaitingFault::crash;
    }
    return m_shape.faults[random_index(m_draws.random, m_shape.faults.size())];
  }

  static void trace(WaitingFault kind, Duration length) {
    if (std::getenv("ARBUTUSDALE_TEST_EVENTS") != nullptr) {
      fmt::print(stderr, "{{\"fault\":\"{}\",\"length_ms\":{}}}\n",
                 k_waiting_fault_names[static_cast<std::size_t>(kind)], length.count() / 1'000);
    }
  }

  std::vector<std::string> draw_workers() {
    if (m_shape.rack_chance > 0 && m_draws.chance(m_shape.rack_chance)) {
      return draw_rack();
    }
    std::vector<std::string> chosen;
    for (const auto& [id, worker] : m_fixture.fleet.all()) {
      if (m_draws.chance(m_shape.worker_share) && is_ready(*worker)) {
        chosen.push_back(id);
      }
    }
    return chosen;
  }
  std::vector<std::string> draw_rack() {
    std::set<std::string> racks;
    for (const auto& [id, worker] : m_fixture.fleet.all()) {
      racks.insert(worker->entry.rack);
    }
    const auto index = static_cast<std::ptrdiff_t>(random_index(m_draws.random, racks.size()));
    const std::string& rack = *std::next(racks.begin(), index);
    std::vector<std::string> chosen;
    for (const auto& [id, worker] : m_fixture.fleet.all()) {
      if (worker->entry.rack == rack && is_ready(*worker)) {
        chosen.push_back(id);
      }
    }
    return chosen;
  }
  static bool is_ready(const FakeWorker& worker) {
    return !worker.crashed && worker.entry.state == WorkerState::ready;
  }

  void inject_into(const std::string& id, WaitingFault kind, Duration length) {
    switch (kind) {
      case WaitingFault::partition:
        change_for(id, length, [](FakeWorker& w, bool on) { w.partitioned = on; });
        break;
      case WaitingFault::lost_answers:
        change_for(id, length, [](FakeWorker& w, bool on) { w.drops_answers = on; });
        break;
      case WaitingFault::late_starts: {
        const Duration late = m_draws.ms(2'000, 12'000);
        change_for(id, length,
                   [late](FakeWorker& w, bool on) { w.start_delay = on ? late : Duration{}; });
        break;
      }
      case WaitingFault::failing_runs:
        change_for(id, length, [](FakeWorker& w, bool on) { w.fails_all_runs = on; });
        break;
      case WaitingFault::crash:
        m_fixture.fleet.crash_and_return(id);
        disturb_for(m_fixture.fleet.return_delay);
        break;
      case WaitingFault::drain:
        drain(id, m_draws.ms(2'000, 9'000));
        break;
      case WaitingFault::refused_connections:
        change_for(id, length, [](FakeWorker& w, bool on) { w.refuses_connections = on; });
        break;
      case WaitingFault::new_leader:
        break;
    }
  }

  void disturb_for(Duration length) {
    m_disturbed_until = std::max(m_disturbed_until, m_fixture.timer.now() + length);
  }
  FakeWorker* find(const std::string& id) {
    const auto found = m_fixture.fleet.all().find(id);
    return found == m_fixture.fleet.all().end() ? nullptr : found->second.get();
  }
  template <typename Change>
  void change_for(const std::string& id, Duration length, Change change) {
    disturb_for(length);
    change(m_fixture.fleet.at(id), true);
    m_fixture.timer.call_after(length, [this, id, change] {
      if (FakeWorker* worker = find(id)) {
        change(*worker, false);
      }
    });
  }

  /// Another worker comes; this one announces that it leaves, and exits after `linger`.
  void drain(const std::string& id, Duration linger) {
    disturb_for(linger);
    const std::string next = fmt::format("n{}", ++m_added);
    FakeWorker& added = m_fixture.fleet.add(next, k_waiting_worker_cpu_millis);
    added.guards_capacity = true;
    m_fixture.fleet.advisor.allowed.insert(next);
    update(added);
    FakeWorker& worker = m_fixture.fleet.at(id);
    worker.entry.state = WorkerState::draining;
    worker.entry.remaining_ms = 2'000;
    update(worker);
    m_fixture.timer.call_after(linger, [this, id] { exit(id); });
  }
  void exit(const std::string& id) {
    FakeWorker* leaving = find(id);
    if (leaving == nullptr || leaving->entry.state == WorkerState::ready) {
      return;
    }
    m_fixture.fleet.crash(id);
    leaving->registered = false;
    for (WorkerListener* listener : m_fixture.fleet.listeners) {
      listener->on_worker_gone(id);
    }
  }
  void update(const FakeWorker& worker) {
    for (WorkerListener* listener : m_fixture.fleet.listeners) {
      listener->on_worker_updated(worker.entry);
    }
  }

  const WaitingSoakShape& m_shape;
  SoakDraws& m_draws;
  FleetFixture& m_fixture;
  std::function<void()> m_lead;  // puts another leader in the place of the present one
  TimePoint m_disturbed_until{};
  int m_added = 0;
};

}  // namespace arbutusdale::sched
