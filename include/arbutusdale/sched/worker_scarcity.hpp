// Which workers opportunistic tasks should leave to tasks of other images. Some images disturb
// nearly every serving task; the few workers that suit such an image are kept for it while tasks of
// other images can run elsewhere.
#pragma once

#include "arbutusdale/core/clock.hpp"
#include "arbutusdale/sched/interference.hpp"
#include "arbutusdale/sched/worker_table.hpp"

#include <map>
#include <set>
#include <vector>

namespace arbutusdale::sched {

/// Highest belief that the opportunistic image harms a serving task of the worker; 0 without
/// serving tasks.
double harm_on(const InterferenceTable& interference, const Worker& worker, ImageId batch,
               TimePoint now);

class WorkerScarcity {
 public:
  /// `waiting` holds the images of the opportunistic tasks that wait for a worker.
  void update(const WorkerTable& workers, const InterferenceTable& interference,
              const std::set<ImageId>& waiting, TimePoint now);

  /// True when the image is not believed to harm a serving task of the worker: as of the last
  /// update if the image was waiting then, otherwise as of `now`.
  [[nodiscard]] bool suits(const InterferenceTable& interference, const Worker& worker,
                           ImageId batch, TimePoint now) const;
  /// From 0 to 1: by how much the share of suitable idle processors is smaller for another waiting
  /// image that could use the worker.
  [[nodiscard]] double cost(ImageId batch, WorkerSlot worker) const;

 private:
  struct Suitability {
    std::vector<bool> suits;  // by worker slot
    double share = 0;         // of all idle processors: those on suitable workers
  };

  std::map<ImageId, Suitability> m_suitability;  // by waiting image
};

}  // namespace arbutusdale::sched
