// Task states of a shard's jobs.
#include "arbutusdale/batch/job_table.hpp"

#include "arbutusdale/core/hash.hpp"

#include <algorithm>

namespace arbutusdale::batch {
namespace {

std::uint64_t hash_of(const state::TaskSet& tasks) {
  std::uint64_t result = 1;
  for (const state::TaskSpan& span : tasks.spans()) {
    const std::string text = std::to_string(span.first) + "-" + std::to_string(span.last);
    result = stable_hash(text, result);
  }
  return result;
}

void erase_all(state::TaskSet& from, const state::TaskSet& tasks) {
  for (const state::TaskSpan& span : tasks.spans()) {
    from.erase(span);
  }
}

void set_unstarted(Job& job, const state::TaskSet& tasks) {
  job.unstarted = tasks.spans();
  std::reverse(job.unstarted.begin(), job.unstarted.end());
  job.unstarted_count = tasks.size();
}

}  // namespace

std::optional<JobId> JobTable::find(const std::string& name) const {
  const auto found = m_ids.find(name);
  return found == m_ids.end() ? std::nullopt : std::optional<JobId>{found->second};
}

JobId JobTable::intern(const std::string& name) {
  const auto [found, added] = m_ids.try_emplace(name, static_cast<JobId>(m_jobs.size()));
  if (added) {
    m_jobs.push_back(std::make_unique<Job>());
    m_jobs.back()->name = name;
    m_jobs.back()->decl.set_name(name);
    m_jobs.back()->job_class = class_of(name);
  }
  return found->second;
}

void JobTable::drop(JobId id) {
  m_ids.erase(m_jobs.at(id)->name);
  m_jobs[id].reset();
}

ClassId JobTable::class_of(const std::string& name) {
  return m_classes.try_emplace(name, static_cast<ClassId>(m_classes.size())).first->second;
}

std::optional<JobId> JobTable::declare(const proto::state::JobDecl& decl) {
  const state::TaskSet assigned =
      state::assigned_tasks(m_global.declaration(), decl, m_domain, m_domain_name, m_shard);
  if (assigned.empty() && !find(decl.name())) {
    return std::nullopt;
  }
  const JobId id = intern(decl.name());
  Job& entry = job(id);
  entry.decl = decl;
  entry.declared = true;
  entry.job_class = class_of(decl.job_class().empty() ? decl.name() : decl.job_class());
  entry.declared_size = backplane::from_proto(decl.resources());
  const std::uint64_t hash = hash_of(assigned);
  if (hash != entry.assigned_hash) {
    entry.assigned_hash = hash;
    assign(entry, assigned);
  }
  return id;
}

void JobTable::assign(Job& job, const state::TaskSet& assigned) {
  state::TaskSet unstarted = assigned;
  job.waiting.clear();
  if (const state::JobRecord* record = m_domain.job(job.name)) {
    erase_all(unstarted, record->succeeded);
    erase_all(unstarted, record->failed);
    for (const auto& [task, entry] : record->task_entries) {
      if (!unstarted.contains(task)) {
        continue;
      }
      unstarted.erase({task, task});
      if (!job.live.contains(task)) {
        job.waiting.emplace(task, next_attempt(job.name, task));
      }
    }
  }
  for (const auto& [task, ref] : job.live) {
    unstarted.erase({task, task});
  }
  set_unstarted(job, unstarted);
}

std::optional<TakenTask> JobTable::take(Job& job) {
  if (!job.waiting.empty()) {
    const auto first = job.waiting.begin();
    TakenTask taken{first->first, std::move(first->second)};
    job.waiting.erase(first);
    return taken;
  }
  if (job.unstarted.empty()) {
    return std::nullopt;
  }
  state::TaskSpan& span = job.unstarted.back();
  TakenTask taken{span.first, {}};
  --job.unstarted_count;
  if (span.first == span.last) {
    job.unstarted.pop_back();
  } else {
    ++span.first;
  }
  return taken;
}

void JobTable::put_back(Job& job, std::uint32_t task, NextAttempt next) {
  job.waiting.insert_or_assign(task, std::move(next));
}

void JobTable::remove_pending(Job& job, std::uint32_t task) {
  job.waiting.erase(task);
  const auto holds = [task](const state::TaskSpan& span) {
    return span.first <= task && task <= span.last;
  };
  if (std::none_of(job.unstarted.begin(), job.unstarted.end(), holds)) {
    return;
  }
  state::TaskSet rest;
  for (const state::TaskSpan& span : job.unstarted) {
    rest.insert(span);
  }
  rest.erase({task, task});
  set_unstarted(job, rest);
}

void JobTable::clear_pending(Job& job) {
  job.unstarted.clear();
  job.unstarted_count = 0;
  job.waiting.clear();
}

NextAttempt JobTable::next_attempt(const std::string& job, std::uint32_t task) const {
  NextAttempt result;
  const state::JobRecord* record = m_domain.job(job);
  if (record == nullptr) {
    return result;
  }
  const auto found = record->task_entries.find(task);
  if (found == record->task_entries.end()) {
    return result;
  }
  const proto::state::TaskEntry& entry = found->second;
  result.attempt = std::max(1U, entry.next_attempt());
  result.failed_tries = entry.failed_tries();
  result.checkpoint = entry.checkpoint();
  result.failed_workers.assign(entry.failed_workers().begin(), entry.failed_workers().end());
  return result;
}

bool JobTable::is_finished(const std::string& job, std::uint32_t task) const {
  const state::JobRecord* record = m_domain.job(job);
  return record != nullptr && (record->succeeded.contains(task) || record->failed.contains(task));
}

bool JobTable::is_recorded(const std::string& job, std::uint32_t task,
                           std::uint32_t attempt) const {
  return is_finished(job, task) || next_attempt(job, task).attempt > attempt;
}

}  // namespace arbutusdale::batch
