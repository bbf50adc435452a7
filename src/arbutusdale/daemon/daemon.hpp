// The daemon: gateway, platform clients, peer network, node and control thread.
#pragma once

#include "arbutusdale/core/verdict.hpp"

#include <cstddef>
#include <memory>

#include "settings.hpp"

namespace arbutusdale::daemon {

/// One daemon process. `start` is called once, `stop` once after a successful start.
class Daemon {
 public:
  Daemon() = default;
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;
  virtual ~Daemon() = default;

  /// Opens the listeners and starts the threads.
  virtual Result<void> start() = 0;
  /// Graceful stop: reports not ready, waits for open calls and releases the shards. Returns the
  /// number of calls that were cut off at the stop timeout.
  virtual std::size_t stop() = 0;
};

std::unique_ptr<Daemon> make_daemon(Settings settings);

}  // namespace arbutusdale::daemon
