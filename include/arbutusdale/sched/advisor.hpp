// Abstract interface to the advice service, which decides which workers may run a step of an
// advised queue.
#pragma once

#include "arbutusdale/core/clock.hpp"
#include "arbutusdale/jobs/ids.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <tl/expected.hpp>

namespace arbutusdale::sched {

/// One step of one occurrence of a job.
struct StepId {
  jobs::JobId job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;

  // The check mistakes the generated comparison with zero for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const StepId&, const StepId&) = default;
};

/// Permission to run a step on a worker. Every start of a task of the step there carries its text.
struct Ticket {
  std::string worker;  // its id
  std::string text;
};

struct Advice {
  std::vector<Ticket> tickets;  // one for each worker that may run the step
  Duration valid_for{};         // from the receipt of the answer
};

struct AdviceError {
  std::string message;
};

/// Time that the service takes for a call about a step of a queue, by the queue's configuration.
struct AdviceTimes {
  Duration decision{};
  Duration per_worker{};  // for each worker named

  [[nodiscard]] Duration of_call(std::size_t workers) const {
    return decision + static_cast<std::int64_t>(workers) * per_worker;
  }
};

class Advisor {
 public:
  using Done = std::function<void(tl::expected<Advice, AdviceError>)>;

  Advisor() = default;
  Advisor(const Advisor&) = delete;
  Advisor& operator=(const Advisor&) = delete;
  virtual ~Advisor() = default;

  /// What the newest configuration says of calls for the queue's steps; zero if it says nothing.
  [[nodiscard]] virtual AdviceTimes times_of(const std::string& queue) const = 0;
  /// Asks which of `workers` (ids) may run the step, and gives up after `timeout`. Asynchronous;
  /// `done` is invoked exactly once.
  virtual void advise(const StepId& step, const std::vector<std::string>& workers, Duration timeout,
                      Done done) = 0;
};

}  // namespace arbutusdale::sched
