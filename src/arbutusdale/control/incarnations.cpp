// Liveness of the incarnations of a failure domain.
#include "incarnations.hpp"

#include <algorithm>

#include <spdlog/spdlog.h>

namespace arbutusdale::control {
namespace {

constexpr Duration k_join_repeat = std::chrono::seconds{2};
// Three repeats of DaemonJoined may be lost or late before this signal counts as missing.
constexpr Duration k_join_record_timeout = std::chrono::seconds{6};
// Lower-ranked daemons wait longer, so that one daemon of a failure domain, and not all eight,
// appends the record that ends an incarnation.
constexpr Duration k_rank_delay = std::chrono::seconds{1};
constexpr Duration k_join_repeat_after_end = std::chrono::minutes{10};

proto::state::Record joined_record(const std::string& daemon, std::uint64_t incarnation) {
  proto::state::Record record;
  record.mutable_daemon_joined()->set_daemon(daemon);
  record.mutable_daemon_joined()->set_incarnation(incarnation);
  return record;
}

proto::state::Record ended_record(const std::string& daemon, std::uint64_t incarnation,
                                  const std::string& reason) {
  proto::state::Record record;
  auto* ended = record.mutable_incarnation_ended();
  ended->set_daemon(daemon);
  ended->set_incarnation(incarnation);
  ended->set_reason(reason);
  return record;
}

}  // namespace

std::vector<std::string> live_in_domain(const Context& context, TimePoint now) {
  std::vector<std::string> daemons{context.options.daemon};
  for (const auto& member : context.membership.live(now)) {
    if (member.domain == context.options.domain) {
      daemons.push_back(member.daemon);
    }
  }
  std::sort(daemons.begin(), daemons.end());
  return daemons;
}

bool Incarnations::joined() const {
  return m_context.domain.is_alive(m_context.options.daemon, m_context.incarnation);
}

void Incarnations::on_joined_record(const proto::state::DaemonJoined& joined, TimePoint now) {
  m_last_joined_record[{joined.daemon(), joined.incarnation()}] = now;
}

void Incarnations::tick(TimePoint now) {
  if (!can_propose(m_context.domain_stream.stats()) || m_leaving) {
    return;
  }
  rejoin_if_ended();
  join(now);
  if (joined()) {
    end_unresponsive(now);
  }
}

void Incarnations::rejoin_if_ended() {
  const auto entries = m_context.domain.incarnations();
  for (const auto& entry : entries) {
    if (entry.daemon() != m_context.options.daemon || entry.incarnation() < m_context.incarnation) {
      continue;
    }
    if (entry.ended_offset() == 0 && entry.incarnation() == m_context.incarnation) {
      continue;
    }
    spdlog::warn("incarnation {} was ended by a peer; joining as {}", m_context.incarnation,
                 entry.incarnation() + 1);
    m_context.incarnation = entry.incarnation() + 1;
    m_next_join = TimePoint{};
    m_repeat_join_until = TimePoint::max();
  }
}

void Incarnations::join(TimePoint now) {
  if (m_repeat_join_until == TimePoint::max()) {
    m_repeat_join_until = now + k_join_repeat_after_end;
  }
  const bool needed = !joined() || any_peer_unresponsive(now) || now < m_repeat_join_until;
  if (!needed || now < m_next_join) {
    return;
  }
  m_next_join = now + k_join_repeat;
  const bool urgent = !joined();
  m_context.domain_stream.propose(joined_record(m_context.options.daemon, m_context.incarnation),
                                  urgent, [](const Result<std::uint64_t>&) {});
}

bool Incarnations::any_peer_unresponsive(TimePoint now) const {
  for (const auto& entry : m_context.domain.incarnations()) {
    const Id id{entry.daemon(), entry.incarnation()};
    if (entry.ended_offset() == 0 && entry.daemon() != m_context.options.daemon &&
        is_unresponsive(id, now)) {
      return true;
    }
  }
  return false;
}

bool Incarnations::is_unresponsive(const Id& id, TimePoint now) const {
  for (const auto& member : m_context.membership.known()) {
    if (member.daemon != id.first || member.incarnation < id.second) {
      continue;
    }
    // A newer incarnation of the same daemon proves that the older process has ended.
    return member.incarnation > id.second ||
           now - member.last_heard > m_context.options.suspect_after;
  }
  return true;
}

void Incarnations::end_unresponsive(TimePoint now) {
  const auto live = live_in_domain(m_context, now);
  const auto rank = std::find(live.begin(), live.end(), m_context.options.daemon) - live.begin();
  for (const auto& entry : m_context.domain.incarnations()) {
    const Id id{entry.daemon(), entry.incarnation()};
    if (entry.ended_offset() != 0 || entry.daemon() == m_context.options.daemon) {
      m_unresponsive_since.erase(id);
      m_end_proposed.erase(id);
      continue;
    }
    if (!is_unresponsive(id, now)) {
      m_unresponsive_since.erase(id);
      continue;
    }
    const auto since = m_unresponsive_since.try_emplace(id, now).first->second;
    const auto last_joined_record = m_last_joined_record.try_emplace(id, now).first->second;
    const Duration wait = m_context.options.suspect_after + k_rank_delay * rank;
    if (now - since < wait || now - last_joined_record < k_join_record_timeout ||
        m_end_proposed.contains(id)) {
      continue;
    }
    m_end_proposed.insert(id);
    spdlog::warn("daemon {} incarnation {} is silent; ending it", id.first, id.second);
    m_context.domain_stream.propose(ended_record(id.first, id.second, "no heartbeat"), true,
                                    [this, id](const Result<std::uint64_t>& result) {
                                      if (!result) {
                                        m_end_proposed.erase(id);
                                      }
                                    });
  }
}

void Incarnations::leave() {
  if (joined() && !m_leaving) {
    m_context.domain_stream.propose(
        ended_record(m_context.options.daemon, m_context.incarnation, state::k_reason_left), true,
        [](const Result<std::uint64_t>&) {});
  }
  m_leaving = true;
}

}  // namespace arbutusdale::control
