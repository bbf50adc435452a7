// Model of the target on one VM: slots, a queue, service times that grow with batch load, faults.
#pragma once

#include "arbutusdale/core/random.hpp"

#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "http_loop.hpp"

namespace arbutusdale::standin {

enum class TargetFault : std::uint8_t {
  none,
  slow,      ///< service times are multiplied by a factor
  errors,    ///< 500 after the request was executed
  reset,     ///< connection reset after the request was executed
  silent,    ///< executed, no response
  truncate,  ///< executed, half of the response body is sent
};

std::optional<TargetFault> target_fault(std::string_view name);

/// Settings that other threads change while the target serves.
struct TargetControls {
  std::atomic<TargetFault> fault{TargetFault::none};
  std::atomic<double> slow_factor{10};
  std::atomic<double> interference{1};  // factor on the service time from batch load
};

/// Settings that all targets share.
struct SharedTargetControls {
  std::atomic<std::int64_t> service_time_us{5'000};
  double variation = 0.5;
  std::uint32_t slots = 8;
};

/// Metrics since the last call of `take_figures`.
struct TargetFigures {
  double p99_ms = 0;
  double load = 0;  // busy fraction of the slots, 0 to 1
};

class Target {
 public:
  /// Called for each execution with worker, key and request id; returns how often the key has been
  /// executed so far.
  using Executed =
      std::function<std::uint64_t(const std::string&, const std::string&, const std::string&)>;

  Target(std::string worker, const SharedTargetControls& shared, std::uint64_t seed, HttpLoop& loop,
         Executed executed);

  TargetControls controls;

  // Call only on the loop's thread.
  void handle(Exchange& exchange);
  /// Discards all requests, as a crash of the VM does.
  void reset();

  /// Thread-safe.
  TargetFigures take_figures();

 private:
  struct Request {
    std::uint64_t exchange = 0;
    std::string id;
    std::string key;
    std::chrono::steady_clock::time_point arrived;
    std::chrono::steady_clock::time_point started;
    HttpAnswer answer;
  };

  void serve(Request request);
  void finish(std::uint64_t epoch, Request request);
  Duration service_time();

  std::string m_worker;
  const SharedTargetControls& m_shared;
  HttpLoop& m_loop;
  Executed m_executed;
  Random m_random;
  std::deque<Request> m_waiting;
  std::uint64_t m_epoch = 0;  // incremented by a crash; completions of older epochs are ignored
  std::uint32_t m_busy = 0;

  std::mutex m_mutex;  // guards the members below
  std::vector<double> m_latencies_ms;
  double m_busy_ms = 0;  // over all slots
  std::chrono::steady_clock::time_point m_figures_since;
};

}  // namespace arbutusdale::standin
