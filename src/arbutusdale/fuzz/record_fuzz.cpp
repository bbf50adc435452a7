// Fuzzes the global and domain state machines with arbitrary batches of records: no input may crash
// them, and two replicas that apply the same batch must reach the same state.
#include "arbutusdale/state/domain_state.hpp"
#include "arbutusdale/state/global_state.hpp"

#include <cstddef>
#include <cstdint>
#include <cstdlib>

using namespace arbutusdale;

namespace {

/// Applies the records in order up to the first that is rejected.
template <typename State>
void apply_all(State& state, const proto::state::Batch& batch) {
  std::uint64_t offset = 1;
  for (const auto& record : batch.records()) {
    if (!state.apply(offset++, record)) {
      return;
    }
  }
}

void require(bool condition) {
  if (!condition) {
    std::abort();
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  proto::state::Batch batch;
  if (!batch.ParseFromArray(data, static_cast<int>(size))) {
    return 0;
  }
  const auto global = state::make_global_state();
  const auto other_global = state::make_global_state();
  apply_all(*global, batch);
  apply_all(*other_global, batch);
  require(global->snapshot().SerializeAsString() == other_global->snapshot().SerializeAsString());
  const auto domain = state::make_domain_state("halle-a");
  const auto other_domain = state::make_domain_state("halle-a");
  apply_all(*domain, batch);
  apply_all(*other_domain, batch);
  require(domain->snapshot().SerializeAsString() == other_domain->snapshot().SerializeAsString());
  return 0;
}
