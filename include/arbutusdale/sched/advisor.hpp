// Abstract interface to the service that decides which workers may run a step of an advised queue.
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

  // The check mistakes the comparison with zero inside for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const StepId&, const StepId&) = default;
};

/// A start of a task of the step on the worker has to carry the ticket.
struct Ticket {
  std::string worker;  // id
  std::string text;
};

struct Advice {
  std::vector<Ticket> tickets;  // of the workers that may run the step
  Duration valid_for{};         // from the answer on
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

  /// `done` is invoked exactly once.
  virtual void advise(const StepId& step, const std::vector<std::string>& workers, Done done) = 0;
};

}  // namespace arbutusdale::sched
