// Abstract source of the workers' registrations.
#pragma once

#include "arbutusdale/sched/worker_orders.hpp"

#include <functional>
#include <memory>
#include <string>

namespace arbutusdale::sched {

/// Receives changes of the workers' registrations.
class WorkerListener {
 public:
  WorkerListener() = default;
  WorkerListener(const WorkerListener&) = delete;
  WorkerListener& operator=(const WorkerListener&) = delete;
  virtual ~WorkerListener() = default;

  /// A registration is new, or has been written again.
  virtual void on_worker_updated(const WorkerEntry& entry) = 0;
  /// The worker's registration is gone or can't be read. Its runs may still be alive: the worker
  /// may have exited, or its heartbeats may not have reached the store.
  virtual void on_worker_gone(const std::string& id) = 0;
  /// All registrations have been read at least once.
  virtual void on_workers_loaded() = 0;
};

/// Follows the registrations from its construction to its destruction.
class WorkerDirectory {
 public:
  WorkerDirectory() = default;
  WorkerDirectory(const WorkerDirectory&) = delete;
  WorkerDirectory& operator=(const WorkerDirectory&) = delete;
  virtual ~WorkerDirectory() = default;
};

using WorkerDirectoryFactory = std::function<std::unique_ptr<WorkerDirectory>(WorkerListener&)>;

}  // namespace arbutusdale::sched
