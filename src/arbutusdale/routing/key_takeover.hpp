// Start of a term as owner of a key shard: whose keys of earlier terms are known, and whether a
// key that nobody reported is proved not to have run.
#pragma once

#include "arbutusdale/routing/key_table.hpp"

#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace arbutusdale::routing {

class KeyTakeover {
 public:
  KeyTakeover() = default;
  KeyTakeover(std::uint64_t term, std::uint64_t query_id,
              const std::vector<PriorIncarnation>& previous, TimePoint begun);

  [[nodiscard]] std::uint64_t term() const { return m_term; }
  [[nodiscard]] std::uint64_t query_id() const { return m_query_id; }

  /// Counts one part of an answer.
  void record_answer(const std::string& daemon, const proto::peer::KeyList& part);
  /// Counts a pledge that this daemon held when the term began. A later one proves nothing: its
  /// sender may have registered keys with a witness that had already answered.
  void record_pledge(const std::string& daemon, std::uint64_t incarnation) {
    m_pledged.emplace(daemon, incarnation);
  }
  void record_handover(const std::string& daemon, std::uint64_t incarnation);
  /// The keys reported cannot all be stored, so unknown keys stay in doubt.
  void record_overflow() { m_overflow = true; }

  /// Daemons that can still answer.
  [[nodiscard]] std::vector<std::string> unanswered() const;
  /// False while answers are awaited.
  [[nodiscard]] bool is_ready(TimePoint now, Duration timeout) const;
  /// True when a key that nobody reported was never granted in an earlier term, or is forgotten
  /// by all.
  [[nodiscard]] bool can_grant_unknown_keys(TimePoint now, Duration retention) const;

 private:
  struct Respondent {
    PriorIncarnation info;
    std::uint64_t list_id = 0;
    std::set<std::uint32_t> parts;  // received of the list
    bool answered = false;
  };

  std::uint64_t m_term = 0;
  std::uint64_t m_query_id = 0;
  TimePoint m_begun{};
  std::vector<Respondent> m_respondents;
  // Incarnations that gave a pledge to a daemon that is alive. The pledge of a restarted daemon
  // says nothing about its earlier incarnation.
  std::set<std::pair<std::string, std::uint64_t>> m_pledged;
  bool m_overflow = false;
};

}  // namespace arbutusdale::routing
