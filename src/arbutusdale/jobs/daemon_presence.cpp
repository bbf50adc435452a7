// The value is the share and the time as decimal numbers, separated by a space.
#include "arbutusdale/jobs/daemon_presence.hpp"

#include <charconv>
#include <string_view>

namespace arbutusdale::jobs {
namespace {

constexpr char k_presence = 'd';  // first letter of the keys

}  // namespace

store::KeyedValue encode(const DaemonPresence& presence) {
  return {k_presence + presence.daemon,
          std::to_string(presence.cpu_millis) + " " + std::to_string(presence.wall_ms)};
}

bool is_daemon_presence(const store::Record& record) {
  return record.entry.key.starts_with(k_presence);
}

std::optional<DaemonPresence> decode_daemon_presence(const store::Record& record) {
  if (!is_daemon_presence(record)) {
    return std::nullopt;
  }
  DaemonPresence presence;
  presence.daemon = record.entry.key.substr(1);
  const std::string_view value = record.entry.value;
  const char* end = value.data() + value.size();
  const auto share = std::from_chars(value.data(), end, presence.cpu_millis);
  if (share.ec != std::errc() || share.ptr == end || *share.ptr != ' ') {
    return std::nullopt;
  }
  const auto time = std::from_chars(share.ptr + 1, end, presence.wall_ms);
  if (time.ec != std::errc() || time.ptr != end) {
    return std::nullopt;
  }
  return presence;
}

}  // namespace arbutusdale::jobs
