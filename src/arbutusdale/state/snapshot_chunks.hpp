// Splits snapshots into log records and puts them together again.
#pragma once

#include "arbutusdale/state.pb.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace arbutusdale::state {

/// A snapshot whose chunks were all read and whose checksum matches.
struct CompleteSnapshot {
  std::string id;
  std::uint64_t covered_offset = 0;  // records below this offset are contained
  std::uint64_t first_chunk_offset = 0;
  std::string data;
};

/// Chunks of at most 64 KiB; empty when the snapshot exceeds the bound on their number.
std::vector<proto::state::SnapshotChunk> split_snapshot(const std::string& id,
                                                        std::uint64_t covered_offset,
                                                        const std::string& data);

/// Collects chunks of several writers. Half-written snapshots are dropped once newer ones start.
class SnapshotAssembler {
 public:
  /// The snapshot when this chunk was its last missing one.
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
