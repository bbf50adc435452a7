// Record with which a daemon states its share of a processor. A daemon stores it together with
// submissions, so it costs no calls, and a recent one shows that the daemon reaches the store.
#pragma once

#include "arbutusdale/store/metadata_store.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace arbutusdale::jobs {

struct DaemonPresence {
  std::string daemon;            // name, the same for all incarnations
  std::uint32_t cpu_millis = 0;  // its share of a core, in thousandths
  std::uint64_t wall_ms = 0;     // when the record was written, on the daemon's clock
};

store::KeyedValue encode(const DaemonPresence& presence);

/// True for the records of this kind, also for those that cannot be decoded.
bool is_daemon_presence(const store::Record& record);
std::optional<DaemonPresence> decode_daemon_presence(const store::Record& record);

}  // namespace arbutusdale::jobs
