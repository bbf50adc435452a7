// Turns an operator's intent into a plan against the current configuration.
#pragma once

#include "arbutusdale/core/resources.hpp"
#include "arbutusdale/core/verdict.hpp"
#include "arbutusdale/state.pb.h"
#include "arbutusdale/state/global_state.hpp"

#include <string>
#include <vector>

namespace arbutusdale::state {

/// What the planner knows of a VM, from the VM list.
struct VmInfo {
  std::string id;
  std::string domain;
  Resources capacity;
  bool leaving = false;
};

struct PlanRequest {
  std::string id;                         // unique, chosen by the daemon
  std::string actor;                      // operator's name, from the bearer token
  proto::state::Declaration declaration;  // objects to add or update; others stay as they are
  std::vector<std::string> drain_vms;
  std::vector<std::string> undrain_vms;
  std::vector<std::string> cancel_jobs;
  std::vector<std::string> remove_services;
};

/// Computes the changes, the facts they depend on and the steps. Fails with `invalid_argument` and
/// the reason when the intent can never be met, such as a job that fits no VM; nothing is changed.
Result<proto::state::Plan> make_plan(const PlanRequest& request, const GlobalState& state,
                                     const std::vector<VmInfo>& vms);

/// Readable text of a plan, one change a line, grouped by failure domain.
std::string describe(const proto::state::Plan& plan);

}  // namespace arbutusdale::state
