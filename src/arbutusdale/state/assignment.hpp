// Deals the tasks of a job to failure domains and shards.
#pragma once

#include "arbutusdale/state.pb.h"
#include "arbutusdale/state/task_set.hpp"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace arbutusdale::state {

/// Tasks of a job that one failure domain receives.
struct DomainSlice {
  std::string domain;
  std::uint32_t shards = 0;
  std::uint32_t first = 0;
  std::uint32_t count = 0;
};

/// Slices of a job by the layout that was fixed at its confirmation, or by the declared domains
/// when the job names no layout. Domains without tasks are left out.
std::vector<DomainSlice> split_by_domain(const proto::state::Declaration& declaration,
                                         const proto::state::JobDecl& job);

/// Gives each new job of the declaration the current layout, and drops layouts no job refers to.
void pin_layouts(proto::state::Declaration& declaration, std::uint64_t version);

}  // namespace arbutusdale::state
