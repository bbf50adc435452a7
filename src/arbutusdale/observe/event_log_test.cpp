// Tests of the event log: its limits, which lines it keeps under load, and its escaping.
#include "arbutusdale/observe/event_log.hpp"

#include <array>
#include <string>

#include <criterion/criterion.h>
#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

using namespace arbutusdale;
using namespace arbutusdale::observe;

namespace {

class FixedClock final : public Clock {
 public:
  std::uint64_t wall = 1'700'000'000'000;
  [[nodiscard]] TimePoint now() const override { return TimePoint{Duration{1}}; }
  [[nodiscard]] std::uint64_t wall_ms() const override { return wall; }
};

struct Pipe {
  std::array<int, 2> ends{};
  Pipe() {
    cr_assert_eq(::pipe(ends.data()), 0);
    cr_assert_neq(::fcntl(ends[0], F_SETFL, O_NONBLOCK), -1);
  }
  std::string read_all() const {
    std::string text;
    std::array<char, 4'096> part{};
    for (ssize_t size = 0; (size = ::read(ends[0], part.data(), part.size())) > 0;) {
      text.append(part.data(), static_cast<std::size_t>(size));
    }
    return text;
  }
};

std::size_t count(const std::string& text, const std::string& part) {
  std::size_t found = 0;
  for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
    ++found;
  }
  return found;
}

}  // namespace

// Guards against a log that grows with the load, and against a leadership change that is dropped
// because lines about runs have used up the limit.
Test(event_log, routine_lines_are_bounded_and_leave_room_for_others) {
  const Pipe pipe;
  FixedClock clock;
  open_event_log(pipe.ends[1], "daemon", clock, {20, 5, 65'536});
  for (int i = 0; i < 100; ++i) {
    EventLine(Event::run_ordered).add("run", i).write();
  }
  EventLine(Event::leadership_lost).add("term", 3).write();
  for (int i = 0; i < 100; ++i) {
    EventLine(Event::job_ended).write();
  }
  clock.wall += 1'000;
  EventLine(Event::run_ended).write();
  flush_event_log();
  const std::string text = pipe.read_all();
  cr_assert_eq(count(text, "run_ordered"), 20U);
  cr_assert_eq(count(text, "leadership_lost"), 1U);
  cr_assert_eq(count(text, "job_ended"), 4U);
  cr_assert_eq(count(text, R"("lines_dropped","count":176)"), 1U);
  cr_assert_eq(count(text, "run_ended"), 1U);
}

// Guards against a daemon that blocks when nothing reads its log.
Test(event_log, a_full_pipe_does_not_block) {
  const Pipe pipe;
  const FixedClock clock;
  open_event_log(pipe.ends[1], "daemon", clock, {100'000, 0, 200'000});
  for (int i = 0; i < 20'000; ++i) {
    EventLine(Event::run_ordered).add("run", i).write();
    flush_event_log();
  }
  cr_assert_gt(dropped_event_lines(), 0U);
}

// Guards against text from callers that splits a line.
Test(event_log, values_are_escaped) {
  const Pipe pipe;
  const FixedClock clock;
  open_event_log(pipe.ends[1], "daemon", clock, {});
  EventLine(Event::job_refused).add("reason", "a \"b\" \\ \n \x01").write();
  flush_event_log();
  const std::string text = pipe.read_all();
  cr_assert_eq(count(text, "\n"), 1U);
  cr_assert(nlohmann::json::parse(text)["reason"] == "a \"b\" \\ \n \x01");
}
