// Configuration written by the operators: job queues and the services whose workers run the jobs.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace arbutusdale::jobs {

/// Cost of a call to the advice service, which decides which workers may run a step.
struct AdviceSettings {
  double decision_ms = 0;
  double per_worker_ms = 0;
  double valid_ms = 0;
};

/// A queue of jobs. Requests select it by their host and the longest matching path prefix.
struct Queue {
  std::string name;
  std::string host;
  std::string path_prefix;
  std::string service;  // its workers run the queue's tasks
  std::uint32_t priority = 0;
  std::uint32_t max_attempts = 0;
  double stretch = 1;
  std::uint32_t latency_target_ms = 0;
  std::uint32_t timeout_ms = 0;
  std::optional<AdviceSettings> advice;
};

struct Service {
  std::string name;
  bool enforces_capacity = true;  // its workers refuse tasks that do not fit
  bool standby = false;           // its machines are switched off
};

struct Configuration {
  std::uint64_t version = 0;
  std::vector<Queue> queues;
  std::vector<Service> services;
};

/// The configuration in force. Its version never decreases.
class ConfigurationView {
 public:
  /// Ignores the configuration and returns false unless its version is higher than the current one.
  bool apply(Configuration configuration);

  [[nodiscard]] std::uint64_t version() const { return m_configuration.version; }
  [[nodiscard]] bool is_loaded() const { return m_configuration.version > 0; }
  /// Queue of this host whose prefix is the longest that matches `path`; null without one. A port
  /// in `host` is ignored.
  [[nodiscard]] const Queue* find_queue(std::string_view host, std::string_view path) const;
  [[nodiscard]] const Service* find_service(std::string_view name) const;

 private:
  Configuration m_configuration;
  // By host, longest prefix first. Indices into m_configuration.queues.
  std::map<std::string, std::vector<std::size_t>, std::less<>> m_by_host;
};

}  // namespace arbutusdale::jobs
