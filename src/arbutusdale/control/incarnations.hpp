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
  void seen_in_log(const proto::state::DaemonJoined& joined, TimePoint now);

  /// True when this incarnation has joined and has not been ended.
  [[nodiscard]] bool joined() const;

  /// Appends the end of this incarnation, before a graceful stop.
  void leave();

 private:
  using Id = std::pair<std::string, std::uint64_t>;

  void join(TimePoint now);
  void rejoin_if_ended();
  void end_silent(TimePoint now);
  [[nodiscard]] bool is_silent(const Id& id, TimePoint now) const;
  [[nodiscard]] bool misses_a_peer(TimePoint now) const;

  Context m_context;
  std::map<Id, TimePoint> m_last_in_log;  // local time of the latest DaemonJoined applied
  std::map<Id, TimePoint> m_silent_since;
  std::set<Id> m_ending;  // ends proposed and not yet applied
  TimePoint m_next_join{};
  TimePoint m_keep_alive_until{};  // repeats DaemonJoined after this daemon was ended while alive
  bool m_leaving = false;
};

}  // namespace arbutusdale::control
