// Conversions between the platform's messages and internal types.
#include "arbutusdale/backplane/backplane.hpp"

namespace arbutusdale::backplane {

Resources from_proto(const proto::platform::Resources& amount) {
  return Resources{amount.cpu_millis(), amount.memory_mib(), amount.accelerators()};
}

proto::platform::Resources to_proto(const Resources& amount) {
  proto::platform::Resources wire;
  wire.set_cpu_millis(amount.cpu_millis);
  wire.set_memory_mib(amount.memory_mib);
  wire.set_accelerators(amount.accelerators);
  return wire;
}

}  // namespace arbutusdale::backplane
