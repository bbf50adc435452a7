// Watches for jobs that have nothing running although their turn has come and there is room, as the
// rule LOST says it.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "deployment.hpp"

namespace review {

/// A job that is watched from its acceptance on.
struct WatchedJob {
  std::uint64_t cpu_millis = 0;  // of one task, that count against the capacity
  Duration idle{};               // how long it has had nothing running, up to now
  Duration longest{};
};

class IdleWatch {
 public:
  explicit IdleWatch(Deployment& deployment) : m_deployment(deployment) { look(); }

  void add(const std::string& job, std::uint64_t cpu_millis) { m_jobs[job] = {cpu_millis}; }
  [[nodiscard]] const std::map<std::string, WatchedJob>& jobs() const { return m_jobs; }
  [[nodiscard]] Duration longest() const {
    Duration longest{};
    for (const auto& [id, job] : m_jobs) {
      longest = std::max(longest, job.longest);
    }
    return longest;
  }

 private:
  static constexpr Duration k_interval = std::chrono::milliseconds{50};

  void look() {
    std::uint64_t capacity = 0;
    std::uint64_t used = 0;
    std::map<std::uint64_t, std::uint64_t> places;  // tasks of a size for which there is room
    for (std::size_t i = 0; i < m_deployment.workers(); ++i) {
      const Worker& worker = m_deployment.worker(i);
      if (!worker.is_up()) {
        continue;
      }
      const std::uint64_t taken = worker.used_cpu_millis();
      capacity += worker.options().cpu_millis;
      used += taken;
      for (const auto& [id, job] : m_jobs) {
        places.try_emplace(job.cpu_millis, 0);
      }
      for (auto& [size, count] : places) {
        count += size == 0 ? 1 : (worker.options().cpu_millis - taken) / size;
      }
    }
    for (auto& [id, job] : m_jobs) {
      const bool has_room = places[job.cpu_millis] >= 2 && 2 * used < capacity;
      bool runs = false;
      for (std::size_t i = 0; i < m_deployment.workers(); ++i) {
        runs = runs || m_deployment.worker(i).runs_job(id);
      }
      job.idle = runs || !has_room ? Duration::zero() : job.idle + k_interval;
      job.longest = std::max(job.longest, job.idle);
    }
    m_deployment.after(k_interval, [this] { look(); });
  }

  Deployment& m_deployment;
  std::map<std::string, WatchedJob> m_jobs;
};

}  // namespace review
