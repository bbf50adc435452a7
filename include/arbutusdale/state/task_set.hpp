// Set of task indices stored as disjoint ranges, so that a job of 100,000 tasks needs little
// memory.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

namespace arbutusdale::state {

/// Inclusive range of task indices.
struct TaskSpan {
  std::uint32_t first = 0;
  std::uint32_t last = 0;

  friend bool operator==(const TaskSpan&, const TaskSpan&) = default;
};

/// Ordered set of task indices. Look-ups are logarithmic in the number of ranges; `insert` and
/// `erase` add to that the number of ranges they merge or remove.
class TaskSet {
 public:
  void insert(std::uint32_t task) { insert(TaskSpan{task, task}); }
  void insert(const TaskSpan& span);
  void erase(const TaskSpan& span);

  [[nodiscard]] bool contains(std::uint32_t task) const;
  [[nodiscard]] std::uint64_t size() const { return m_size; }
  [[nodiscard]] bool empty() const { return m_size == 0; }
  [[nodiscard]] std::vector<TaskSpan> spans() const;

 private:
  std::map<std::uint32_t, std::uint32_t> m_spans;  // first -> last; disjoint and not adjacent
  std::uint64_t m_size = 0;                        // number of indices in m_spans
};

}  // namespace arbutusdale::state
