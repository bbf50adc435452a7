// Every grant is stored by two daemons before the call is sent: by the owner of the term, and by
// the entry or, when the owner is the entry, by a witness. With one incarnation lost, the other
// holder has answered, unless the lost one ran calls without a witness. Its pledge to a daemon
// that is still alive excludes that.
#include "key_takeover.hpp"

#include <algorithm>

namespace arbutusdale::routing {

KeyTakeover::KeyTakeover(std::uint64_t term, std::uint64_t query_id,
                         const std::vector<PriorIncarnation>& previous, TimePoint begun)
    : m_term{term}, m_query_id{query_id}, m_begun{begun} {
  for (const auto& info : previous) {
    m_witnesses.push_back(Witness{info, 0, {}, false});
  }
}

void KeyTakeover::record_answer(const std::string& daemon, const proto::peer::KeyList& part) {
  bool complete = false;
  for (auto& witness : m_witnesses) {
    // A restarted daemon has forgotten the keys of its earlier incarnation.
    if (witness.info.daemon != daemon || witness.info.incarnation != part.incarnation()) {
      continue;
    }
    if (witness.list_id != part.list_id()) {
      witness.list_id = part.list_id();
      witness.parts.clear();
    }
    witness.parts.insert(part.part());
    complete = witness.parts.size() >= part.parts();
    witness.answered = witness.answered || complete;
  }
  if (!complete) {
    return;
  }
  for (const auto& pledged : part.pledged()) {
    record_pledge(pledged.daemon(), pledged.incarnation());
  }
  for (const auto& gone : part.handed_over()) {
    record_handover(gone.daemon(), gone.incarnation());
  }
}

void KeyTakeover::record_handover(const std::string& daemon, std::uint64_t incarnation) {
  for (auto& witness : m_witnesses) {
    const bool same = witness.info.daemon == daemon && witness.info.incarnation == incarnation;
    witness.answered = witness.answered || same;
  }
}

std::vector<std::string> KeyTakeover::unanswered() const {
  std::vector<std::string> daemons;
  for (const auto& witness : m_witnesses) {
    if (!witness.answered && witness.info.alive) {
      daemons.push_back(witness.info.daemon);
    }
  }
  return daemons;
}

bool KeyTakeover::is_ready(TimePoint now, Duration patience) const {
  return now - m_begun >= patience || unanswered().empty();
}

bool KeyTakeover::unknown_may_run(TimePoint now, Duration retention) const {
  if (now - m_begun >= retention) {
    return true;
  }
  std::vector<std::pair<std::string, std::uint64_t>> lost;
  for (const auto& witness : m_witnesses) {
    if (!witness.answered) {
      lost.emplace_back(witness.info.daemon, witness.info.incarnation);
    }
  }
  if (m_overflow || lost.size() > 1) {
    return false;
  }
  return lost.empty() || m_pledged.contains(lost.front());
}

}  // namespace arbutusdale::routing
