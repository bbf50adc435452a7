// Abstract interface to the advice service, which decides which workers may run a step of an
// advised queue.
#pragma once

#include "arbutusdale/core/clock.hpp"
#include "arbutusdale/jobs/ids.hpp"

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

class Advisor {
 public:
  using Done = std::function<void(tl::expected<Advice, AdviceError>)>;

  Advisor() = default;
  Advisor(const Advisor&) = delete;
  Advisor& operator=(const Advisor&) = delete;
  virtual ~Advisor() = default;

  /// Asks which of `workers` (ids) may run the step. Asynchronous; `done` is invoked exactly once.
  virtual void advise(const StepId& step, const std::vector<std::string>& workers, Done done) = 0;
};

}  // namespace arbutusdale::sched
