// Joins this daemon's incarnation to the domain's stream and ends incarnations that fell silent.
#pragma once

#include <map>
#include <set>
#include <string>
#include <utility>

#include "context.hpp"

namespace arbutusdale::control {

/// Liveness has two signs: heartbeats, and `DaemonJoined` records repeated in the stream. A daemon
/// is ended only when both are missing, so that daemons that cannot reach each other but reach the
/// log do not end each other again and again.
class Incarnations {
 public:
  explicit Incarnations(const Context& context) : m_context(context) {}

  void tick(TimePoint now);

  /// Notes a `DaemonJoined` record as a sign of life.
  void on_joined_record(const proto::state::DaemonJoined& joined, TimePoint now);

  /// True when this incarnation has joined and has not been ended.
  [[nodiscard]] bool joined() const;

  /// Appends the end of this incarnation, before a graceful stop.
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
  std::set<Id> m_end_proposed;  // ends proposed and not yet applied
  TimePoint m_next_join{};
  TimePoint m_repeat_join_until{};  // repeats DaemonJoined after this daemon was ended while alive
  bool m_leaving = false;
};

}  // namespace arbutusdale::control
