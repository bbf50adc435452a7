// Agent of one worker: execution of its attempts over time, lease, usage samples and crashes.
#include "arbutusdale/backplane/backplane.hpp"
#include "arbutusdale/standin/agent_model.hpp"

#include <algorithm>
#include <utility>

namespace arbutusdale::standin {
namespace {

constexpr Duration k_sample_interval = std::chrono::milliseconds{200};
constexpr Duration k_failure_delay = std::chrono::milliseconds{100};
constexpr std::int64_t k_full_speed_percent = 100;

bool is_running(const proto::platform::AttemptReport& report) {
  return report.state() == proto::platform::ATTEMPT_RUNNING;
}

}  // namespace

void AgentModel::advance(TimePoint now) {
  if (!m_up || now < m_advanced_to) {
    return;
  }
  const bool lapses = m_lease_until < now;
  run_until(lapses ? std::max(m_lease_until, m_advanced_to) : now);
  if (lapses) {
    expire_lease();
    run_until(now);
  }
  sample_usage(now);
}

void AgentModel::run_until(TimePoint now) {
  for (auto& [key, attempt] : m_attempts) {
    if (is_running(attempt.report)) {
      run_attempt(key, attempt, now);
    }
  }
  m_advanced_to = now;
}

void AgentModel::run_attempt(const AttemptKey& key, Attempt& attempt, TimePoint now) {
  const TimePoint from = std::max(m_advanced_to, attempt.started);
  const TimePoint until = attempt.stopping ? std::clamp(attempt.stop_at, from, now) : now;
  const auto speed = static_cast<std::int64_t>(attempt.report.throttle_percent());
  const bool fails = attempt.command.fail || m_faults.fail_all_tasks;
  const Duration needed =
      fails ? std::min(attempt.run_time, attempt.resumed + k_failure_delay) : attempt.run_time;
  attempt.progress += (until - from) * speed / k_full_speed_percent;
  if (attempt.progress < needed) {
    if (attempt.stopping && attempt.stop_at <= now) {
      end_stopped(key, attempt, false, until);
    }
    return;
  }
  const Duration excess = attempt.progress - needed;
  const TimePoint end =
      speed > 0 ? std::max(from, until - excess * k_full_speed_percent / speed) : until;
  attempt.progress = needed;
  attempt.report.set_run_ms(static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(end - attempt.started).count()));
  attempt.report.set_state(fails ? proto::platform::ATTEMPT_FAILED
                                 : proto::platform::ATTEMPT_SUCCEEDED);
  if (fails) {
    attempt.report.set_failure("task exited with status 1");
  }
  if (m_observer == nullptr) {
    return;
  }
  if (fails) {
    m_observer->attempt_failed(m_options.worker, key);
  } else {
    m_observer->attempt_succeeded(m_options.worker, key);
  }
}

void AgentModel::end_stopped(const AttemptKey& key, Attempt& attempt, bool lease_expired,
                             TimePoint at) {
  if (attempt.stop_with_checkpoint) {
    take_checkpoint(key, attempt);
  }
  attempt.report.set_state(lease_expired ? proto::platform::ATTEMPT_LEASE_EXPIRED
                                         : proto::platform::ATTEMPT_STOPPED);
  attempt.report.set_run_ms(static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(at - attempt.started).count()));
  if (m_observer != nullptr) {
    m_observer->attempt_stopped(m_options.worker, key, lease_expired);
  }
}

void AgentModel::expire_lease() {
  for (auto& [key, attempt] : m_attempts) {
    if (is_running(attempt.report)) {
      end_stopped(key, attempt, true, m_advanced_to);
    }
  }
}

std::size_t AgentModel::running() const {
  return static_cast<std::size_t>(
      std::count_if(m_attempts.begin(), m_attempts.end(),
                    [](const auto& item) { return is_running(item.second.report); }));
}

Resources AgentModel::committed() const {
  Resources total;
  for (const auto& [key, attempt] : m_attempts) {
    if (is_running(attempt.report)) {
      total = plus(total, backplane::from_proto(attempt.report.committed()));
    }
  }
  return total;
}

Resources AgentModel::real_use(const Attempt& attempt) const {
  Resources used = backplane::from_proto(attempt.report.committed());
  if (attempt.command.cpu_millis > 0) {
    used.cpu_millis = attempt.command.cpu_millis;
  }
  if (attempt.command.memory_mib > 0) {
    used.memory_mib = attempt.command.memory_mib;
  }
  used.cpu_millis = used.cpu_millis * attempt.report.throttle_percent() / k_full_speed_percent;
  return used;
}

std::vector<ClassLoad> AgentModel::loads() const {
  std::map<std::string, double> per_class;
  const double processors = std::max(1.0, static_cast<double>(m_options.capacity.cpu_millis));
  for (const auto& [key, attempt] : m_attempts) {
    if (is_running(attempt.report)) {
      per_class[attempt.command.job_class] +=
          static_cast<double>(real_use(attempt).cpu_millis) / processors;
    }
  }
  std::vector<ClassLoad> loads;
  loads.reserve(per_class.size());
  for (const auto& [name, load] : per_class) {
    loads.push_back({name, std::min(load, 1.0)});
  }
  return loads;
}

void AgentModel::measure_service(const proto::platform::ServiceReport& report, TimePoint now) {
  const auto known = std::find_if(m_services.begin(), m_services.end(), [&](const auto& item) {
    return item.service() == report.service();
  });
  if (known == m_services.end()) {
    m_services.push_back(report);
  } else {
    *known = report;
  }
  advance(now);
}

void AgentModel::sample_usage(TimePoint now) {
  if (!m_usage.empty() && now - m_usage.back().at < k_sample_interval) {
    return;
  }
  Usage usage;
  usage.at = now;
  usage.services = m_services;
  for (const auto& [key, attempt] : m_attempts) {
    if (is_running(attempt.report)) {
      usage.used.emplace(key, real_use(attempt));
    }
  }
  m_usage.push_back(std::move(usage));
  while (m_usage.size() > 1 && m_usage[1].at + m_options.report_lag <= now) {
    m_usage.pop_front();
  }
}

const AgentModel::Usage& AgentModel::visible_usage(TimePoint now) const {
  static const Usage k_none;
  const Usage* visible = &k_none;
  for (const Usage& usage : m_usage) {
    if (usage.at + m_options.report_lag <= now) {
      visible = &usage;
    }
  }
  return *visible;
}

void AgentModel::crash(TimePoint now) {
  advance(now);
  m_up = false;
  m_attempts.clear();
  m_tombstones.clear();
  m_tombstone_order.clear();
  m_usage.clear();
  m_services.clear();
  if (m_observer != nullptr) {
    m_observer->vm_crashed(m_options.worker);
  }
}

void AgentModel::boot(TimePoint now) {
  if (m_up) {
    return;
  }
  m_up = true;
  m_leaving = false;
  ++m_boots;
  m_advanced_to = now;
  m_lease_until = {};
  if (!m_options.token_survives_boot) {
    m_token = 0;
  }
}

}  // namespace arbutusdale::standin
