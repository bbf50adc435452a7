// Names of the hops of a task.
#include "arbutusdale/batch/task_trace.hpp"

#include "arbutusdale/core/enum_names.hpp"

namespace arbutusdale::batch {
namespace {

constexpr EnumNames<TaskHopKind, 4> k_names{{
    {TaskHopKind::admit, "admit"},
    {TaskHopKind::place, "place"},
    {TaskHopKind::start, "start"},
    {TaskHopKind::finish, "finish"},
}};

}  // namespace

std::string_view to_string(TaskHopKind kind) {
  return enum_name(k_names, kind);
}

}  // namespace arbutusdale::batch
