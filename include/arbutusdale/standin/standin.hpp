// Stand-in for the platform, the worker agents and the targets on loopback ports, with fault
// injection.
//
// Routes of each platform port (one per failure domain, so that a domain can be isolated):
//   those of platform/http_platform.hpp for the log and the VM list
//   POST /fault                 JSON, see `Standin::fault`
//   GET  /observer              counts of the observer as JSON
//   GET  /executions?key=K      number of executions of an Idempotency-Key; or ?request_id=R
//
// Each VM has an agent port and a target port. A target answers every path with the header
// X-Worker and with a body of three lines: path, request id (X-Request-Id) and the request's body.
#pragma once

#include "arbutusdale/core/clock.hpp"
#include "arbutusdale/core/resources.hpp"
#include "arbutusdale/core/verdict.hpp"
#include "arbutusdale/standin/log_model.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace arbutusdale::standin {

/// One VM; its ports follow from its position in the list.
struct VmOptions {
  std::string id;
  std::string domain;
  std::string rack;
  Resources capacity;
};

struct StandinOptions {
  std::vector<std::string> domains{"domain-a"};
  std::uint32_t vms_per_domain = 4;
  std::uint32_t vms_per_rack = 8;
  Resources capacity{16'000, 61'440, 0};
  std::uint32_t accelerator_vms = 0;  // per domain; its first VMs have accelerators
  std::uint32_t accelerators = 1;     // per VM that has any
  std::vector<VmOptions> vms;         // if not empty, replaces the VMs described above

  // With port 0 each listener takes a free port.
  std::uint16_t platform_port = 7100;      // of the first domain; the others follow
  std::uint16_t agent_base_port = 20'000;  // of the first VM; the others follow
  std::uint16_t target_base_port = 30'000;

  std::string service = "service";  // name in the agents' service reports
  Duration service_time = std::chrono::milliseconds{5};
  double service_variation = 0.5;  // exponentially distributed part, 0 to 1
  std::uint32_t slots = 8;         // concurrent requests per target; others queue
  std::uint32_t connections = 64;  // per target
  std::uint32_t target_threads = 2;
  /// Relative growth of the service time per job class at full batch load; 1 doubles it.
  std::map<std::string, double> interference;

  LogModelOptions log;
  Duration list_lag = std::chrono::seconds{2};
  Duration report_lag = std::chrono::seconds{1};
  Duration stop_delay{};
  std::uint64_t seed = 1;
};

class Standin {
 public:
  Standin() = default;
  Standin(const Standin&) = delete;
  Standin& operator=(const Standin&) = delete;
  virtual ~Standin() = default;

  /// Address (host:port) of the platform for a failure domain.
  [[nodiscard]] virtual std::string platform_address(const std::string& domain) const = 0;
  /// VMs as the list shows them after the lag.
  [[nodiscard]] virtual std::vector<proto::platform::Vm> vms() const = 0;
  [[nodiscard]] virtual std::string observer_json() const = 0;

  /// Switches a fault on or off. `request` is a JSON object with the member "fault", which is one
  /// of these names, and the members in braces:
  ///   log_outage {on}, log_refuse_appends {on}, log_lose_answers {value: percent},
  ///   log_delay {value: ms}, log_trim {stream, keep},
  ///   vm_list {mode: none|empty|halved|frozen|outage}, vm_leaving {vm, on}, vm_crash {vm, on},
  ///   agent_lose_answers {vm, on}, agent_unreachable {vm, on}, worker_fails_tasks {vm, on},
  ///   target {vm, mode: none|slow|errors|reset|silent|truncate, value: factor for slow},
  ///   silence_connections {vm}, service_time {value: ms}, interference {class, value},
  ///   platform_cut {domain, on}, clear {}
  /// A "vm" that ends in '*' names all VMs with this prefix. "on" defaults to true.
  virtual Result<void> fault(const std::string& request) = 0;
};

/// Starts all listeners and threads; the destructor stops them.
Result<std::unique_ptr<Standin>> make_standin(StandinOptions options);

}  // namespace arbutusdale::standin
