// The cases: what is sent, what is disturbed, and the check of the rule.
#pragma once

#include "arbutusdale/core/hash.hpp"

#include "deployment.hpp"

namespace review {

inline constexpr int k_held = 0;
inline constexpr int k_broken = 1;
inline constexpr int k_could_not_run = 2;

inline json one_step(json step) {
  return {{"Spec", "work"}, {"Steps", json::array({std::move(step)})}};
}

inline void add_machines(Deployment& deployment, int count, int per_rack) {
  for (int i = 0; i < count; ++i) {
    Machine machine;
    machine.name = fmt::format("m-{:02}", i);
    machine.rack = fmt::format("r1-{}", i / per_rack + 1);
    deployment.fleet.add(machine);
  }
}

/// A task that lasts loses its worker to a crash several times.
inline int play_crashes(Deployment& deployment, bool trouble) {
  constexpr int k_workers = 8;
  constexpr int k_crashes = 6;
  constexpr Millis k_between_ms = 3'000;
  constexpr Millis k_down_ms = 2'000;
  add_machines(deployment, k_workers, k_workers);
  if (!deployment.start()) {
    return k_could_not_run;
  }
  const Queue& queue = deployment.queues[2];
  const std::string id = Deployment::job_id(1);
  const json body = one_step({{"Count", 1},
                              {"Cpu", 13'000},
                              {"MemMb", 26'000},
                              {"EstimatedMs", 1'000},
                              {"LongRunning", true}});
  if (!deployment.submit(queue, id, body)) {
    return k_could_not_run;
  }
  const std::string task = id + ".0.0.0";
  for (int i = 0; i < k_crashes; ++i) {
    // Waits until the task is at work, and for a while more.
    std::string machine;
    for (int tries = 0; tries < 150 && machine.empty(); ++tries) {
      sleep_ms(100);
      machine = deployment.fleet.machine_of(task);
    }
    if (machine.empty()) {
      break;
    }
    sleep_ms(k_between_ms);
    if (!trouble) {
      continue;
    }
    machine = deployment.fleet.machine_of(task);
    deployment.fleet.crash(machine);
    sleep_ms(k_down_ms);
    deployment.fleet.restart(machine, false);
  }
  sleep_ms(5'000);
  bool shown_failed = false;
  for (int i = 0; i < deployment.daemons; ++i) {
    shown_failed = deployment.state(queue, id, i) == "failed" || shown_failed;
  }
  int failed_ends = 0;
  for (const auto& [run, how] : deployment.fleet.ends_of_job(id)) {
    failed_ends += how == "failed" ? 1 : 0;
  }
  deployment.record.write("the job is {}shown as failed; {} of its runs ended failed",
                          shown_failed ? "" : "not ", failed_ends);
  return shown_failed && failed_ends == 0 ? k_broken : k_held;
}

/// Counts the starts after an end as done of the same task that had been taken note of.
inline int starts_after_success(Deployment& deployment) {
  int again = 0;
  for (const NotedEnd& end : deployment.fleet.noted_ends()) {
    for (const Start& start : deployment.fleet.starts()) {
      if (end.how == "done" && start.task == end.task && start.at > end.at) {
        ++again;
        deployment.record.write(
            "run {} of {} started on {} (born {}) {} ms after a run that ended "
            "done had been taken note of",
            start.run, start.task, start.worker, start.born, start.at - end.at);
      }
    }
  }
  deployment.record.write("{} starts after a success", again);
  return again;
}

/// A start gets no answer, its repeat does, and the task is done. The worker crashes, and its next
/// life has the same id when the first order is carried out late.
inline int play_late_start(Deployment& deployment, bool trouble) {
  constexpr int k_workers = 8;
  constexpr unsigned k_tasks = 24;
  constexpr Millis k_late_ms = 3'500;
  constexpr Millis k_until_crash_ms = 1'800;
  constexpr Millis k_down_ms = 1'400;
  add_machines(deployment, k_workers, k_workers);
  deployment.fleet.plan = [](const TaskName&, const Machine&) { return Plan{500, false}; };
  std::mutex mutex;
  std::string machine;
  std::string late_task;
  deployment.fleet.late_by = [&](const TaskName& task, unsigned run, const Machine& chosen) {
    const std::lock_guard lock(mutex);
    if (!trouble || !machine.empty() || task.index != 7 || run != 1) {
      return Millis{0};
    }
    machine = chosen.name;
    late_task = fmt::format("{}.{}.{}.{}", task.job, task.occurrence, task.step, task.index);
    return k_late_ms;
  };
  if (!deployment.start()) {
    return k_could_not_run;
  }
  const Queue& queue = deployment.queues[1];
  const std::string id = Deployment::job_id(1);
  const json body =
      one_step({{"Count", k_tasks}, {"Cpu", 7'000}, {"MemMb", 13'000}, {"EstimatedMs", 500}});
  if (!deployment.submit(queue, id, body)) {
    return k_could_not_run;
  }
  sleep_ms(k_until_crash_ms);
  deployment.record.write("the job is shown as {}", deployment.state(queue, id, 0));
  if (trouble) {
    if (machine.empty()) {
      return k_could_not_run;
    }
    deployment.fleet.crash(machine);
    sleep_ms(k_down_ms);
    deployment.fleet.restart(machine, true);
  }
  sleep_ms(8'000);
  return starts_after_success(deployment) > 0 ? k_broken : k_held;
}

/// The worker of one member of a gang crashes; the gang starts again from a checkpoint.
inline int play_gang_checkpoint(Deployment& deployment, bool trouble) {
  constexpr int k_workers = 16;
  constexpr unsigned k_members = 8;
  constexpr int k_rounds = 5;
  constexpr Millis k_down_ms = 1'000;
  add_machines(deployment, k_workers, 8);
  deployment.fleet.plan = [](const TaskName&, const Machine&) { return Plan{4'000, false}; };
  if (!deployment.start()) {
    return k_could_not_run;
  }
  const Queue& queue = deployment.queues[1];
  const json body = one_step({{"Count", k_members},
                              {"Cpu", 7'000},
                              {"MemMb", 13'000},
                              {"EstimatedMs", 4'000},
                              {"Gang", true},
                              {"AntiAffinity", 1},
                              {"Checkpointing", true}});
  for (unsigned i = 1; i <= k_rounds; ++i) {
    const std::string id = Deployment::job_id(i);
    if (!deployment.submit(queue, id, body)) {
      return k_could_not_run;
    }
    sleep_ms(2'100 + 130 * static_cast<Millis>(i));
    const std::string machine = deployment.fleet.machine_of(id + ".0.0.3");
    if (trouble && !machine.empty()) {
      deployment.fleet.crash(machine);
      sleep_ms(k_down_ms);
      deployment.fleet.restart(machine, false);
    }
    for (int tries = 0; tries < 40 && deployment.state(queue, id, 0) != "completed"; ++tries) {
      sleep_ms(400);
    }
  }
  // By job and run: the checkpoints that its starts carried.
  std::map<std::string, std::set<std::string>> carried;
  for (const Start& start : deployment.fleet.starts()) {
    carried[start.task.substr(0, 16) + " run " + std::to_string(start.run)].insert(
        start.checkpoint);
  }
  int mixed = 0;
  for (const auto& [gang, values] : carried) {
    if (values.size() > 1) {
      ++mixed;
      deployment.record.write("the members of {} were started with {} different checkpoints", gang,
                              values.size());
    }
  }
  deployment.record.write("{} of {} gang runs carried different checkpoints", mixed,
                          carried.size());
  return carried.empty() ? k_could_not_run : mixed > 0 ? k_broken : k_held;
}

/// Watches a task that lasts: true if for 3 s it has no run and had none for 6 s before, while the
/// 4 s before the 3 s were calm.
inline bool is_lasting_task_lost(Deployment& deployment, const std::string& task, Millis calm_since,
                                 Millis until) {
  constexpr Millis k_after_run_ms = 6'000;
  constexpr Millis k_calm_ms = 4'000;
  constexpr Millis k_lost_ms = 3'000;
  Millis last_run = deployment.clock.now();
  while (deployment.clock.now() < until) {
    const Millis now = deployment.clock.now();
    if (!deployment.fleet.machine_of(task).empty()) {
      last_run = now;
    }
    const Millis begin = std::max(last_run + k_after_run_ms, calm_since + k_calm_ms);
    if (now >= begin + k_lost_ms) {
      const auto [used, all] = deployment.fleet.use();
      deployment.record.write("task {} has had no run for {} ms; in use: {} of {}", task,
                              now - last_run, used, all);
      return used * 2 < all;
    }
    sleep_ms(20);
  }
  return false;
}

/// The rack where the data of a task that lasts is located is lost for good.
inline int play_lost_rack(Deployment& deployment, bool trouble) {
  constexpr int k_workers = 16;
  add_machines(deployment, k_workers, 2);
  if (!deployment.start()) {
    return k_could_not_run;
  }
  const Queue& queue = deployment.queues[2];
  const std::string id = Deployment::job_id(1);
  const std::string task = id + ".0.0.0";
  const json body = one_step({{"Count", 1},
                              {"Cpu", 13'000},
                              {"MemMb", 26'000},
                              {"EstimatedMs", 20'000},
                              {"LongRunning", true},
                              {"Affinity", "r1-1"}});
  if (!deployment.submit(queue, id, body)) {
    return k_could_not_run;
  }
  sleep_ms(3'000);
  if (deployment.fleet.machine_of(task).empty()) {
    return k_could_not_run;
  }
  if (trouble) {
    deployment.fleet.crash("m-00");
    deployment.fleet.crash("m-01");
  }
  const Millis now = deployment.clock.now();
  return is_lasting_task_lost(deployment, task, now, now + 30'000) ? k_broken : k_held;
}

/// In a fleet of two shards, the workers of a kind that are in one shard are lost for good.
inline int play_lost_kind(Deployment& deployment, bool trouble) {
  constexpr int k_workers = 96;
  constexpr int k_of_kind_by_shard = 2;
  constexpr unsigned k_jobs = 30;
  constexpr unsigned k_jobs_before = 10;
  constexpr Millis k_gap_ms = 500;
  constexpr Millis k_finish_ms = 14'000;
  deployment.cpu_share = 0.12;  // two shards for 96 workers
  int of_kind[2] = {0, 0};
  std::vector<std::string> lost;
  for (int i = 0; i < k_workers; ++i) {
    Machine machine;
    machine.name = fmt::format("m-{:02}", i);
    machine.rack = fmt::format("r1-{}", i / 8 + 1);
    const auto shard = arbutusdale::stable_hash(deployment.fleet.next_id()) % 2;
    if (of_kind[shard] < k_of_kind_by_shard) {
      ++of_kind[shard];
      machine.kind = "b";
      if (shard == 0) {
        lost.push_back(machine.name);
      }
    }
    deployment.fleet.add(machine);
  }
  deployment.fleet.plan = [](const TaskName&, const Machine&) { return Plan{800, false}; };
  if (!deployment.start()) {
    return k_could_not_run;
  }
  const Queue& queue = deployment.queues[1];
  const json body = one_step({{"Count", 2},
                              {"Cpu", 7'000},
                              {"MemMb", 13'000},
                              {"EstimatedMs", 800},
                              {"Requirements", "b"}});
  std::vector<std::string> accepted;
  for (unsigned i = 1; i <= k_jobs; ++i) {
    if (trouble && i == k_jobs_before) {
      for (const std::string& machine : lost) {
        deployment.fleet.crash(machine);
      }
    }
    const std::string id = Deployment::job_id(i);
    if (deployment.submit(queue, id, body)) {
      accepted.push_back(id);
    }
    sleep_ms(k_gap_ms);
  }
  deployment.record.write("the traffic ends");
  sleep_ms(k_finish_ms);
  std::map<std::string, int> idle_looks;
  constexpr int k_looks = 13;
  bool had_capacity = true;
  for (int look = 0; look < k_looks; ++look) {
    const auto [used, all] = deployment.fleet.use();
    had_capacity = had_capacity && used * 2 < all;
    for (const std::string& id : accepted) {
      idle_looks[id] += deployment.fleet.has_runs(id) ? 0 : 1;
    }
    sleep_ms(250);
  }
  int stuck = 0;
  for (const std::string& id : accepted) {
    const std::string state = deployment.state(queue, id, 0);
    const bool waits = state == "queued" || state == "in_progress";
    stuck += waits && had_capacity && idle_looks[id] == k_looks ? 1 : 0;
  }
  deployment.record.write(
      "{} of {} accepted jobs have nothing running for 3 s while the workers of "
      "the other shard are idle",
      stuck, accepted.size());
  return accepted.empty() ? k_could_not_run : stuck > 0 ? k_broken : k_held;
}

/// The open connections to the store go silent, and right after it a route is removed.
inline int play_silent(Deployment& deployment, bool trouble) {
  constexpr int k_rounds = 4;
  constexpr Millis k_pause_ms = 2'500;  // without jobs, before the silence
  constexpr Millis k_until_change_ms = 300;
  constexpr Millis k_contact_ms = 3'000;
  constexpr Millis k_apply_ms = 2'000;
  constexpr Millis k_slack_ms = 100;
  constexpr Millis k_watch_ms = 8'000;
  constexpr Millis k_between_rounds_ms = 7'000;
  constexpr unsigned k_late_jobs = 100'000;
  deployment.daemons = 9;
  add_machines(deployment, 8, 8);
  if (!deployment.start()) {
    return k_could_not_run;
  }
  const Queue removed = deployment.queues[2];
  const json body =
      one_step({{"Count", 2}, {"Cpu", 4'600}, {"MemMb", 9'200}, {"EstimatedMs", 500}});
  std::atomic<bool> stopping = false;
  std::atomic<bool> pausing = false;
  std::thread traffic([&] {
    for (unsigned i = 1; !stopping; ++i) {
      if (!pausing) {
        deployment.submit(deployment.queues[0], Deployment::job_id(i), body);
      }
      sleep_ms(100);
    }
  });
  sleep_ms(3'000);
  int counts = 0;
  int accepted = 0;
  unsigned late_jobs = 0;
  for (int i = 0; i < k_rounds; ++i) {
    pausing = true;
    sleep_ms(k_pause_ms);
    const Millis silent_at = deployment.clock.now();
    if (trouble) {
      deployment.record.write("all open connections to the store go silent");
      deployment.store.silence_connections();
    }
    sleep_ms(k_until_change_ms);
    deployment.queues.pop_back();
    deployment.write_configuration();
    const Millis acknowledged_at = deployment.clock.now();
    deployment.record.write("the route {} is removed", removed.prefix);
    // From then on all daemons are in touch and the change has to be in force.
    const Millis bound =
        std::max(silent_at + k_contact_ms, acknowledged_at + k_apply_ms) + k_slack_ms;
    const auto note = [&](int daemon, const char* what, Millis sent) {
      deployment.record.write(
          "daemon {} has {} for the removed route, sent {} ms after the "
          "acknowledgement and {} ms after the silence",
          daemon, what, sent - acknowledged_at, sent - silent_at);
    };
    while (deployment.clock.now() < silent_at + k_watch_ms) {
      for (int daemon = 0; daemon < deployment.daemons; ++daemon) {
        Millis sent = deployment.clock.now();
        if (deployment.call_daemon(daemon, "GET", removed, "", "") == 200 && sent > bound) {
          ++counts;
          note(daemon, "answered a count", sent);
        }
        sent = deployment.clock.now();
        if (sent <= bound) {
          continue;
        }
        const std::string id = Deployment::job_id(k_late_jobs + ++late_jobs);
        deployment.jobs.add(id, body);
        if (deployment.call_daemon(daemon, "POST", removed, id, body.dump()) == 200) {
          ++accepted;
          note(daemon, "accepted a job", sent);
        }
      }
      sleep_ms(200);
    }
    deployment.queues.push_back(removed);
    deployment.write_configuration();
    deployment.record.write("the route {} is added again", removed.prefix);
    pausing = false;
    sleep_ms(k_between_rounds_ms);
  }
  stopping = true;
  traffic.join();
  deployment.record.write("{} counts were answered and {} jobs accepted for a removed route",
                          counts, accepted);
  return counts + accepted > 0 ? k_broken : k_held;
}

/// The only worker of a kind crashes once, and starts again under the id that it had.
inline int play_same_id(Deployment& deployment, bool trouble) {
  constexpr int k_workers = 8;
  constexpr Millis k_down_ms = 2'000;
  for (int i = 0; i < k_workers; ++i) {
    Machine machine;
    machine.name = fmt::format("m-{:02}", i);
    machine.rack = "r1-1";
    machine.kind = i == 0 ? "b" : "a";
    deployment.fleet.add(machine);
  }
  if (!deployment.start()) {
    return k_could_not_run;
  }
  const Queue& queue = deployment.queues[2];
  const std::string id = Deployment::job_id(1);
  const std::string task = id + ".0.0.0";
  const json body = one_step({{"Count", 1},
                              {"Cpu", 13'000},
                              {"MemMb", 26'000},
                              {"EstimatedMs", 1'000},
                              {"LongRunning", true},
                              {"Requirements", "b"}});
  if (!deployment.submit(queue, id, body)) {
    return k_could_not_run;
  }
  sleep_ms(3'000);
  if (deployment.fleet.machine_of(task).empty()) {
    return k_could_not_run;
  }
  if (trouble) {
    deployment.fleet.crash("m-00");
    sleep_ms(k_down_ms);
    deployment.fleet.restart("m-00", true);
  }
  const Millis now = deployment.clock.now();
  return is_lasting_task_lost(deployment, task, now, now + 30'000) ? k_broken : k_held;
}

/// Two members of a gang fail in the same run.
inline int play_gang(Deployment& deployment, bool trouble) {
  constexpr int k_workers = 24;
  constexpr unsigned k_members = 24;
  constexpr Millis k_grey_ms = 5'000;
  add_machines(deployment, k_workers, 8);
  std::atomic<Millis> grey_until = 0;
  deployment.fleet.plan = [&](const TaskName&, const Machine& machine) {
    const bool is_grey = machine.name == "m-03" || machine.name == "m-17";
    if (is_grey && deployment.clock.now() < grey_until) {
      return Plan{50, true};
    }
    return Plan{1'500, false};
  };
  if (!deployment.start()) {
    return k_could_not_run;
  }
  grey_until = trouble ? deployment.clock.now() + k_grey_ms : 0;
  const Queue& queue = deployment.queues[1];
  const std::string id = Deployment::job_id(1);
  const json body = one_step({{"Count", k_members},
                              {"Cpu", 4'000},
                              {"MemMb", 8'000},
                              {"EstimatedMs", 1'500},
                              {"Gang", true},
                              {"AntiAffinity", 1}});
  if (!deployment.submit(queue, id, body)) {
    return k_could_not_run;
  }
  std::string state;
  for (int i = 0; i < 60; ++i) {
    sleep_ms(500);
    state = deployment.state(queue, id, i % deployment.daemons);
    if (state == "failed" || state == "completed") {
      break;
    }
  }
  std::set<unsigned> failed_runs;
  std::set<unsigned> runs;
  for (const auto& [run, how] : deployment.fleet.ends_of_job(id)) {
    runs.insert(run);
    if (how == "failed") {
      failed_runs.insert(run);
    }
  }
  deployment.record.write(
      "the job is shown as {}; the gang ran {} times and failed {} times; "
      "MaxAttempts is {}",
      state, runs.size(), failed_runs.size(), queue.max_attempts);
  if (state.empty() || state == "queued") {
    return k_could_not_run;
  }
  return state == "failed" && failed_runs.size() < queue.max_attempts ? k_broken : k_held;
}

/// A small share of the jobs can never be done: no worker has the label that they require.
inline int play_impossible(Deployment& deployment, bool trouble) {
  constexpr int k_workers = 8;
  constexpr unsigned k_jobs = 660;
  constexpr unsigned k_one_in = 34;  // 2.9%
  constexpr Millis k_gap_ms = 80;
  constexpr Millis k_finish_ms = 14'000;
  add_machines(deployment, k_workers, k_workers);
  deployment.fleet.plan = [](const TaskName&, const Machine&) { return Plan{200, false}; };
  if (!deployment.start()) {
    return k_could_not_run;
  }
  const Queue& checks = deployment.queues[0];
  const Queue& plans = deployment.queues[1];
  const json sound =
      one_step({{"Count", 1}, {"Cpu", 1'100}, {"MemMb", 2'200}, {"EstimatedMs", 200}});
  json step{{"Count", 1},
            {"Cpu", 1'100},
            {"MemMb", 2'200},
            {"EstimatedMs", 200},
            {"Requirements", "no-such-kind"}};
  const json impossible{{"Spec", "work"}, {"Steps", json::array({step, step, step, step})}};
  const json plan =
      one_step({{"Count", 8}, {"Cpu", 1'800}, {"MemMb", 3'200}, {"EstimatedMs", 200}});
  unsigned never_done = 0;
  std::vector<std::string> plan_ids;
  for (unsigned i = 0; i < k_jobs; ++i) {
    const bool is_impossible = i % k_one_in == k_one_in / 2;
    if (is_impossible && trouble) {
      ++never_done;
      deployment.submit(checks, Deployment::job_id(i), impossible);
    } else {
      deployment.submit(checks, Deployment::job_id(i), sound);
    }
    if (i % 20 == 10) {
      const std::string id = Deployment::job_id(10'000 + i);
      if (deployment.submit(plans, id, plan)) {
        plan_ids.push_back(id);
      }
    }
    sleep_ms(k_gap_ms);
  }
  deployment.record.write("the traffic ends; {} jobs of {} can never be done", never_done, k_jobs);
  sleep_ms(k_finish_ms);
  // For 3 s: nothing of the job runs, and the capacity is free.
  std::map<std::string, int> idle_looks;
  constexpr int k_looks = 13;
  bool had_capacity = true;
  for (int look = 0; look < k_looks; ++look) {
    const auto [used, all] = deployment.fleet.use();
    had_capacity = had_capacity && used * 2 < all;
    for (const std::string& id : plan_ids) {
      idle_looks[id] += deployment.fleet.has_runs(id) ? 0 : 1;
    }
    sleep_ms(250);
  }
  int lost = 0;
  for (const std::string& id : plan_ids) {
    const std::string state = deployment.state(plans, id, 0);
    const bool waits = state == "queued" || state == "in_progress";
    lost += waits && had_capacity && idle_looks[id] == k_looks ? 1 : 0;
  }
  deployment.record.write(
      "{} of {} accepted plans have nothing running for 3 s while over half of "
      "the capacity is free",
      lost, plan_ids.size());
  return plan_ids.empty() ? k_could_not_run : lost > 0 ? k_broken : k_held;
}

/// A worker starts again under the id that it had, as one of another kind, while the store is down.
inline int play_other_kind(Deployment& deployment, bool trouble) {
  constexpr int k_workers = 8;
  constexpr int k_rounds = 3;
  constexpr Millis k_down_before_ms = 1'000;  // of the worker, before the store is down
  constexpr Millis k_down_within_ms = 200;
  constexpr Millis k_store_down_ms = 4'000;
  for (int i = 0; i < k_workers; ++i) {
    Machine machine;
    machine.name = fmt::format("m-{:02}", i);
    machine.rack = "r1-1";
    machine.kind = i < 2 ? "b" : "a";
    deployment.fleet.add(machine);
  }
  deployment.fleet.plan = [](const TaskName&, const Machine&) { return Plan{1'500, false}; };
  if (!deployment.start()) {
    return k_could_not_run;
  }
  const Queue& queue = deployment.queues[1];
  const json body = one_step({{"Count", 24},
                              {"Cpu", 14'000},
                              {"MemMb", 26'000},
                              {"EstimatedMs", 1'500},
                              {"Requirements", "b"}});
  unsigned number = 0;
  for (int i = 0; i < k_rounds; ++i) {
    for (int j = 0; j < 2; ++j) {
      if (!deployment.submit(queue, Deployment::job_id(++number), body)) {
        return k_could_not_run;
      }
    }
    sleep_ms(2'000);
    if (trouble) {
      deployment.fleet.crash("m-00");
      sleep_ms(k_down_before_ms);
      deployment.record.write("the store goes down");
      deployment.store.set_down(true);
      sleep_ms(k_down_within_ms);
      deployment.fleet.restart("m-00", true, "a");
      sleep_ms(k_store_down_ms - k_down_within_ms);
      deployment.store.set_down(false);
      deployment.record.write("the store is back");
      sleep_ms(6'000);
      deployment.fleet.crash("m-00");
      sleep_ms(k_down_before_ms);
      deployment.fleet.restart("m-00", true, "b");
    }
    sleep_ms(10'000);
  }
  int wrong = 0;
  for (const Start& start : deployment.fleet.starts()) {
    if (start.kind != "b") {
      ++wrong;
      deployment.record.write("at {} ms run {} {} started on {} (born {}) of kind {}", start.at,
                              start.task, start.run, start.worker, start.born, start.kind);
    }
  }
  deployment.record.write("{} starts of {} on a worker without the label", wrong,
                          deployment.fleet.starts().size());
  if (deployment.fleet.starts().empty()) {
    return k_could_not_run;
  }
  return wrong > 0 ? k_broken : k_held;
}

}  // namespace review
