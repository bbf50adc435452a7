// Splitting and reassembly of snapshots.
#include "snapshot_chunks.hpp"

#include "arbutusdale/core/hash.hpp"
#include "arbutusdale/state/limits.hpp"

#include <algorithm>

namespace arbutusdale::state {

std::vector<proto::state::SnapshotChunk> split_snapshot(const std::string& id,
                                                        std::uint64_t covered_offset,
                                                        const std::string& data) {
  const std::size_t count =
      std::max<std::size_t>(1, (data.size() + k_snapshot_chunk_bytes - 1) / k_snapshot_chunk_bytes);
  std::vector<proto::state::SnapshotChunk> chunks;
  if (count > k_max_snapshot_chunks) {
    return chunks;
  }
  const std::uint64_t checksum = stable_hash(data);
  for (std::size_t i = 0; i < count; ++i) {
    auto& chunk = chunks.emplace_back();
    chunk.set_snapshot_id(id);
    chunk.set_covered_offset(covered_offset);
    chunk.set_index(static_cast<std::uint32_t>(i));
    chunk.set_count(static_cast<std::uint32_t>(count));
    chunk.set_checksum(checksum);
    chunk.set_data(data.substr(i * k_snapshot_chunk_bytes, k_snapshot_chunk_bytes));
  }
  return chunks;
}

std::optional<CompleteSnapshot> SnapshotAssembler::add(std::uint64_t offset,
                                                       const proto::state::SnapshotChunk& chunk) {
  if (chunk.count() == 0 || chunk.count() > k_max_snapshot_chunks ||
      chunk.index() >= chunk.count() || chunk.data().size() > k_snapshot_chunk_bytes) {
    return std::nullopt;
  }
  const auto [it, is_new] = m_partials.try_emplace(chunk.snapshot_id());
  Partial& partial = it->second;
  if (is_new) {
    partial.covered_offset = chunk.covered_offset();
    partial.checksum = chunk.checksum();
    partial.count = chunk.count();
    partial.first_chunk_offset = offset;
    m_order.push_back(chunk.snapshot_id());
  }
  if (partial.covered_offset != chunk.covered_offset() || partial.checksum != chunk.checksum() ||
      partial.count != chunk.count()) {
    return std::nullopt;
  }
  partial.chunks[chunk.index()] = chunk.data();
  std::optional<CompleteSnapshot> complete;
  if (partial.chunks.size() == partial.count) {
    CompleteSnapshot snapshot{chunk.snapshot_id(), partial.covered_offset,
                              partial.first_chunk_offset, ""};
    for (const auto& [index, data] : partial.chunks) {
      snapshot.data += data;
    }
    if (stable_hash(snapshot.data) == partial.checksum) {
      complete = std::move(snapshot);
    }
    m_order.erase(std::find(m_order.begin(), m_order.end(), chunk.snapshot_id()));
    m_partials.erase(chunk.snapshot_id());
  }
  if (m_order.size() > k_max_partial_snapshots) {
    m_partials.erase(m_order.front());
    m_order.pop_front();
  }
  return complete;
}

}  // namespace arbutusdale::state
