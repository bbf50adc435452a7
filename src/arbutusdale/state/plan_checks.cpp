// Feasibility checks of jobs and reservations against the listed VMs.
#include "plan_checks.hpp"

#include "arbutusdale/backplane/backplane.hpp"

#include <algorithm>
#include <set>
#include <tuple>

#include "objects.hpp"
#include <fmt/format.h>

namespace arbutusdale::state {
namespace {

constexpr double k_millis_per_cpu = 1'000;
constexpr double k_mib_per_gib = 1'024;

bool serves(const proto::state::ServiceDecl& service, const VmInfo& vm) {
  const auto& domains = service.domains();
  return vm.id.starts_with(service.vm_prefix()) &&
         (domains.empty() || std::find(domains.begin(), domains.end(), vm.domain) != domains.end());
}

Resources reserved_on(const VmInfo& vm, const proto::state::Declaration& declaration) {
  Resources reserved;
  for (const auto& service : declaration.services()) {
    if (serves(service, vm)) {
      reserved = plus(reserved, backplane::from_proto(service.reserve()));
    }
  }
  return reserved;
}

/// Failure domains that the job may use; those of weight 0 only if all of them have weight 0.
std::vector<std::string> usable_domains(const proto::state::JobDecl& job,
                                        const proto::state::Declaration& declaration) {
  std::vector<std::string> weighted;
  std::vector<std::string> all;
  for (const auto& domain : declaration.domains()) {
    const auto& named = job.domains();
    if (!named.empty() && std::find(named.begin(), named.end(), domain.name()) == named.end()) {
      continue;
    }
    all.push_back(domain.name());
    if (domain.weight() > 0) {
      weighted.push_back(domain.name());
    }
  }
  return weighted.empty() ? all : weighted;
}

bool offers_more(const Resources& a, const Resources& b) {
  return std::tie(a.accelerators, a.cpu_millis, a.memory_mib) >
         std::tie(b.accelerators, b.cpu_millis, b.memory_mib);
}

}  // namespace

std::string describe_amount(const Resources& amount) {
  return fmt::format("{:g} cpu, {:g} GiB memory, {} accelerators",
                     static_cast<double>(amount.cpu_millis) / k_millis_per_cpu,
                     static_cast<double>(amount.memory_mib) / k_mib_per_gib, amount.accelerators);
}

std::vector<std::string> domains_of(const proto::state::ServiceDecl& service,
                                    const proto::state::Declaration& declaration) {
  std::vector<std::string> result;
  for (const auto& domain : declaration.domains()) {
    const auto& named = service.domains();
    if (named.empty() || std::find(named.begin(), named.end(), domain.name()) != named.end()) {
      result.push_back(domain.name());
    }
  }
  return result;
}

Result<void> check_reservation(const proto::state::ServiceDecl& service,
                               const proto::state::Declaration& declaration,
                               const std::vector<VmInfo>& vms) {
  for (const VmInfo& vm : vms) {
    if (!serves(service, vm)) {
      continue;
    }
    const Resources reserved = reserved_on(vm, declaration);
    if (!fits(reserved, vm.capacity)) {
      return not_run(
          ErrorCode::invalid_argument,
          fmt::format("service '{}' reserves {}; with the other services on VM '{}' that makes {}, "
                      "but the VM has {}",
                      service.name(), describe_amount(backplane::from_proto(service.reserve())),
                      vm.id, describe_amount(reserved), describe_amount(vm.capacity)));
    }
  }
  return {};
}

Result<std::vector<std::string>> fitting_domains(const proto::state::JobDecl& job,
                                                 const proto::state::Declaration& declaration,
                                                 const std::vector<VmInfo>& vms) {
  const auto usable = usable_domains(job, declaration);
  const std::set<std::string> drained{declaration.drains().begin(), declaration.drains().end()};
  const Resources need = backplane::from_proto(job.resources());
  std::set<std::string> fitting;
  const VmInfo* largest = nullptr;
  Resources largest_free;
  for (const VmInfo& vm : vms) {
    const bool is_usable = std::find(usable.begin(), usable.end(), vm.domain) != usable.end();
    if (vm.leaving || drained.contains(vm.id) || !is_usable) {
      continue;
    }
    const Resources free = minus(vm.capacity, reserved_on(vm, declaration));
    if (fits(need, free)) {
      fitting.insert(vm.domain);
    }
    if (largest == nullptr || offers_more(free, largest_free)) {
      largest = &vm;
      largest_free = free;
    }
  }
  if (largest == nullptr) {
    return not_run(ErrorCode::invalid_argument,
                   fmt::format("job '{}' has no VM to run on: no VM that stays is listed in the "
                               "failure domains it may use",
                               job.name()));
  }
  if (fitting.empty()) {
    return not_run(
        ErrorCode::invalid_argument,
        fmt::format("job '{}' needs {} per task and fits no VM; the largest, '{}', "
                    "offers {} beside the services' reservations",
                    job.name(), describe_amount(need), largest->id, describe_amount(largest_free)));
  }
  std::vector<std::string> result;
  std::copy_if(usable.begin(), usable.end(), std::back_inserter(result),
               [&fitting](const std::string& domain) { return fitting.contains(domain); });
  return result;
}

}  // namespace arbutusdale::state
