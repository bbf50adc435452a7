// Model of the target on one VM.
#include "target.hpp"

#include "arbutusdale/core/enum_names.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace arbutusdale::standin {
namespace {

constexpr EnumNames<TargetFault, 6> k_fault_names{{
    {TargetFault::none, "none"},
    {TargetFault::slow, "slow"},
    {TargetFault::errors, "errors"},
    {TargetFault::reset, "reset"},
    {TargetFault::silent, "silent"},
    {TargetFault::truncate, "truncate"},
}};

constexpr double k_p99 = 0.99;
constexpr std::size_t k_max_latencies = 100'000;  // per interval; bounds the memory
constexpr unsigned k_internal_error = 500;

double milliseconds_since(std::chrono::steady_clock::time_point start) {
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start)
      .count();
}

Ending ending_of(TargetFault fault) {
  switch (fault) {
    case TargetFault::reset:
      return Ending::reset;
    case TargetFault::silent:
      return Ending::silent;
    case TargetFault::truncate:
      return Ending::truncate;
    default:
      return Ending::complete;
  }
}

}  // namespace

std::optional<TargetFault> target_fault(std::string_view name) {
  return enum_value(k_fault_names, name);
}

Target::Target(std::string worker, const SharedTargetControls& shared, std::uint64_t seed,
               HttpLoop& loop, Executed executed)
    : m_worker(std::move(worker)),
      m_shared(shared),
      m_loop(loop),
      m_executed(std::move(executed)),
      m_random(seed),
      m_figures_since(std::chrono::steady_clock::now()) {}

void Target::handle(Exchange& exchange) {
  Request request;
  request.exchange = exchange.id;
  request.arrived = std::chrono::steady_clock::now();
  request.id = exchange.header("X-Request-Id");
  request.key = exchange.header("Idempotency-Key");
  request.answer.body = exchange.uri + "\n" + request.id + "\n" + exchange.body;
  request.answer.headers = {{"X-Worker", m_worker}, {"X-Request-Id", request.id}};
  if (m_busy >= m_shared.slots) {
    m_waiting.push_back(std::move(request));
  } else {
    serve(std::move(request));
  }
}

void Target::serve(Request request) {
  ++m_busy;
  request.started = std::chrono::steady_clock::now();
  const std::uint64_t executions = m_executed(m_worker, request.key, request.id);
  request.answer.headers.emplace_back("X-Executions", std::to_string(executions));
  m_loop.after(service_time(), [this, epoch = m_epoch, request = std::move(request)]() mutable {
    finish(epoch, std::move(request));
  });
}

Duration Target::service_time() {
  const double variation = m_shared.variation;
  const double spread = -std::log(1.0 - random_unit(m_random));
  double factor = (1.0 - variation) + variation * spread;
  factor *= controls.interference;
  if (controls.fault == TargetFault::slow) {
    factor *= controls.slow_factor;
  }
  return Duration{
      static_cast<std::int64_t>(static_cast<double>(m_shared.service_time_us.load()) * factor)};
}

void Target::finish(std::uint64_t epoch, Request request) {
  if (epoch != m_epoch) {
    return;
  }
  --m_busy;
  {
    const std::lock_guard lock(m_mutex);
    if (m_latencies_ms.size() < k_max_latencies) {
      m_latencies_ms.push_back(milliseconds_since(request.arrived));
    }
    m_busy_ms += milliseconds_since(request.started);
  }
  const TargetFault fault = controls.fault;
  request.answer.ending = ending_of(fault);
  if (fault == TargetFault::errors) {
    request.answer.status = k_internal_error;
  }
  m_loop.answer(request.exchange, std::move(request.answer));
  if (!m_waiting.empty()) {
    Request next = std::move(m_waiting.front());
    m_waiting.pop_front();
    serve(std::move(next));
  }
}

void Target::reset() {
  ++m_epoch;
  m_busy = 0;
  m_waiting.clear();
}

TargetFigures Target::take_figures() {
  TargetFigures figures;
  std::vector<double> latencies;
  {
    const std::lock_guard lock(m_mutex);
    latencies.swap(m_latencies_ms);
    const double slot_ms = milliseconds_since(m_figures_since) * m_shared.slots;
    figures.load = slot_ms > 0 ? std::min(1.0, m_busy_ms / slot_ms) : 0;
    m_busy_ms = 0;
    m_figures_since = std::chrono::steady_clock::now();
  }
  if (latencies.empty()) {
    return figures;
  }
  const auto rank = static_cast<std::size_t>(k_p99 * static_cast<double>(latencies.size() - 1));
  std::nth_element(latencies.begin(), latencies.begin() + static_cast<std::ptrdiff_t>(rank),
                   latencies.end());
  figures.p99_ms = latencies[rank];
  return figures;
}

}  // namespace arbutusdale::standin
