// Test fixtures: a scheduler on a fake fleet, and a builder of jobs.
#pragma once

#include "arbutusdale/sched/scheduler.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>

#include "fake_fleet_test.hpp"
#include <fmt/format.h>

namespace arbutusdale::sched {

inline jobs::JobId job_id(std::uint32_t number) {
  return *jobs::JobId::parse(fmt::format("{:016x}", number));
}

struct JobBuilder {
  proto::jobs::JobSubmitted record;

  explicit JobBuilder(std::uint32_t number, std::uint32_t priority = 0) {
    record.set_job(job_id(number).str());
    auto& terms = *record.mutable_terms();
    terms.set_queue("queue");
    terms.set_service("service");
    terms.set_priority(priority);
    terms.set_max_attempts(3);
    terms.set_stretch(2);
    terms.set_latency_target_ms(1'000);
  }

  proto::jobs::StepSpec& step(std::uint32_t tasks, std::uint64_t cpu_millis) {
    auto& step = *record.mutable_spec()->add_steps();
    step.set_tasks(tasks);
    step.set_cpu_millis(cpu_millis);
    step.set_memory_mib(100);
    step.set_estimated_ms(1'000);
    return step;
  }
};

/// Resources that a run of the task reserves. Jobs that are no longer known reserve nothing.
inline Resources reserved_by(const jobs::JobTable& jobs, const jobs::TaskId& task) {
  const jobs::JobEntry* entry = jobs.find(task.job);
  if (entry == nullptr || !entry->submitted) {
    return {};
  }
  const auto& step = entry->submitted->spec().steps(static_cast<int>(task.step));
  return {step.opportunistic() ? 0 : step.cpu_millis(), step.memory_mib(), step.accelerators()};
}

/// Discards the writes of a leader once a later term has begun, as the store does.
class TermLog final : public ProgressLog {
 public:
  TermLog(FakeProgressLog& log, std::uint32_t term) : m_log(log), m_term(term) {
    m_log.term = std::max(m_log.term, term);
  }
  void write(std::vector<store::KeyedValue> entries, std::function<void(bool)> done) override {
    m_log.write_in_term(m_term, std::move(entries), std::move(done));
  }

 private:
  FakeProgressLog& m_log;
  std::uint32_t m_term;
};

/// One leader of a fleet, for one term. Several may exist at once.
struct LeaderFixture {
  store::FakeTimer& timer;
  FakeFleet& fleet;
  FakeProgressLog& log;
  TermLog term_log;
  bool fenced = false;
  bool frozen = false;  // tick() is not called any more
  std::unique_ptr<Scheduler> scheduler;

  LeaderFixture(store::FakeTimer& timer_in, FakeFleet& fleet_in, FakeProgressLog& log_in,
                std::uint32_t term = 1, bool jobs_caught_up = true, WorkerOrders* orders = nullptr)
      : timer(timer_in), fleet(fleet_in), log(log_in), term_log(log_in, term) {
    scheduler =
        std::make_unique<Scheduler>(orders == nullptr ? fleet : *orders, fleet.advisor, term_log,
                                    timer, SchedulerOptions{term, term}, [this] { fenced = true; });
    scheduler->take_over(log.jobs, jobs::k_first_shard);
    for (const auto& [id, worker] : fleet.all()) {
      if (worker->registered) {
        scheduler->on_worker_updated(worker->entry);
      }
    }
    scheduler->on_workers_loaded();
    fleet.listeners.insert(scheduler.get());
    if (jobs_caught_up) {
      scheduler->on_jobs_caught_up();
    }
    log.follow(*scheduler);
    schedule_tick();
  }

  ~LeaderFixture() { kill(); }
  LeaderFixture(const LeaderFixture&) = delete;
  LeaderFixture& operator=(const LeaderFixture&) = delete;

  /// Ends the process of the leader.
  void kill() {
    if (!scheduler) {
      return;
    }
    frozen = true;
    fleet.listeners.erase(scheduler.get());
    log.unfollow(*scheduler);
    scheduler.reset();
  }

  /// Behaves as a leader whose term the store no longer confirms: it starts nothing from the time
  /// that another may claim the leadership, and renews no leases a little later.
  void lose_leadership() const {
    scheduler->set_order_limits({TimePoint{}, timer.now() + std::chrono::milliseconds{800}});
  }

  void submit(JobBuilder job) {
    job.record.set_accepted_wall_ms(timer.wall_ms());
    log.jobs.apply_job_record({0, jobs::encode(job.record)});
  }
  void cancel(std::uint32_t number) {
    log.jobs.apply_job_record({0, jobs::encode_cancellation(job_id(number))});
  }
  [[nodiscard]] jobs::JobState state(std::uint32_t number) const {
    return log.jobs.find(job_id(number))->state();
  }

 private:
  void schedule_tick() {
    timer.call_after(std::chrono::milliseconds{100}, [this] {
      if (fenced || frozen) {
        return;
      }
      scheduler->tick();
      schedule_tick();
    });
  }
};

/// Timer, fleet and progress log, in order of dependency.
struct FleetFixture {
  store::FakeTimer timer;
  FakeFleet fleet{timer};
  FakeProgressLog log{timer};

  explicit FleetFixture(int workers = 3, std::uint64_t cpu_millis = 8'000) {
    fleet.need_of = [this](const jobs::TaskId& task) { return reserved_by(log.jobs, task); };
    for (int i = 0; i < workers; ++i) {
      fleet.add(fmt::format("w{:02}", i), cpu_millis, fmt::format("r{}", i / 4));
    }
  }
};

}  // namespace arbutusdale::sched
