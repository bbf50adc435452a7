// Fuzzes the restoring of snapshots: a snapshot taken after a restore must yield an identical
// snapshot when it is restored and taken again.
#include "arbutusdale/state/domain_state.hpp"
#include "arbutusdale/state/global_state.hpp"

#include <cstddef>
#include <cstdint>
#include <cstdlib>

using namespace arbutusdale;

namespace {

template <typename State, typename Snapshot>
void check_round_trip(State& first, State& second, const Snapshot& snapshot) {
  first.restore(snapshot);
  const auto saved = first.snapshot();
  second.restore(saved);
  if (second.snapshot().SerializeAsString() != saved.SerializeAsString()) {
    std::abort();
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  proto::state::GlobalSnapshot global;
  if (global.ParseFromArray(data, static_cast<int>(size))) {
    check_round_trip(*state::make_global_state(), *state::make_global_state(), global);
  }
  proto::state::DomainSnapshot domain;
  if (domain.ParseFromArray(data, static_cast<int>(size))) {
    check_round_trip(*state::make_domain_state("halle-a"), *state::make_domain_state("halle-a"),
                     domain);
  }
  return 0;
}
