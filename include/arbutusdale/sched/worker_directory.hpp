// Abstract source of the workers' registrations.
#pragma once

#include "arbutusdale/sched/worker_orders.hpp"

#include <functional>
#include <memory>
#include <string>

namespace arbutusdale::sched {

class WorkerListener {
 public:
  WorkerListener() = default;
  WorkerListener(const WorkerListener&) = delete;
  WorkerListener& operator=(const WorkerListener&) = delete;
  virtual ~WorkerListener() = default;

  virtual void on_worker_updated(const WorkerEntry& entry) = 0;
  /// The worker's registration is gone or can't be read. What runs there may still run.
  /// `before_expiry` is true when it went sooner after the last heartbeat than silence would remove
  /// it, as when the worker removes it itself.
  virtual void on_worker_gone(const std::string& id, bool before_expiry) = 0;
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
