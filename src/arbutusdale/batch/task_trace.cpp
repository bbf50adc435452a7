// Names of the stages of a task.
#include "arbutusdale/batch/task_trace.hpp"

#include "arbutusdale/core/enum_names.hpp"

namespace arbutusdale::batch {
namespace {

constexpr EnumNames<TaskStage, 4> k_names{{
    {TaskStage::admit, "admit"},
    {TaskStage::place, "place"},
    {TaskStage::start, "start"},
    {TaskStage::finish, "finish"},
}};

}  // namespace

std::string_view to_string(TaskStage stage) {
  return enum_name(k_names, stage);
}

}  // namespace arbutusdale::batch
