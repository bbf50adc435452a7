// Names of the faults.
#include "fault.hpp"

#include "arbutusdale/core/enum_names.hpp"

namespace arbutusdale::scenario {
namespace {

constexpr EnumNames<Fault, k_fault_count> k_names{{
    {Fault::kill_daemon, "kill_daemon"},
    {Fault::pause_daemon, "pause_daemon"},
    {Fault::append_answer_lost, "append_answer_lost"},
    {Fault::append_refused, "append_refused"},
    {Fault::log_outage, "log_outage"},
    {Fault::log_trimmed, "log_trimmed"},
    {Fault::log_slow, "log_slow"},
    {Fault::cut_domains, "cut_domains"},
    {Fault::cut_platform, "cut_platform"},
    {Fault::cut_agents, "cut_agents"},
    {Fault::cut_peers, "cut_peers"},
    {Fault::agent_unreachable, "agent_unreachable"},
    {Fault::agent_answers_lost, "agent_answers_lost"},
    {Fault::silent_connection, "silent_connection"},
    {Fault::target_crash, "target_crash"},
    {Fault::worker_crash, "worker_crash"},
    {Fault::worker_fails_tasks, "worker_fails_tasks"},
    {Fault::vm_list_empty, "vm_list_empty"},
    {Fault::vm_list_halved, "vm_list_halved"},
    {Fault::vm_list_frozen, "vm_list_frozen"},
    {Fault::message_duplicated, "message_duplicated"},
    {Fault::message_reordered, "message_reordered"},
    {Fault::operators_race, "operators_race"},
    {Fault::cancellation_wave, "cancellation_wave"},
}};

}  // namespace

std::string_view to_string(Fault fault) {
  return enum_name(k_names, fault);
}

std::optional<Fault> fault_from_name(std::string_view name) {
  return enum_value(k_names, name);
}

const std::array<Fault, k_fault_count>& all_faults() {
  static const auto faults = [] {
    std::array<Fault, k_fault_count> list{};
    for (std::size_t i = 0; i < list.size(); ++i) {
      list[i] = k_names[i].first;
    }
    return list;
  }();
  return faults;
}

}  // namespace arbutusdale::scenario
