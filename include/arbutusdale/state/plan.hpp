// Planner: turns an operator's request into a plan against the current configuration.
#pragma once

#include "arbutusdale/core/resources.hpp"
#include "arbutusdale/core/verdict.hpp"
#include "arbutusdale/state.pb.h"
#include "arbutusdale/state/global_state.hpp"

#include <string>
#include <vector>

namespace arbutusdale::state {

/// Entry of the VM list that the planner works from.
struct VmInfo {
  std::string id;
  std::string domain;
  Resources capacity;
  bool leaving = false;  // about to be removed from the fleet; takes no new tasks
};

/// Changes that an operator asks for.
struct PlanRequest {
  std::string id;                         // unique, chosen by the daemon
  std::string actor;                      // operator's name, from the bearer token
  proto::state::Declaration declaration;  // objects to add or update; others stay unchanged
  std::vector<std::string> drain_vms;
  std::vector<std::string> undrain_vms;
  std::vector<std::string> cancel_jobs;
  std::vector<std::string> remove_services;
};

/// Computes the changes and the preconditions they depend on; modifies nothing. Fails with
/// `invalid_argument` and the reason if the request can never be met, such as a job that fits on no
/// VM, and with `too_large` if the plan does not fit into one record.
Result<proto::state::Plan> make_plan(const PlanRequest& request, const GlobalState& state,
                                     const std::vector<VmInfo>& vms);

/// Human-readable text of a plan: one line per change, grouped by failure domain.
std::string describe(const proto::state::Plan& plan);

}  // namespace arbutusdale::state
