// Bounded set of applied record ids.
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

std::optional<NumberedId> parse_numbered_id(std::string_view id) {
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
  const auto numbered = parse_numbered_id(id);
  if (!numbered) {
    m_unnumbered.insert(id);
    m_unnumbered_order.push_back(id);
  } else {
    WriterEntry& entry = m_writers[numbered->writer];
    m_writers_by_use.erase(entry.use_number);
    entry = WriterEntry{numbered->sequence, ++m_last_use_number};
    m_writers_by_use.emplace(entry.use_number, numbered->writer);
  }
  drop_oldest();
  return true;
}

bool RecordIds::contains(const std::string& id) const {
  const auto numbered = parse_numbered_id(id);
  if (!numbered) {
    return m_unnumbered.contains(id);
  }
  const auto it = m_writers.find(numbered->writer);
  return it != m_writers.end() && numbered->sequence <= it->second.sequence;
}

void RecordIds::drop_oldest() {
  while (m_writers_by_use.size() > k_max_writers_kept) {
    m_writers.erase(m_writers_by_use.begin()->second);
    m_writers_by_use.erase(m_writers_by_use.begin());
  }
  while (m_unnumbered_order.size() > k_max_unnumbered_ids_kept) {
    m_unnumbered.erase(m_unnumbered_order.front());
    m_unnumbered_order.pop_front();
  }
}

void RecordIds::save(google::protobuf::RepeatedPtrField<std::string>& out) const {
  for (const std::string& id : m_unnumbered_order) {
    *out.Add() = id;
  }
  for (const auto& [use_number, writer] : m_writers_by_use) {
    *out.Add() = writer + "/" + std::to_string(m_writers.at(writer).sequence);
  }
}

void RecordIds::restore(const google::protobuf::RepeatedPtrField<std::string>& ids) {
  *this = RecordIds{};
  for (const std::string& id : ids) {
    insert(id);
  }
}

}  // namespace arbutusdale::state
