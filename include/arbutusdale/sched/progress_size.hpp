// Sizes of progress records. The store takes no record over a limit, so a job whose progress may
// exceed it is refused at its submission.
#pragma once

#include "arbutusdale/jobs.pb.h"

#include <cstddef>
#include <cstdint>

namespace arbutusdale::sched {

/// For the key of a record, and for what the record of a move adds to the progress of its job.
inline constexpr std::size_t k_record_reserve_bytes = 128;

/// Largest size, in bytes, that the progress of the job may reach without what may be left out:
/// every task is done, or each has failed as often as its queue lets it before the job fails.
[[nodiscard]] double max_progress_bytes(const proto::jobs::JobSubmitted& job);

/// Leaves out what is least needed until the record has at most `max_bytes`: first crashed runs
/// that make no task a suspect, then all unsettled and crashed runs, then all but the newest failed
/// run of each task if the number of attempts has no limit. Returns false if the record is still
/// larger; done tasks and counted failures are never left out.
bool trim_progress(proto::jobs::JobProgress& progress, std::uint32_t max_attempts,
                   std::size_t max_bytes);

}  // namespace arbutusdale::sched
