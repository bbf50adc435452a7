// Share of the idle processors that suits each waiting image.
#include "arbutusdale/sched/worker_scarcity.hpp"

#include <algorithm>

namespace arbutusdale::sched {

double harm_on(const InterferenceTable& interference, const Worker& worker, ImageId batch,
               TimePoint now) {
  double harm = 0;
  for (const RunRef& run : worker.runs) {
    const Step& step = *run.task->step;
    if (step.spec->tail_target_ms() > 0) {
      harm = std::max(harm, interference.harm(batch, step.image, now));
    }
  }
  return harm;
}

void WorkerScarcity::update(const WorkerTable& workers, const InterferenceTable& interference,
                            const std::set<ImageId>& waiting, TimePoint now) {
  m_suitability.clear();
  double total = 0;
  for (const auto& worker : workers.all()) {
    total += static_cast<double>(std::max<std::int64_t>(worker->idle_cpu_millis(), 0));
  }
  for (const ImageId image : waiting) {
    Suitability& suitability = m_suitability[image];
    suitability.suits.resize(workers.all().size());
    double suitable = 0;
    for (const auto& worker : workers.all()) {
      const bool suits =
          worker->registered && harm_on(interference, *worker, image, now) < k_harmful;
      suitability.suits[worker->slot] = suits;
      if (suits) {
        suitable += static_cast<double>(std::max<std::int64_t>(worker->idle_cpu_millis(), 0));
      }
    }
    suitability.share = total > 0 ? suitable / total : 0;
  }
}

bool WorkerScarcity::suits(const InterferenceTable& interference, const Worker& worker,
                           ImageId batch, TimePoint now) const {
  const auto found = m_suitability.find(batch);
  if (found == m_suitability.end() || worker.slot >= found->second.suits.size()) {
    return harm_on(interference, worker, batch, now) < k_harmful;
  }
  return found->second.suits[worker.slot];
}

double WorkerScarcity::cost(ImageId batch, WorkerSlot worker) const {
  const auto own = m_suitability.find(batch);
  const double own_share = own == m_suitability.end() ? 1 : own->second.share;
  double cost = 0;
  for (const auto& [image, suitability] : m_suitability) {
    const bool competes =
        image != batch && worker < suitability.suits.size() && suitability.suits[worker];
    if (competes) {
      cost = std::max(cost, own_share - suitability.share);
    }
  }
  return cost;
}

}  // namespace arbutusdale::sched
