// Assignment of tasks: ranges in proportion to the weights, with the recorded moves applied.
#include "assignment.hpp"

#include "arbutusdale/core/hash.hpp"
#include "arbutusdale/state/domain_state.hpp"
#include "arbutusdale/state/limits.hpp"

#include <algorithm>
#include <numeric>
#include <optional>
#include <set>

namespace arbutusdale::state {
namespace {

using DomainDecls = google::protobuf::RepeatedPtrField<proto::state::DomainDecl>;

// Seeds of the hashes that choose the domain and the shard that receive a job's first range.
constexpr std::uint64_t k_domain_seed = 0x646f6d61;
constexpr std::uint64_t k_shard_seed = 0x73686172;

std::uint32_t shards_of(const proto::state::DomainDecl& domain) {
  return domain.shards() == 0 ? k_default_shards : std::min(domain.shards(), k_max_shards);
}

const DomainDecls& layout_of(const proto::state::Declaration& declaration,
                             const proto::state::JobDecl& job) {
  for (const auto& layout : declaration.layouts()) {
    if (job.layout() != 0 && layout.version() == job.layout()) {
      return layout.domains();
    }
  }
  return declaration.domains();
}

bool may_receive(const proto::state::JobDecl& job, const std::string& domain) {
  return job.domains().empty() ||
         std::find(job.domains().begin(), job.domains().end(), domain) != job.domains().end();
}

/// Splits `tasks` into contiguous ranges in proportion to the weights. The part `start` receives
/// the first range; the others follow in order, wrapping around.
std::vector<DomainSlice> split_by_weight(std::uint32_t tasks,
                                         const std::vector<std::uint64_t>& weights,
                                         std::size_t start) {
  const std::uint64_t total = std::accumulate(weights.begin(), weights.end(), std::uint64_t{0});
  std::vector<DomainSlice> parts(weights.size());
  std::uint64_t cumulated = 0;
  std::uint64_t begin = 0;
  for (std::size_t i = 0; total > 0 && i < weights.size(); ++i) {
    const std::size_t part = (start + i) % weights.size();
    cumulated += weights[part];
    // Rounded up, so that the only task of a job goes to the part that the hash selected.
    const std::uint64_t end = (tasks * cumulated + total - 1) / total;
    parts[part].first = static_cast<std::uint32_t>(begin);
    parts[part].count = static_cast<std::uint32_t>(end - begin);
    begin = end;
  }
  return parts;
}

/// Index of the part whose interval contains `point` modulo the sum of the weights.
std::size_t weighted_index(const std::vector<std::uint64_t>& weights, std::uint64_t point) {
  const std::uint64_t total = std::accumulate(weights.begin(), weights.end(), std::uint64_t{0});
  std::uint64_t rest = point % std::max<std::uint64_t>(total, 1);
  for (std::size_t i = 0; i < weights.size(); ++i) {
    if (rest < weights[i]) {
      return i;
    }
    rest -= weights[i];
  }
  return 0;
}

std::vector<TaskSet> split_by_shard(const DomainSlice& slice, const std::string& job) {
  const std::vector<std::uint64_t> weights(slice.shards, 1);
  const std::size_t start = stable_hash(job, k_shard_seed) % slice.shards;
  std::vector<TaskSet> shards(slice.shards);
  const auto parts = split_by_weight(slice.count, weights, start);
  for (std::size_t i = 0; i < parts.size(); ++i) {
    if (parts[i].count == 0) {
      continue;
    }
    const std::uint32_t first = slice.first + parts[i].first;
    shards[i].insert(TaskSpan{first, first + parts[i].count - 1});
  }
  return shards;
}

/// Moves only tasks that the source shard has: if two moves name a range, the first one applies.
void apply_move(std::vector<TaskSet>& shards, const proto::state::TasksMoved& move) {
  if (move.from_shard() >= shards.size() || move.to_shard() >= shards.size() ||
      move.from_shard() == move.to_shard()) {
    return;
  }
  TaskSet& from = shards[move.from_shard()];
  TaskSet& to = shards[move.to_shard()];
  for (const auto& range : move.tasks()) {
    for (const TaskSpan& held : from.spans()) {
      const TaskSpan moved{std::max(held.first, range.first()), std::min(held.last, range.last())};
      if (moved.first > moved.last) {
        continue;
      }
      from.erase(moved);
      to.insert(moved);
    }
  }
}

bool same_domains(const DomainDecls& a, const DomainDecls& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](const auto& x, const auto& y) {
    return x.name() == y.name() && x.shards() == y.shards() && x.weight() == y.weight();
  });
}

}  // namespace

std::vector<DomainSlice> split_by_domain(const proto::state::Declaration& declaration,
                                         const proto::state::JobDecl& job) {
  const DomainDecls& domains = layout_of(declaration, job);
  std::vector<const proto::state::DomainDecl*> receiving;
  std::vector<std::uint64_t> weights;
  for (const auto& domain : domains) {
    if (!may_receive(job, domain.name())) {
      continue;
    }
    receiving.push_back(&domain);
    weights.push_back(domain.weight());
  }
  if (std::all_of(weights.begin(), weights.end(), [](std::uint64_t w) { return w == 0; })) {
    std::fill(weights.begin(), weights.end(), 1);
  }
  const auto start = weighted_index(weights, stable_hash(job.name(), k_domain_seed));
  const auto parts = split_by_weight(job.tasks(), weights, start);
  std::vector<DomainSlice> slices;
  for (std::size_t i = 0; i < parts.size(); ++i) {
    if (parts[i].count > 0) {
      slices.push_back(DomainSlice{receiving[i]->name(), shards_of(*receiving[i]), parts[i].first,
                                   parts[i].count});
    }
  }
  return slices;
}

void pin_layouts(proto::state::Declaration& declaration, std::uint64_t version) {
  auto& layouts = *declaration.mutable_layouts();
  for (auto& job : *declaration.mutable_jobs()) {
    if (job.layout() != 0) {
      continue;
    }
    if (layouts.empty() || !same_domains(layouts.rbegin()->domains(), declaration.domains())) {
      auto& layout = *layouts.Add();
      layout.set_version(version);
      *layout.mutable_domains() = declaration.domains();
    }
    job.set_layout(layouts.rbegin()->version());
  }
  if (layouts.size() <= 1) {
    return;
  }
  std::set<std::uint64_t> used;
  for (const auto& job : declaration.jobs()) {
    used.insert(job.layout());
  }
  const auto kept = std::remove_if(layouts.begin(), layouts.end(), [&](const auto& layout) {
    return !used.contains(layout.version());
  });
  layouts.erase(kept, layouts.end());
}

TaskSet assigned_tasks(const proto::state::Declaration& declaration,
                       const proto::state::JobDecl& job, const DomainState& domain_state,
                       const std::string& domain, std::uint32_t shard) {
  for (const DomainSlice& slice : split_by_domain(declaration, job)) {
    if (slice.domain != domain || shard >= slice.shards) {
      continue;
    }
    auto shards = split_by_shard(slice, job.name());
    for (const auto& move : domain_state.moves()) {
      if (move.job() == job.name()) {
        apply_move(shards, move);
      }
    }
    return shards[shard];
  }
  return TaskSet{};
}

std::uint32_t shard_of_worker(const std::string& worker, std::uint32_t shards) {
  return rendezvous_bucket(worker, shards);
}

std::uint32_t shard_count(const proto::state::Declaration& declaration, const std::string& domain) {
  for (const auto& declared : declaration.domains()) {
    if (declared.name() == domain) {
      return shards_of(declared);
    }
  }
  return k_default_shards;
}

}  // namespace arbutusdale::state
