// Which images of opportunistic tasks disturb which images of serving tasks, learnt from tail
// latencies. A few pairs harm much and most pairs harm little: a tail over its target is evidence
// against the likely causes, and a low tail beside much opportunistic work is evidence that the
// pair is harmless. Evidence decays, since the effects change.
#pragma once

#include "arbutusdale/core/clock.hpp"
#include "arbutusdale/jobs.pb.h"

#include <cstddef>
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

/// A serving task and the ratio of its tail latency to its target.
struct ServingSample {
  ImageId image = 0;
  double ratio = 0;
};

/// Evidence for and against each pair of an opportunistic and a serving image.
class InterferenceTable {
 public:
  /// Index of the image's name, added if it is new.
  ImageId intern(const std::string& name);

  /// Adds the samples of one poll of one worker.
  void observe(const std::vector<ServingSample>& serving,
               const std::vector<BatchSample>& batch_runs, TimePoint now);

  /// Belief, from 0 to 1, that the opportunistic image pushes the serving image over its target.
  [[nodiscard]] double harm(ImageId batch, ImageId serving, TimePoint now) const;
  /// False while there is too little evidence about the pair.
  [[nodiscard]] bool is_known(ImageId batch, ImageId serving, TimePoint now) const;
  /// Images of which there is evidence, in ascending order.
  [[nodiscard]] std::vector<ImageId> batch_images() const;
  [[nodiscard]] std::vector<ImageId> serving_images() const;
  /// A record for the next leader, of at most `max_bytes`: the pairs with the least evidence, and
  /// pairs of very long names, are left out.
  [[nodiscard]] proto::jobs::InterferenceEvidence save(TimePoint now, std::size_t max_bytes) const;
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
