// Splits snapshots into chunks that fit into log records, and reassembles them.
#pragma once

#include "arbutusdale/state.pb.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace arbutusdale::state {

/// A reassembled snapshot: all chunks were read and the checksum matches.
struct CompleteSnapshot {
  std::string id;
  std::uint64_t covered_offset = 0;  // includes all records below this offset
  std::uint64_t first_chunk_offset = 0;
  std::string data;
};

/// Chunks of at most `k_snapshot_chunk_bytes`; none if the snapshot needs more than
/// `k_max_snapshot_chunks`.
std::vector<proto::state::SnapshotChunk> split_snapshot(const std::string& id,
                                                        std::uint64_t covered_offset,
                                                        const std::string& data);

/// Reassembles snapshots of several writers. At most `k_max_partial_snapshots` incomplete ones are
/// held; the oldest is dropped when a newer one starts.
class SnapshotAssembler {
 public:
  /// Adds a chunk; returns the snapshot if this completes it and the checksum matches.
  std::optional<CompleteSnapshot> add(std::uint64_t offset,
                                      const proto::state::SnapshotChunk& chunk);

 private:
  struct Partial {
    std::uint64_t covered_offset = 0;
    std::uint64_t checksum = 0;
    std::uint32_t count = 0;
    std::uint64_t first_chunk_offset = 0;
    std::map<std::uint32_t, std::string> chunks;
  };

  std::map<std::string, Partial> m_partials;  // by snapshot id
  std::deque<std::string> m_order;            // the ids of m_partials, oldest first
};

}  // namespace arbutusdale::state
