// Names and help texts of the node's metrics; see docs/operations.md.
#include "daemon_metrics.hpp"

#include "arbutusdale/observe/build_info.hpp"

#include <string>

namespace arbutusdale::daemon {
namespace {

void publish_stream(const std::string& name, const state::StreamStats& stats,
                    observe::Registry& registry) {
  const observe::Labels labels{{"stream", name}};
  const auto set = [&](const char* metric, const char* help, double value) {
    registry.gauge(metric, help, labels).set(value);
  };
  set("arbutusdale_log_reachable", "1 while the log answers", stats.log_reachable ? 1 : 0);
  set("arbutusdale_log_gap", "1 while trimmed records are missing", stats.gap ? 1 : 0);
  set("arbutusdale_log_next_offset", "Offset after the last record applied",
      static_cast<double>(stats.next_offset));
  set("arbutusdale_log_appends", "Appends sent", static_cast<double>(stats.appends));
  set("arbutusdale_log_append_failures", "Appends refused or without an answer",
      static_cast<double>(stats.append_failures));
  set("arbutusdale_log_records_applied", "Records applied",
      static_cast<double>(stats.records_applied));
  set("arbutusdale_log_bytes_read", "Bytes read", static_cast<double>(stats.bytes_read));
  set("arbutusdale_log_bytes_appended", "Bytes appended",
      static_cast<double>(stats.bytes_appended));
  set("arbutusdale_snapshots_written", "Snapshots written",
      static_cast<double>(stats.snapshots_written));
}

}  // namespace

void publish(const control::NodeFigures& figures, observe::Registry& registry) {
  const auto set = [&](const char* metric, const char* help, double value) {
    registry.gauge(metric, help).set(value);
  };
  const auto& batch = figures.batch;
  set("arbutusdale_config_version", "Configuration version in force",
      static_cast<double>(figures.config_version));
  set("arbutusdale_shards_held", "Shards held by this daemon", figures.shards_held);
  set("arbutusdale_live_peers", "Daemons heard of within the last seconds", figures.live_peers);
  set("arbutusdale_peer_bytes_sent", "Bytes sent to peers",
      static_cast<double>(figures.peer_bytes_sent));
  set("arbutusdale_tasks_pending", "Tasks waiting in held shards", batch.pending);
  set("arbutusdale_tasks_running", "Tasks running in held shards", batch.running);
  set("arbutusdale_tasks_blocked", "Tasks of unknown fate in held shards", batch.blocked);
  set("arbutusdale_tasks_started", "Tasks started", static_cast<double>(batch.started));
  set("arbutusdale_tasks_succeeded", "Tasks recorded as succeeded",
      static_cast<double>(batch.succeeded));
  set("arbutusdale_tasks_failed", "Tasks given up", static_cast<double>(batch.failed));
  set("arbutusdale_evictions", "Tasks evicted", static_cast<double>(batch.evictions));
  set("arbutusdale_throttles", "Throttle commands", static_cast<double>(batch.throttles));
  set("arbutusdale_tasks_lost", "Tasks lost with their VM", static_cast<double>(batch.lost));
  set("arbutusdale_workers_acquired", "Workers under this daemon's terms", batch.workers_acquired);
  set("arbutusdale_workers_unreachable", "Workers whose agent does not answer",
      batch.workers_unreachable);
  set("arbutusdale_workers_quarantined", "Workers in quarantine", batch.quarantined);
  observe::publish_build_info(registry);
  publish_stream("global", figures.global, registry);
  publish_stream("domain", figures.domain, registry);
}

}  // namespace arbutusdale::daemon
