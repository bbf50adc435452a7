// State of a new owner of a key shard: which daemons have reported their keys of earlier terms, and
// whether a key that no daemon reported is proved not to have run.
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

  /// Records one part of a daemon's answer to the query.
  void record_answer(const std::string& daemon, const proto::peer::KeyList& part);
  /// Records a pledge that this daemon had received when the term began. A later one proves
  /// nothing: its sender may have registered keys with a witness that had already answered.
  void record_pledge(const std::string& daemon, std::uint64_t incarnation) {
    m_pledged.emplace(daemon, incarnation);
  }
  /// Records that an incarnation has handed over all its keys.
  void record_handover(const std::string& daemon, std::uint64_t incarnation);
  /// The reported keys do not all fit into the store, so unknown keys may have run.
  void record_overflow() { m_overflow = true; }

  /// Live daemons that have not answered yet.
  [[nodiscard]] std::vector<std::string> unanswered() const;
  /// True when all live daemons have answered or `timeout` has passed since the term began.
  [[nodiscard]] bool is_ready(TimePoint now, Duration timeout) const;
  /// True when a key that no daemon reported was never granted in an earlier term, or has passed
  /// its retention everywhere.
  [[nodiscard]] bool can_grant_unknown_keys(TimePoint now, Duration retention) const;

 private:
  struct Respondent {
    PriorIncarnation info;
    std::uint64_t list_id = 0;
    std::set<std::uint32_t> parts;  // parts of the list received so far
    bool answered = false;
  };

  std::uint64_t m_term = 0;
  std::uint64_t m_query_id = 0;
  TimePoint m_begun{};
  std::vector<Respondent> m_respondents;
  // Incarnations whose pledge a live daemon has received. The pledge of a restarted daemon does not
  // cover its earlier incarnation.
  std::set<std::pair<std::string, std::uint64_t>> m_pledged;
  bool m_overflow = false;
};

}  // namespace arbutusdale::routing
