// Checks of the planner: what can never run or be reserved.
#pragma once

#include "arbutusdale/core/resources.hpp"
#include "arbutusdale/core/verdict.hpp"
#include "arbutusdale/state.pb.h"
#include "arbutusdale/state/plan.hpp"

#include <string>
#include <vector>

namespace arbutusdale::state {

/// Amounts for people, such as "1.5 cpu, 2 GiB memory, 1 accelerators".
std::string describe_amount(const Resources& amount);

/// Failure domains of a service, in the order of the declaration; all when it names none.
std::vector<std::string> domains_of(const proto::state::ServiceDecl& service,
                                    const proto::state::Declaration& declaration);

/// Fails when the services on some VM of `service` reserve more than the VM has.
Result<void> check_reservation(const proto::state::ServiceDecl& service,
                               const proto::state::Declaration& declaration,
                               const std::vector<VmInfo>& vms);

/// Failure domains with a VM that fits a task of the job beside the services' reservations, out
/// of those that the job may use. Fails when there is none.
Result<std::vector<std::string>> fitting_domains(const proto::state::JobDecl& job,
                                                 const proto::state::Declaration& declaration,
                                                 const std::vector<VmInfo>& vms);

}  // namespace arbutusdale::state
