// Differences between serving images in what disturbs them.
#include "arbutusdale/sched/serving_affinity.hpp"

#include "arbutusdale/sched/throttle_control.hpp"

#include <algorithm>
#include <cmath>
#include <vector>

namespace arbutusdale::sched {
namespace {

// Expected difference of two images of which nothing is known, if a third of all pairs is harmful.
constexpr double k_unknown_difference = 0.45;

double difference(const InterferenceTable& interference, const std::vector<ImageId>& batch,
                  ImageId one, ImageId other, TimePoint now) {
  double sum = 0;
  for (const ImageId image : batch) {
    const bool known =
        interference.is_known(image, one, now) && interference.is_known(image, other, now);
    if (!known) {
      sum += k_unknown_difference;
      continue;
    }
    const bool harms_one = interference.harm(image, one, now) >= k_harmful;
    const bool harms_other = interference.harm(image, other, now) >= k_harmful;
    sum += harms_one != harms_other ? 1 : 0;
  }
  return batch.empty() ? k_unknown_difference : sum / static_cast<double>(batch.size());
}

}  // namespace

void ServingAffinity::update(const InterferenceTable& interference, TimePoint now) {
  m_costs.clear();
  const std::vector<ImageId> batch = interference.batch_images();
  const std::vector<ImageId> serving = interference.serving_images();
  for (const ImageId one : serving) {
    for (const ImageId other : serving) {
      if (one < other) {
        m_costs[{one, other}] =
            difference(interference, batch, one, other, now) / k_unknown_difference;
      }
    }
  }
}

double ServingAffinity::mixing_cost(ImageId one, ImageId other) const {
  if (one == other) {
    return 0;
  }
  const auto found = m_costs.find(std::minmax(one, other));
  return found == m_costs.end() ? 1 : found->second;
}

}  // namespace arbutusdale::sched
