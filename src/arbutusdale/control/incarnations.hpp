// Registers this daemon's incarnation in the domain's stream and ends unresponsive incarnations.
#pragma once

#include <map>
#include <set>
#include <string>
#include <utility>

#include "context.hpp"

namespace arbutusdale::control {

/// Liveness has two signals: heartbeats, and `DaemonJoined` records repeated in the stream. An
/// incarnation is ended only when both are missing, so that daemons that reach the log but not each
/// other do not keep ending each other.
class Incarnations {
 public:
  explicit Incarnations(const Context& context) : m_context(context) {}

  void tick(TimePoint now);

  /// Records that a `DaemonJoined` record was applied, as a liveness signal.
  void on_joined_record(const proto::state::DaemonJoined& joined, TimePoint now);

  /// True when this incarnation has joined and has not been ended.
  [[nodiscard]] bool joined() const;

  /// Appends a record that ends this incarnation, as part of a graceful stop.
  void leave();

 private:
  using Id = std::pair<std::string, std::uint64_t>;

  void join(TimePoint now);
  void rejoin_if_ended();
  void end_unresponsive(TimePoint now);
  [[nodiscard]] bool is_unresponsive(const Id& id, TimePoint now) const;
  [[nodiscard]] bool any_peer_unresponsive(TimePoint now) const;

  Context m_context;
  std::map<Id, TimePoint> m_last_joined_record;  // local time of the latest DaemonJoined applied
  std::map<Id, TimePoint> m_unresponsive_since;
  std::set<Id> m_end_proposed;  // end records proposed and not yet applied
  TimePoint m_next_join{};
  TimePoint m_repeat_join_until{};  // set after this daemon was ended while running
  bool m_leaving = false;
};

}  // namespace arbutusdale::control
