// Test helper: reads the event log that the tested code writes.
#pragma once

#include "arbutusdale/core/clock.hpp"
#include "arbutusdale/observe/event_log.hpp"

#include <array>
#include <cstddef>
#include <string>

#include <criterion/criterion.h>
#include <fcntl.h>
#include <unistd.h>

namespace arbutusdale::sched {

/// Collects the event log of this process.
class EventCapture {
 public:
  explicit EventCapture(const Clock& clock) {
    cr_assert_eq(::pipe(m_ends.data()), 0);
    cr_assert_neq(::fcntl(m_ends[0], F_SETFL, O_NONBLOCK), -1);
    observe::open_event_log(m_ends[1], "daemon", clock, {});
  }
  /// The lines since the last call.
  std::string read() const {
    observe::flush_event_log();
    std::string text;
    std::array<char, 4'096> part{};
    for (ssize_t size = 0; (size = ::read(m_ends[0], part.data(), part.size())) > 0;) {
      text.append(part.data(), static_cast<std::size_t>(size));
    }
    return text;
  }

 private:
  std::array<int, 2> m_ends{};
};

}  // namespace arbutusdale::sched
