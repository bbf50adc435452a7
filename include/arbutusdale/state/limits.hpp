// Limits of the replicated state and of its streams.
#pragma once

#include <cstddef>
#include <cstdint>

namespace arbutusdale::state {

/// Format of the records that this version reads and writes; any other format stops the stream.
constexpr std::uint32_t k_record_format = 1;

constexpr std::uint32_t k_default_shards = 4;
constexpr std::uint32_t k_max_shards = 16;

/// Plans kept as history; the oldest settled ones are dropped first.
constexpr std::size_t k_max_plans_kept = 1'000;
/// Ended jobs kept in the declaration; older ones are removed from it.
constexpr std::size_t k_max_ended_jobs_kept = 2'000;
/// Retired jobs whose names a failure domain keeps: about five hours at 100,000 jobs a day. A shard
/// owner whose copy of `global` is older than that could restart a job whose name was dropped.
constexpr std::size_t k_max_retired_jobs_kept = 20'000;
/// VMs drained at the same time; the planner rejects more.
constexpr std::size_t k_max_drains = 2'000;
/// Writers whose latest record id is kept. With 260 daemons and 5,000 restarts a day, a writer is
/// dropped no sooner than about 3.5 hours after its last record.
constexpr std::size_t k_max_writers_kept = 1'024;
/// Ids kept of records that carry no sequence number of their writer.
constexpr std::size_t k_max_unnumbered_ids_kept = 1'024;
constexpr std::size_t k_max_ended_incarnations_kept = 256;
constexpr std::size_t k_max_quarantines_kept = 1'024;
/// Moves of tasks between the shards of a failure domain; further ones are ignored.
constexpr std::size_t k_max_moves_kept = 10'000;
constexpr std::size_t k_max_failed_workers_kept = 16;
/// Permanently failed tasks per job whose note is kept.
constexpr std::size_t k_max_failed_notes_kept = 100;

constexpr std::size_t k_max_record_bytes = 262'144;
constexpr std::size_t k_max_batch_bytes = 262'144;
constexpr std::size_t k_max_queued_records = 10'000;
constexpr std::size_t k_max_queued_bytes = 8'388'608;
constexpr std::uint32_t k_read_limit_entries = 128;

constexpr std::size_t k_snapshot_chunk_bytes = 65'536;
constexpr std::uint32_t k_max_snapshot_chunks = 1'024;
/// Incomplete snapshots held at once; the one that started first is dropped.
constexpr std::size_t k_max_partial_snapshots = 8;

}  // namespace arbutusdale::state
