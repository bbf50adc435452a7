// State of the stand-in.
#include "world.hpp"

#include <utility>

namespace arbutusdale::standin {

World::World(StandinOptions settings)
    : options(std::move(settings)),
      clock(make_system_clock()),
      log(options.log),
      list(options.list_lag, &observer),
      interference(options.interference) {
  shared.service_time_us = options.service_time.count();
  shared.variation = options.service_variation;
  shared.slots = options.slots;
}

std::vector<VmNode*> World::matching(const std::string& pattern) {
  std::vector<VmNode*> nodes;
  const bool prefix = !pattern.empty() && pattern.back() == '*';
  for (const auto& node : vms) {
    const std::string& id = node->vm.id();
    if (prefix ? id.starts_with(pattern.substr(0, pattern.size() - 1)) : id == pattern) {
      nodes.push_back(node.get());
    }
  }
  return nodes;
}

VmNode* World::find(const std::string& id) {
  for (const auto& node : vms) {
    if (node->vm.id() == id) {
      return node.get();
    }
  }
  return nullptr;
}

std::uint64_t World::executed(const std::string& worker, const std::string& key,
                              const std::string& request_id) {
  const std::lock_guard lock(mutex);
  observer.request_executed(worker, key, request_id, now());
  return key.empty() ? observer.executions_of_request(request_id) : observer.executions_of_key(key);
}

void World::tick(bool measure) {
  const std::lock_guard lock(mutex);
  const TimePoint time = now();
  list.advance(time);
  for (const auto& node : vms) {
    node->agent->advance(time);
    double factor = 1;
    for (const ClassLoad& load : node->agent->loads()) {
      const auto found = interference.find(load.job_class);
      factor += found == interference.end() ? 0 : found->second * load.load;
    }
    node->target->controls.interference = factor;
    if (!measure || !node->agent->is_up()) {
      continue;
    }
    const TargetFigures figures = node->target->take_figures();
    proto::platform::ServiceReport report;
    report.set_service(options.service);
    report.set_p99_ms(figures.p99_ms);
    report.set_load(figures.load);
    node->agent->measure_service(report, time);
  }
}

}  // namespace arbutusdale::standin
