// Stages of a batch task for traces: admit, place, start, finish.
#pragma once

#include "arbutusdale/core/clock.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace arbutusdale::batch {

enum class TaskStage : std::uint8_t {
  admit,   ///< from the job's arrival at the shard to the choice of the task
  place,   ///< choice of the worker
  start,   ///< from the start command to the agent's answer
  finish,  ///< from the start to the record of the attempt's end
};

std::string_view to_string(TaskStage stage);

/// Time span of one stage of an attempt.
struct TaskStageSpan {
  TaskStage stage = TaskStage::admit;
  std::string job;
  std::uint32_t task = 0;
  std::uint32_t attempt = 0;
  std::string worker;
  TimePoint begin{};
  TimePoint end{};
};

/// Receives each stage of a task when it has finished. Called on the control thread; must not
/// block.
class TaskTrace {
 public:
  TaskTrace() = default;
  TaskTrace(const TaskTrace&) = delete;
  TaskTrace& operator=(const TaskTrace&) = delete;
  virtual ~TaskTrace() = default;

  virtual void on_stage(const TaskStageSpan& span) = 0;
};

}  // namespace arbutusdale::batch
