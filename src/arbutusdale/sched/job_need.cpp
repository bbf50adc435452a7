// Sums the needs of a job's steps.
#include "arbutusdale/sched/job_need.hpp"

#include <algorithm>
#include <cstddef>

namespace arbutusdale::sched {
namespace {

using proto::jobs::StepSpec;

StepNeed need_of_step(const StepSpec& spec) {
  StepNeed need;
  need.label = spec.required_label();
  need.task = {spec.opportunistic() ? 0 : spec.cpu_millis(), spec.memory_mib(),
               spec.accelerators()};
  need.tasks_at_once = spec.gang() || spec.long_running() ? spec.tasks() : 1;
  need.max_per_worker = spec.max_per_worker();
  return need;
}

void add(std::vector<LabelNeed>& needs, const std::string& label, std::uint64_t cpu_millis) {
  const auto found = std::find_if(needs.begin(), needs.end(),
                                  [&label](const LabelNeed& need) { return need.label == label; });
  if (found == needs.end()) {
    needs.push_back({label, cpu_millis});
    return;
  }
  found->cpu_millis += cpu_millis;
}

}  // namespace

std::uint64_t JobNeed::cpu_millis() const {
  std::uint64_t sum = 0;
  for (const LabelNeed& part : first) {
    sum += part.cpu_millis;
  }
  return sum;
}

std::vector<LabelNeed> JobNeed::by_kind() const {
  std::vector<LabelNeed> needs{{"", cpu_millis()}};
  for (const LabelNeed& part : first) {
    if (!part.label.empty()) {
      needs.push_back(part);
    }
  }
  return needs;
}

JobNeed need_of(const proto::jobs::JobSubmitted& job, const std::vector<bool>& is_done) {
  JobNeed need;
  need.service = job.terms().service();
  for (std::size_t i = 0; i < static_cast<std::size_t>(job.spec().steps_size()); ++i) {
    if (i < is_done.size() && is_done[i]) {
      continue;
    }
    const StepSpec& spec = job.spec().steps(static_cast<int>(i));
    need.steps.push_back(need_of_step(spec));
    const bool starts_at_once =
        job.spec().repeat_count() == 0 && spec.after_size() == 0 && !spec.opportunistic();
    if (!starts_at_once) {
      continue;
    }
    add(need.first, spec.required_label(), std::uint64_t{spec.tasks()} * spec.cpu_millis());
    need.lasts = need.lasts || spec.long_running();
  }
  return need;
}

}  // namespace arbutusdale::sched
