// Two daemons store each grant before the call is sent: the owner of the term, and either the
// requester or, when the owner is the requester, a witness. When only one incarnation is lost, the
// other daemon that stored the grant has answered, unless the lost one ran calls without a witness.
// A pledge of the lost incarnation to a daemon that is still alive rules that out.
#include "key_takeover.hpp"

#include <algorithm>

namespace arbutusdale::routing {

KeyTakeover::KeyTakeover(std::uint64_t term, std::uint64_t query_id,
                         const std::vector<PriorIncarnation>& previous, TimePoint begun)
    : m_term{term}, m_query_id{query_id}, m_begun{begun} {
  for (const auto& info : previous) {
    m_respondents.push_back(Respondent{info, 0, {}, false});
  }
}

void KeyTakeover::record_answer(const std::string& daemon, const proto::peer::KeyList& part) {
  bool complete = false;
  for (auto& respondent : m_respondents) {
    // A restarted daemon has lost the keys of its earlier incarnation.
    if (respondent.info.daemon != daemon || respondent.info.incarnation != part.incarnation()) {
      continue;
    }
    if (respondent.list_id != part.list_id()) {
      respondent.list_id = part.list_id();
      respondent.parts.clear();
    }
    respondent.parts.insert(part.part());
    complete = respondent.parts.size() >= part.parts();
    respondent.answered = respondent.answered || complete;
  }
  if (!complete) {
    return;
  }
  for (const auto& pledged : part.pledged()) {
    record_pledge(pledged.daemon(), pledged.incarnation());
  }
  for (const auto& handed_over : part.handed_over()) {
    record_handover(handed_over.daemon(), handed_over.incarnation());
  }
}

void KeyTakeover::record_handover(const std::string& daemon, std::uint64_t incarnation) {
  for (auto& respondent : m_respondents) {
    const bool same =
        respondent.info.daemon == daemon && respondent.info.incarnation == incarnation;
    respondent.answered = respondent.answered || same;
  }
}

std::vector<std::string> KeyTakeover::unanswered() const {
  std::vector<std::string> daemons;
  for (const auto& respondent : m_respondents) {
    if (!respondent.answered && respondent.info.alive) {
      daemons.push_back(respondent.info.daemon);
    }
  }
  return daemons;
}

bool KeyTakeover::is_ready(TimePoint now, Duration timeout) const {
  return now - m_begun >= timeout || unanswered().empty();
}

bool KeyTakeover::can_grant_unknown_keys(TimePoint now, Duration retention) const {
  if (now - m_begun >= retention) {
    return true;
  }
  std::vector<std::pair<std::string, std::uint64_t>> lost;
  for (const auto& respondent : m_respondents) {
    if (!respondent.answered) {
      lost.emplace_back(respondent.info.daemon, respondent.info.incarnation);
    }
  }
  if (m_overflow || lost.size() > 1) {
    return false;
  }
  return lost.empty() || m_pledged.contains(lost.front());
}

}  // namespace arbutusdale::routing
