// Bounded memory of applied record ids.
#include "record_ids.hpp"

#include "arbutusdale/state/limits.hpp"

#include <charconv>
#include <optional>
#include <string_view>
#include <system_error>

namespace arbutusdale::state {
namespace {

struct NumberedId {
  std::string writer;
  std::uint64_t sequence = 0;
};

std::optional<NumberedId> split(std::string_view id) {
  const auto slash = id.rfind('/');
  if (slash == std::string_view::npos || slash + 1 == id.size()) {
    return std::nullopt;
  }
  const std::string_view digits = id.substr(slash + 1);
  NumberedId result;
  const auto [end, error] =
      std::from_chars(digits.data(), digits.data() + digits.size(), result.sequence);
  if (error != std::errc{} || end != digits.data() + digits.size()) {
    return std::nullopt;
  }
  result.writer = id.substr(0, slash);
  return result;
}

}  // namespace

bool RecordIds::insert(const std::string& id) {
  if (id.empty()) {
    return true;
  }
  if (contains(id)) {
    return false;
  }
  const auto numbered = split(id);
  if (!numbered) {
    m_plain.insert(id);
    m_plain_order.push_back(id);
  } else {
    Mark& mark = m_marks[numbered->writer];
    m_order.erase(mark.used);
    mark = Mark{numbered->sequence, ++m_uses};
    m_order.emplace(mark.used, numbered->writer);
  }
  drop_oldest();
  return true;
}

bool RecordIds::contains(const std::string& id) const {
  const auto numbered = split(id);
  if (!numbered) {
    return m_plain.contains(id);
  }
  const auto it = m_marks.find(numbered->writer);
  return it != m_marks.end() && numbered->sequence <= it->second.sequence;
}

void RecordIds::drop_oldest() {
  while (m_order.size() > k_max_writers_kept) {
    m_marks.erase(m_order.begin()->second);
    m_order.erase(m_order.begin());
  }
  while (m_plain_order.size() > k_max_plain_ids_kept) {
    m_plain.erase(m_plain_order.front());
    m_plain_order.pop_front();
  }
}

void RecordIds::save(google::protobuf::RepeatedPtrField<std::string>& out) const {
  for (const std::string& id : m_plain_order) {
    *out.Add() = id;
  }
  for (const auto& [used, writer] : m_order) {
    *out.Add() = writer + "/" + std::to_string(m_marks.at(writer).sequence);
  }
}

void RecordIds::restore(const google::protobuf::RepeatedPtrField<std::string>& ids) {
  *this = RecordIds{};
  for (const std::string& id : ids) {
    insert(id);
  }
}

}  // namespace arbutusdale::state
