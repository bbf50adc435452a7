// Test fixtures: daemons that share a fake store and a fake fleet.
#pragma once

#include "arbutusdale/fleet/node.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "../sched/sched_fixture_test.hpp"

namespace arbutusdale::fleet {

using namespace std::chrono_literals;
using proto::jobs::JobState;
using sched::FakeFleet;
using sched::job_id;
using sched::JobBuilder;

/// Reports the registrations of all workers of a fake fleet once.
class FakeDirectory final : public sched::WorkerDirectory {
 public:
  FakeDirectory(store::FakeTimer& timer, FakeFleet& fleet, sched::WorkerListener& listener)
      : m_alive(std::make_shared<bool>(true)) {
    timer.call_after(20ms, [&fleet, &listener, alive = m_alive] {
      if (!*alive) {
        return;
      }
      for (const auto& [id, worker] : fleet.all()) {
        listener.on_worker_updated(worker->entry);
      }
      listener.on_workers_loaded();
    });
  }
  ~FakeDirectory() override { *m_alive = false; }

 private:
  std::shared_ptr<bool> m_alive;
};

/// Fails the calls of one daemon to the store while `disconnected` is set.
class DisconnectableStore final : public store::MetadataStore {
 public:
  explicit DisconnectableStore(store::FakeStore& store) : m_store(store) {}
  bool disconnected = false;

  void append(store::AppendRequest request, AppendDone done) override {
    if (!disconnected) {
      m_store.append(std::move(request), std::move(done));
      return;
    }
    done(tl::unexpected(store::AppendError{store::AppendFailure::refused, 0, "disconnected"}));
  }
  void read(store::ReadRequest request, ReadDone done) override {
    if (!disconnected) {
      m_store.read(std::move(request), std::move(done));
      return;
    }
    done(tl::unexpected(store::ReadError{store::ReadFailure::unavailable, "disconnected"}));
  }
  void scan(store::Partition partition, std::string after_key, ScanDone done) override {
    if (!disconnected) {
      m_store.scan(std::move(partition), std::move(after_key), std::move(done));
      return;
    }
    done(tl::unexpected(store::ReadError{store::ReadFailure::unavailable, "disconnected"}));
  }

 private:
  store::FakeStore& m_store;
};

struct Daemon {
  DisconnectableStore store;
  std::unique_ptr<Node> node;
  std::shared_ptr<bool> ticking = std::make_shared<bool>(true);

  Daemon(store::FakeStore& fake, store::FakeTimer& timer, FakeFleet& fleet, std::string name,
         double cpu_share = 1)
      : store(fake) {
    node = std::make_unique<Node>(
        NodeDependencies{store, fleet, fleet.advisor, timer,
                         [&timer, &fleet](sched::WorkerListener& listener) {
                           return std::make_unique<FakeDirectory>(timer, fleet, listener);
                         },
                         name, name + "." + std::to_string(timer.wall_ms()), cpu_share});
    jobs::Configuration configuration;
    configuration.version = 1;
    node->configuration().apply(configuration);
    node->start();
    tick(timer, node.get(), ticking);
  }
  /// Ends the process without a shutdown, as a crash does.
  void kill() {
    *ticking = false;
    node.reset();
  }

 private:
  static void tick(store::FakeTimer& timer, Node* node, const std::shared_ptr<bool>& ticking) {
    if (!*ticking) {
      return;
    }
    node->tick();
    timer.call_after(100ms, [&timer, node, ticking] { tick(timer, node, ticking); });
  }
};

struct Cluster {
  store::FakeTimer timer;
  store::FakeStore store{timer};
  FakeFleet fleet{timer};
  std::vector<std::unique_ptr<Daemon>> daemons;
  std::vector<double> shares;  // of the daemons

  explicit Cluster(int count = 3) {
    store.page_size = 100;
    for (int i = 0; i < 4; ++i) {
      fleet.add("w" + std::to_string(i), 8'000);
    }
    for (int i = 0; i < count; ++i) {
      add();
    }
  }
  void add(double cpu_share = 1) {
    shares.push_back(cpu_share);
    daemons.push_back(std::make_unique<Daemon>(
        store, timer, fleet, "daemon" + std::to_string(daemons.size()), cpu_share));
  }
  /// Starts a new process of a daemon that has been killed.
  void restart(std::size_t daemon) {
    daemons[daemon] = std::make_unique<Daemon>(store, timer, fleet,
                                               "daemon" + std::to_string(daemon), shares[daemon]);
  }
  [[nodiscard]] int leaders() const {
    int count = 0;
    for (const auto& daemon : daemons) {
      count += daemon->node && daemon->node->is_leader() ? 1 : 0;
    }
    return count;
  }
  [[nodiscard]] std::size_t leader() const {
    for (std::size_t i = 0; i < daemons.size(); ++i) {
      if (daemons[i]->node && daemons[i]->node->is_leader()) {
        return i;
      }
    }
    return daemons.size();
  }
  /// Submits a job at one daemon; the outcome is appended to `outcomes`.
  void submit(std::size_t daemon, std::uint32_t number) {
    JobBuilder job(number);
    job.record.set_accepted_wall_ms(timer.wall_ms());
    job.step(2, 1'000);
    daemons[daemon]->node->service().submit(
        job_id(number), job.record, timer.now() + 2s,
        [this](WriteOutcome outcome) { outcomes.push_back(outcome); });
  }
  [[nodiscard]] JobState state(std::size_t daemon, std::uint32_t number) const {
    const auto* entry = daemons[daemon]->node->jobs().find(job_id(number));
    return entry == nullptr ? JobState::QUEUED : entry->state();
  }

  std::vector<WriteOutcome> outcomes;
};

}  // namespace arbutusdale::fleet
