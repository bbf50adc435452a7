// Tests of the set of task indices.
#include "arbutusdale/state/task_set.hpp"

#include "arbutusdale/core/random.hpp"

#include <cstdint>
#include <limits>
#include <set>

#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::state;

// Guards against adjacent ranges that are not merged, which would make the state of a finished job
// large.
Test(task_set, merges_adjacent_ranges) {
  TaskSet tasks;
  tasks.insert(TaskSpan{0, 4});
  tasks.insert(TaskSpan{6, 9});
  tasks.insert(5);
  cr_assert(tasks.spans() == (std::vector<TaskSpan>{{0, 9}}));
  cr_assert_eq(tasks.size(), 10U);
}

// Guards against overflow at the largest index.
Test(task_set, handles_the_largest_index) {
  constexpr auto k_last = std::numeric_limits<std::uint32_t>::max();
  TaskSet tasks;
  tasks.insert(TaskSpan{k_last - 1, k_last});
  tasks.insert(TaskSpan{0, 0});
  tasks.erase(TaskSpan{k_last, k_last});
  cr_assert(tasks.contains(k_last - 1));
  cr_assert_not(tasks.contains(k_last));
  cr_assert_eq(tasks.size(), 2U);
}

// Guards against any difference from `std::set` under random inserts and erases.
Test(task_set, agrees_with_a_plain_set) {
  Random random{11};
  TaskSet tasks;
  std::set<std::uint32_t> expected;
  for (int round = 0; round < 3'000; ++round) {
    const auto first = static_cast<std::uint32_t>(random_index(random, 200));
    const auto last = first + static_cast<std::uint32_t>(random_index(random, 12));
    const bool insert = random_index(random, 2) == 0;
    insert ? tasks.insert(TaskSpan{first, last}) : tasks.erase(TaskSpan{first, last});
    for (auto task = first; task <= last; ++task) {
      insert ? (void)expected.insert(task) : (void)expected.erase(task);
    }
    cr_assert_eq(tasks.size(), expected.size());
  }
  for (std::uint32_t task = 0; task < 220; ++task) {
    cr_assert_eq(tasks.contains(task), expected.contains(task));
  }
}
