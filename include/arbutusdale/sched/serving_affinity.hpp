// How well images of serving tasks share a worker, for a fleet that is mostly full of serving tasks
// of a few images, each disturbed by different opportunistic images. On a worker with two serving
// images, only work that disturbs neither can run, so images that are disturbed by the same work
// share workers.
#pragma once

#include "arbutusdale/core/clock.hpp"
#include "arbutusdale/sched/interference.hpp"

#include <map>
#include <utility>

namespace arbutusdale::sched {

/// Costs of running two serving images on one worker.
class ServingAffinity {
 public:
  /// Costly; call it about once a second.
  void update(const InterferenceTable& interference, TimePoint now);

  /// 0 for images that the same work disturbs, 1 for images of which nothing is known, more than 1
  /// for images that different work disturbs.
  [[nodiscard]] double mixing_cost(ImageId one, ImageId other) const;

 private:
  std::map<std::pair<ImageId, ImageId>, double> m_costs;  // by pair of images, the lower id first
};

}  // namespace arbutusdale::sched
