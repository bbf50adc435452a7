// Which workers opportunistic tasks should leave to others. Answers the load pattern in which some
// images disturb nearly every serving task: the few workers that suit them are left to them while
// tasks of other images can run elsewhere.
#pragma once

#include "arbutusdale/core/clock.hpp"
#include "arbutusdale/sched/interference.hpp"
#include "arbutusdale/sched/worker_table.hpp"

#include <map>
#include <set>
#include <vector>

namespace arbutusdale::sched {

/// Highest belief that the opportunistic image harms a serving task of the worker; 0 without one.
double harm_on(const InterferenceTable& interference, const Worker& worker, ImageId batch,
               TimePoint now);

class WorkerScarcity {
 public:
  /// `waiting` are the images of the opportunistic tasks that wait for a worker.
  void update(const WorkerTable& workers, const InterferenceTable& interference,
              const std::set<ImageId>& waiting, TimePoint now);

  /// True when the image is not believed to harm a serving task of the worker, as of the last
  /// update if the image was waiting then.
  [[nodiscard]] bool suits(const InterferenceTable& interference, const Worker& worker,
                           ImageId batch, TimePoint now) const;
  /// From 0 to 1: how much less choice another waiting image has that could use the worker.
  [[nodiscard]] double cost(ImageId batch, WorkerSlot worker) const;

 private:
  struct Suitability {
    std::vector<bool> suits;  // by worker slot
    double share = 0;         // of all idle processors, on workers that suit
  };

  std::map<ImageId, Suitability> m_suitability;  // of the images that wait
};

}  // namespace arbutusdale::sched
