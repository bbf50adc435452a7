// What a job asks of the workers of the shard that schedules it.
#pragma once

#include "arbutusdale/core/resources.hpp"
#include "arbutusdale/jobs.pb.h"

#include <cstdint>
#include <string>
#include <vector>

namespace arbutusdale::sched {

/// What the tasks of one step need of the workers.
struct StepNeed {
  std::string label;                 // that a worker must have; empty: none
  Resources task;                    // reserved by one task
  std::uint32_t tasks_at_once = 1;   // that must be able to run at the same time
  std::uint32_t max_per_worker = 0;  // 0: no limit
};

/// Processors that steps with one label reserve.
struct LabelNeed {
  std::string label;  // empty: none
  std::uint64_t cpu_millis = 0;
};

struct JobNeed {
  std::string service;
  std::vector<StepNeed> steps;   // those of the job that are not done
  std::vector<LabelNeed> first;  // of the steps that start at once, by label
  bool lasts = false;            // one of these steps lasts

  /// Reserved by all steps that start at once.
  [[nodiscard]] std::uint64_t cpu_millis() const;
  /// Needed of each kind of worker: of all of them together, which the empty label stands for, and
  /// of those with each label.
  [[nodiscard]] std::vector<LabelNeed> by_kind() const;
};

/// What the steps for which `is_done` is false need; an empty list has no step that is done.
/// Opportunistic steps reserve no processors, and the occurrences of a repeated job are due at
/// different times, so `first` leaves both out.
JobNeed need_of(const proto::jobs::JobSubmitted& job, const std::vector<bool>& is_done = {});

}  // namespace arbutusdale::sched
