// Task indices stored as disjoint ranges.
#include "arbutusdale/state/task_set.hpp"

#include <algorithm>
#include <iterator>

namespace arbutusdale::state {
namespace {

std::uint64_t length(std::uint32_t first, std::uint32_t last) {
  return std::uint64_t{last} - first + 1;
}

}  // namespace

void TaskSet::insert(const TaskSpan& span) {
  if (span.first > span.last) {
    return;
  }
  std::uint32_t first = span.first;
  std::uint32_t last = span.last;
  auto it = m_spans.upper_bound(first);
  if (it != m_spans.begin()) {
    const auto before = std::prev(it);
    if (std::uint64_t{before->second} + 1 >= first) {
      it = before;
    }
  }
  while (it != m_spans.end() && it->first <= std::uint64_t{last} + 1) {
    first = std::min(first, it->first);
    last = std::max(last, it->second);
    m_size -= length(it->first, it->second);
    it = m_spans.erase(it);
  }
  m_spans.emplace(first, last);
  m_size += length(first, last);
}

void TaskSet::erase(const TaskSpan& span) {
  if (span.first > span.last) {
    return;
  }
  auto it = m_spans.upper_bound(span.first);
  if (it != m_spans.begin()) {
    --it;
  }
  while (it != m_spans.end() && it->first <= span.last) {
    const auto [first, last] = *it;
    if (last < span.first) {
      ++it;
      continue;
    }
    it = m_spans.erase(it);
    m_size -= length(first, last);
    if (first < span.first) {
      m_spans.emplace(first, span.first - 1);
      m_size += length(first, span.first - 1);
    }
    if (last > span.last) {
      m_spans.emplace(span.last + 1, last);
      m_size += length(span.last + 1, last);
      return;
    }
  }
}

bool TaskSet::contains(std::uint32_t task) const {
  const auto it = m_spans.upper_bound(task);
  return it != m_spans.begin() && std::prev(it)->second >= task;
}

std::vector<TaskSpan> TaskSet::spans() const {
  std::vector<TaskSpan> result;
  result.reserve(m_spans.size());
  for (const auto& [first, last] : m_spans) {
    result.push_back(TaskSpan{first, last});
  }
  return result;
}

}  // namespace arbutusdale::state
