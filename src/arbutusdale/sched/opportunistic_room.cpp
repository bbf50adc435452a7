// Idle and shared processors for opportunistic tasks.
#include "arbutusdale/sched/opportunistic_room.hpp"

namespace arbutusdale::sched {
namespace {

// An opportunistic task starts only where at least this share of the processors it needs is free.
constexpr double k_min_free_share = 0.8;
// No more runs share processors of a worker once they need this share of what is left there.
constexpr double k_max_shared_share = 0.5;

bool is_enough(std::int64_t free, std::uint64_t cpu_millis) {
  return static_cast<double>(free) >= static_cast<double>(cpu_millis) * k_min_free_share;
}

}  // namespace

bool has_idle_processors(const OpportunisticRoom& room, std::uint64_t cpu_millis) {
  return is_enough(room.left - room.used, cpu_millis);
}

bool may_share_processors(const OpportunisticRoom& room, std::uint64_t cpu_millis) {
  return is_enough(room.left, cpu_millis) &&
         static_cast<double>(room.shared) < static_cast<double>(room.left) * k_max_shared_share;
}

}  // namespace arbutusdale::sched
