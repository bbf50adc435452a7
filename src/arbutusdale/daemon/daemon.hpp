// Assembly of the daemon: gateway, platform clients, peer network, node and control thread.
#pragma once

#include "arbutusdale/core/verdict.hpp"

#include <cstddef>
#include <memory>

#include "settings.hpp"

namespace arbutusdale::daemon {

class Daemon {
 public:
  Daemon() = default;
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;
  virtual ~Daemon() = default;

  /// Opens the listeners and starts the threads.
  virtual Result<void> start() = 0;
  /// Graceful stop: not ready, open calls end, shards are released. Returns the number of calls
  /// that were cut off because they outlasted the stop timeout.
  virtual std::size_t stop() = 0;
};

std::unique_ptr<Daemon> make_daemon(Settings settings);

}  // namespace arbutusdale::daemon
