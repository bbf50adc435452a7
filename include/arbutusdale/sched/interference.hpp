// Which images of opportunistic tasks disturb which images of serving tasks, learnt from tails.
// Answers the load pattern in which a few pairs harm much and most pairs harm little: blame for a
// tail over its target goes to the likely culprits, and a low tail beside much opportunistic work
// clears it. Evidence fades, since the effects change.
#pragma once

#include "arbutusdale/core/clock.hpp"
#include "arbutusdale/jobs.pb.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace arbutusdale::sched {

using ImageId = std::uint32_t;  // index of an image's name

/// An opportunistic task and the share of the worker's processors that it uses.
struct BatchSample {
  ImageId image = 0;
  double share = 0;
};

/// A serving task and its tail over its target.
struct ServingSample {
  ImageId image = 0;
  double ratio = 0;
};

class InterferenceTable {
 public:
  ImageId intern(const std::string& name);

  /// One look at one worker.
  void observe(const std::vector<ServingSample>& serving,
               const std::vector<BatchSample>& batch_runs, TimePoint now);

  /// Belief, from 0 to 1, that the opportunistic image pushes the serving image over its target.
  [[nodiscard]] double harm(ImageId batch, ImageId serving, TimePoint now) const;
  /// False while too little has been seen of the pair.
  [[nodiscard]] bool is_known(ImageId batch, ImageId serving, TimePoint now) const;
  /// Images of which there is evidence, in rising order.
  [[nodiscard]] std::vector<ImageId> batch_images() const;
  [[nodiscard]] std::vector<ImageId> serving_images() const;
  /// All evidence, for a successor, and its return.
  [[nodiscard]] proto::jobs::InterferenceEvidence save(TimePoint now) const;
  void restore(const proto::jobs::InterferenceEvidence& evidence, TimePoint now);

 private:
  struct Evidence {
    double harmful = 0;
    double harmless = 0;
    TimePoint updated{};
  };

  static Evidence decayed(const Evidence& evidence, TimePoint now);
  static double belief(const Evidence& evidence);
  Evidence& entry(ImageId batch, ImageId serving, TimePoint now);
  void add_harmful_evidence(const ServingSample& serving,
                            const std::vector<BatchSample>& batch_runs, TimePoint now);
  void add_harmless_evidence(const ServingSample& serving,
                             const std::vector<BatchSample>& batch_runs, TimePoint now);

  std::unordered_map<std::string, ImageId> m_images;
  std::vector<std::string> m_names;                         // by image
  std::map<std::pair<ImageId, ImageId>, Evidence> m_pairs;  // by opportunistic and serving image
};

}  // namespace arbutusdale::sched
