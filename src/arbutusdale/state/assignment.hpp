// Splits the tasks of a job over failure domains and shards.
#pragma once

#include "arbutusdale/state.pb.h"
#include "arbutusdale/state/task_set.hpp"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace arbutusdale::state {

/// Contiguous range of a job's tasks that one failure domain receives.
struct DomainSlice {
  std::string domain;
  std::uint32_t shards = 0;  // number of shards of the domain
  std::uint32_t first = 0;   // first task index
  std::uint32_t count = 0;
};

/// Splits a job by the weights of the layout that was fixed at its confirmation, or of the declared
/// domains if the job has no layout. Domains that receive no tasks are left out.
std::vector<DomainSlice> split_by_domain(const proto::state::Declaration& declaration,
                                         const proto::state::JobDecl& job);

/// Assigns the current layout, numbered `version` if it is new, to each job without one, and drops
/// the layouts that no job refers to.
void pin_layouts(proto::state::Declaration& declaration, std::uint64_t version);

}  // namespace arbutusdale::state
