// Feasibility checks of the planner: jobs and reservations against the listed VMs.
#pragma once

#include "arbutusdale/core/resources.hpp"
#include "arbutusdale/core/verdict.hpp"
#include "arbutusdale/state.pb.h"
#include "arbutusdale/state/plan.hpp"

#include <string>
#include <vector>

namespace arbutusdale::state {

/// Human-readable amounts, such as "1.5 cpu, 2 GiB memory, 1 accelerators".
std::string describe_amount(const Resources& amount);

/// Failure domains of a service, in the order of the declaration; all of them if it names none.
std::vector<std::string> domains_of(const proto::state::ServiceDecl& service,
                                    const proto::state::Declaration& declaration);

/// Fails if on some VM of `service` the services together reserve more than the VM's capacity.
Result<void> check_reservation(const proto::state::ServiceDecl& service,
                               const proto::state::Declaration& declaration,
                               const std::vector<VmInfo>& vms);

/// Failure domains, out of those that the job may use, with a VM that fits one task of the job in
/// addition to the services' reservations. Fails if there is none.
Result<std::vector<std::string>> fitting_domains(const proto::state::JobDecl& job,
                                                 const proto::state::Declaration& declaration,
                                                 const std::vector<VmInfo>& vms);

}  // namespace arbutusdale::state
