// Evidence for and against pairs of images.
#include "arbutusdale/sched/interference.hpp"

#include <algorithm>
#include <cmath>
#include <set>

#include <google/protobuf/io/coded_stream.h>

namespace arbutusdale::sched {
namespace {

using google::protobuf::io::CodedOutputStream;

constexpr double k_harmed_ratio = 1.0;
constexpr double k_unharmed_ratio = 0.75;
// A task that uses less than this share of a worker is no evidence for or against its image.
constexpr double k_min_share = 0.01;
// A sample with a low tail counts in full from this share of a worker on.
constexpr double k_full_share = 0.1;
// Most pairs are harmless.
constexpr double k_prior_harmful = 0.5;
constexpr double k_prior_harmless = 2.5;
constexpr double k_known_evidence = 2.0;
// A harmful pair shows only while the serving task's own load is high, so one tail over its target
// weighs more than many below it.
constexpr double k_harmful_weight = 3.0;
constexpr double k_harmless_weight = 0.15;
constexpr double k_max_evidence = 40.0;
constexpr double k_half_life_s = 120.0;
// A pair with names that take more than this part of a record would displace too many others.
constexpr std::size_t k_min_saved_pairs = 64;
constexpr std::size_t k_pair_tag_bytes = 1;

}  // namespace

ImageId InterferenceTable::intern(const std::string& name) {
  const auto [found, added] = m_images.try_emplace(name, static_cast<ImageId>(m_names.size()));
  if (added) {
    m_names.push_back(name);
  }
  return found->second;
}

InterferenceTable::Evidence InterferenceTable::decayed(const Evidence& evidence, TimePoint now) {
  const double passed_s = std::chrono::duration<double>(now - evidence.updated).count();
  const double kept = std::exp2(-std::max(passed_s, 0.0) / k_half_life_s);
  return {evidence.harmful * kept, evidence.harmless * kept, now};
}

double InterferenceTable::belief(const Evidence& evidence) {
  const double harmful = evidence.harmful + k_prior_harmful;
  return harmful / (harmful + evidence.harmless + k_prior_harmless);
}

InterferenceTable::Evidence& InterferenceTable::entry(ImageId batch, ImageId serving,
                                                      TimePoint now) {
  Evidence& evidence = m_pairs[{batch, serving}];
  evidence = decayed(evidence, now);
  return evidence;
}

void InterferenceTable::observe(const std::vector<ServingSample>& serving,
                                const std::vector<BatchSample>& batch_runs, TimePoint now) {
  for (const ServingSample& sample : serving) {
    if (sample.ratio >= k_harmed_ratio) {
      add_harmful_evidence(sample, batch_runs, now);
    } else if (sample.ratio <= k_unharmed_ratio) {
      add_harmless_evidence(sample, batch_runs, now);
    }
  }
}

// Distributes the evidence in proportion to each image's use of the worker and the belief that it
// harms.
void InterferenceTable::add_harmful_evidence(const ServingSample& serving,
                                             const std::vector<BatchSample>& batch_runs,
                                             TimePoint now) {
  const auto weight_of = [&](const BatchSample& batch) {
    return batch.share < k_min_share ? 0.0 : batch.share * harm(batch.image, serving.image, now);
  };
  double total = 0;
  for (const BatchSample& batch : batch_runs) {
    total += weight_of(batch);
  }
  if (total <= 0) {
    return;
  }
  for (const BatchSample& batch : batch_runs) {
    const double weight = weight_of(batch) / total;
    Evidence& evidence = entry(batch.image, serving.image, now);
    evidence.harmful = std::min(evidence.harmful + k_harmful_weight * weight, k_max_evidence);
  }
}

void InterferenceTable::add_harmless_evidence(const ServingSample& serving,
                                              const std::vector<BatchSample>& batch_runs,
                                              TimePoint now) {
  for (const BatchSample& batch : batch_runs) {
    if (batch.share < k_min_share) {
      continue;
    }
    Evidence& evidence = entry(batch.image, serving.image, now);
    const double weight = k_harmless_weight * std::min(batch.share / k_full_share, 1.0);
    evidence.harmless = std::min(evidence.harmless + weight, k_max_evidence);
  }
}

double InterferenceTable::harm(ImageId batch, ImageId serving, TimePoint now) const {
  const auto found = m_pairs.find({batch, serving});
  return belief(found == m_pairs.end() ? Evidence{} : decayed(found->second, now));
}

bool InterferenceTable::is_known(ImageId batch, ImageId serving, TimePoint now) const {
  const auto found = m_pairs.find({batch, serving});
  if (found == m_pairs.end()) {
    return false;
  }
  const Evidence evidence = decayed(found->second, now);
  return evidence.harmful + evidence.harmless >= k_known_evidence;
}

std::vector<ImageId> InterferenceTable::batch_images() const {
  std::set<ImageId> images;
  for (const auto& [pair, evidence] : m_pairs) {
    images.insert(pair.first);
  }
  return {images.begin(), images.end()};
}

std::vector<ImageId> InterferenceTable::serving_images() const {
  std::set<ImageId> images;
  for (const auto& [pair, evidence] : m_pairs) {
    images.insert(pair.second);
  }
  return {images.begin(), images.end()};
}

proto::jobs::InterferenceEvidence InterferenceTable::save(TimePoint now,
                                                          std::size_t max_bytes) const {
  std::vector<proto::jobs::PairEvidence> pairs;
  for (const auto& [images, evidence] : m_pairs) {
    const std::string& batch = m_names[images.first];
    const std::string& serving = m_names[images.second];
    if (batch.size() + serving.size() > max_bytes / k_min_saved_pairs) {
      continue;
    }
    const Evidence current = decayed(evidence, now);
    auto& pair = pairs.emplace_back();
    pair.set_opportunistic_image(batch);
    pair.set_serving_image(serving);
    pair.set_harmful(current.harmful);
    pair.set_harmless(current.harmless);
  }
  std::stable_sort(pairs.begin(), pairs.end(), [](const auto& a, const auto& b) {
    return a.harmful() + a.harmless() > b.harmful() + b.harmless();
  });
  proto::jobs::InterferenceEvidence record;
  std::size_t bytes = 0;
  for (proto::jobs::PairEvidence& pair : pairs) {
    const std::size_t content = pair.ByteSizeLong();
    bytes += k_pair_tag_bytes + CodedOutputStream::VarintSize64(content) + content;
    if (bytes > max_bytes) {
      break;
    }
    *record.add_pairs() = std::move(pair);
  }
  return record;
}

void InterferenceTable::restore(const proto::jobs::InterferenceEvidence& evidence, TimePoint now) {
  for (const auto& pair : evidence.pairs()) {
    const ImageId batch = intern(pair.opportunistic_image());
    const ImageId serving = intern(pair.serving_image());
    m_pairs[{batch, serving}] = {pair.harmful(), pair.harmless(), now};
  }
}

}  // namespace arbutusdale::sched
