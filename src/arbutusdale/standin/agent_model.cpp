// Agent of one worker: commands and reports. agent_run.cpp holds the execution of attempts.
#include "arbutusdale/standin/agent_model.hpp"

#include "arbutusdale/backplane/backplane.hpp"

#include <algorithm>
#include <charconv>
#include <sstream>
#include <utility>

namespace arbutusdale::standin {
namespace {

using proto::platform::AgentReply;

// Bounds the memory used for attempts that must not start again.
constexpr std::size_t k_max_tombstones = 65'536;
constexpr std::string_view k_checkpoint_prefix = "progress_us=";
constexpr std::uint32_t k_full_speed_percent = 100;

AttemptKey key_of(const proto::platform::AttemptRequest& request) {
  return {request.job(), request.task(), request.attempt()};
}

std::uint64_t parse_number(std::string_view text) {
  std::uint64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

Duration parse_checkpoint(std::string_view checkpoint) {
  if (!checkpoint.starts_with(k_checkpoint_prefix)) {
    return {};
  }
  return Duration{parse_number(checkpoint.substr(k_checkpoint_prefix.size()))};
}

}  // namespace

TaskCommand parse_command(const std::string& command) {
  TaskCommand parsed;
  std::istringstream words(command);
  std::string word;
  while (words >> word) {
    const std::size_t split = word.find('=');
    if (split == std::string::npos) {
      continue;
    }
    const std::string name = word.substr(0, split);
    const std::string value = word.substr(split + 1);
    if (name == "run_ms") {
      parsed.run_ms = parse_number(value);
    } else if (name == "cpu_millis") {
      parsed.cpu_millis = parse_number(value);
    } else if (name == "memory_mib") {
      parsed.memory_mib = parse_number(value);
    } else if (name == "fail") {
      parsed.fail = parse_number(value) != 0;
    } else if (name == "class") {
      parsed.job_class = value;
    }
  }
  return parsed;
}

AgentModel::AgentModel(AgentModelOptions options, Observer* observer)
    : m_options(std::move(options)), m_observer(observer) {
  if (m_observer != nullptr) {
    m_observer->set_capacity(m_options.worker, m_options.capacity);
  }
}

std::string AgentModel::boot_id() const {
  return m_options.worker + "-boot-" + std::to_string(m_boots);
}

bool AgentModel::accept_token(std::uint64_t token, TimePoint now, AgentReply& reply) {
  advance(now);
  if (token < m_token) {
    reply.set_code(AgentReply::STALE_TOKEN);
    return false;
  }
  m_token = token;
  return true;
}

void AgentModel::extend_lease(Duration duration, TimePoint now) {
  m_lease_until = std::max(m_lease_until, now + duration);
}

AgentReply AgentModel::acquire(const proto::platform::AcquireRequest& request, TimePoint now) {
  AgentReply reply;
  if (accept_token(request.token(), now, reply)) {
    extend_lease(m_options.default_lease, now);
  }
  fill_report(*reply.mutable_report(), now);
  return reply;
}

AgentReply AgentModel::renew(const proto::platform::RenewRequest& request, TimePoint now) {
  AgentReply reply;
  if (accept_token(request.token(), now, reply)) {
    extend_lease(std::chrono::milliseconds{request.lease_ms()}, now);
  }
  return reply;
}

AgentReply AgentModel::report(TimePoint now) {
  advance(now);
  AgentReply reply;
  fill_report(*reply.mutable_report(), now);
  return reply;
}

AgentReply AgentModel::start(const proto::platform::StartRequest& request, TimePoint now) {
  AgentReply reply;
  if (m_observer != nullptr) {
    m_observer->start_command(m_options.worker, now);
  }
  if (!accept_token(request.token(), now, reply)) {
    return reply;
  }
  const AttemptKey key{request.job(), request.task(), request.attempt()};
  const auto known = m_attempts.find(key);
  if (known != m_attempts.end() || m_tombstones.contains(key)) {
    const bool runs = known != m_attempts.end() &&
                      known->second.report.state() == proto::platform::ATTEMPT_RUNNING;
    reply.set_code(runs ? AgentReply::OK : AgentReply::ALREADY_ENDED);
    return reply;
  }
  const Resources total = plus(committed(), backplane::from_proto(request.resources()));
  if (m_leaving) {
    reply.set_code(AgentReply::LEAVING);
  } else if (!fits(total, m_options.capacity)) {
    reply.set_code(AgentReply::NO_CAPACITY);
  } else {
    begin_attempt(request, key, now);
  }
  return reply;
}

void AgentModel::begin_attempt(const proto::platform::StartRequest& request, const AttemptKey& key,
                               TimePoint now) {
  extend_lease(m_options.default_lease, now);
  Attempt attempt;
  attempt.report.set_job(key.job);
  attempt.report.set_task(key.task);
  attempt.report.set_attempt(key.attempt);
  attempt.report.set_state(proto::platform::ATTEMPT_RUNNING);
  *attempt.report.mutable_committed() = request.resources();
  attempt.report.set_checkpoint(request.checkpoint());
  attempt.report.set_throttle_percent(k_full_speed_percent);
  attempt.command = parse_command(request.command());
  const std::uint64_t run_ms =
      attempt.command.run_ms > 0 ? attempt.command.run_ms : request.expected_ms();
  attempt.run_time = std::chrono::milliseconds{std::max<std::uint64_t>(run_ms, 1)};
  attempt.resumed = std::min(parse_checkpoint(request.checkpoint()), attempt.run_time);
  attempt.progress = attempt.resumed;
  attempt.started = now;
  m_attempts.emplace(key, std::move(attempt));
  if (m_observer != nullptr) {
    m_observer->attempt_started(m_options.worker, key, backplane::from_proto(request.resources()),
                                request.checkpoint());
  }
}

AgentReply AgentModel::checkpoint(const proto::platform::AttemptRequest& request, TimePoint now) {
  AgentReply reply;
  if (!accept_token(request.token(), now, reply)) {
    return reply;
  }
  const auto found = m_attempts.find(key_of(request));
  if (found == m_attempts.end()) {
    reply.set_code(AgentReply::UNKNOWN_ATTEMPT);
  } else if (found->second.report.state() != proto::platform::ATTEMPT_RUNNING) {
    reply.set_code(AgentReply::ALREADY_ENDED);
  } else {
    take_checkpoint(found->first, found->second);
  }
  return reply;
}

void AgentModel::take_checkpoint(const AttemptKey& key, Attempt& attempt) {
  attempt.report.set_checkpoint(std::string(k_checkpoint_prefix) +
                                std::to_string(attempt.progress.count()));
  if (m_observer != nullptr) {
    m_observer->checkpoint_taken(key, attempt.report.checkpoint());
  }
}

AgentReply AgentModel::throttle(const proto::platform::AttemptRequest& request, TimePoint now) {
  AgentReply reply;
  if (!accept_token(request.token(), now, reply)) {
    return reply;
  }
  const auto found = m_attempts.find(key_of(request));
  if (found == m_attempts.end()) {
    reply.set_code(AgentReply::UNKNOWN_ATTEMPT);
  } else if (found->second.report.state() != proto::platform::ATTEMPT_RUNNING) {
    reply.set_code(AgentReply::ALREADY_ENDED);
  } else {
    const std::uint32_t percent = std::min(request.throttle_percent(), k_full_speed_percent);
    found->second.report.set_throttle_percent(percent);
  }
  return reply;
}

AgentReply AgentModel::stop(const proto::platform::AttemptRequest& request, TimePoint now) {
  AgentReply reply;
  if (!accept_token(request.token(), now, reply)) {
    return reply;
  }
  const AttemptKey key = key_of(request);
  const auto found = m_attempts.find(key);
  if (found == m_attempts.end()) {
    add_tombstone(key);
    reply.set_code(AgentReply::UNKNOWN_ATTEMPT);
    return reply;
  }
  Attempt& attempt = found->second;
  if (attempt.report.state() != proto::platform::ATTEMPT_RUNNING) {
    reply.set_code(AgentReply::ALREADY_ENDED);
    return reply;
  }
  attempt.stop_with_checkpoint = attempt.stop_with_checkpoint || request.take_checkpoint();
  if (!attempt.stopping) {
    attempt.stopping = true;
    attempt.stop_at = now + m_options.stop_delay;
  }
  advance(now);
  return reply;
}

AgentReply AgentModel::acknowledge(const proto::platform::AcknowledgeRequest& request,
                                   TimePoint now) {
  AgentReply reply;
  if (!accept_token(request.token(), now, reply)) {
    return reply;
  }
  for (const auto& item : request.attempts()) {
    const AttemptKey key = key_of(item);
    const auto found = m_attempts.find(key);
    if (found == m_attempts.end() ||
        found->second.report.state() == proto::platform::ATTEMPT_RUNNING) {
      continue;
    }
    if (m_observer != nullptr) {
      m_observer->attempt_acknowledged(key);
    }
    m_attempts.erase(found);
    // A start command that arrives late must not run the attempt again.
    add_tombstone(key);
  }
  return reply;
}

void AgentModel::add_tombstone(const AttemptKey& key) {
  if (!m_tombstones.insert(key).second) {
    return;
  }
  m_tombstone_order.push_back(key);
  if (m_tombstone_order.size() > k_max_tombstones) {
    m_tombstones.erase(m_tombstone_order.front());
    m_tombstone_order.pop_front();
  }
}

void AgentModel::fill_report(proto::platform::WorkerReport& report, TimePoint now) const {
  const Usage& usage = visible_usage(now);
  report.set_worker(m_options.worker);
  report.set_boot_id(boot_id());
  report.set_token(m_token);
  *report.mutable_capacity() = backplane::to_proto(m_options.capacity);
  *report.mutable_committed() = backplane::to_proto(committed());
  for (const auto& [key, attempt] : m_attempts) {
    auto* item = report.add_attempts();
    *item = attempt.report;
    const auto used = usage.used.find(key);
    if (used != usage.used.end()) {
      *item->mutable_used() = backplane::to_proto(used->second);
    }
    if (item->state() == proto::platform::ATTEMPT_RUNNING) {
      const auto run = std::chrono::duration_cast<std::chrono::milliseconds>(now - attempt.started);
      item->set_run_ms(static_cast<std::uint64_t>(run.count()));
    }
  }
  for (const auto& service : usage.services) {
    *report.add_services() = service;
  }
  const auto measured =
      std::chrono::duration_cast<std::chrono::milliseconds>(usage.at.time_since_epoch());
  report.set_measured_at_ms(static_cast<std::uint64_t>(measured.count()));
}

}  // namespace arbutusdale::standin
