// Parsing of job ids.
#include "arbutusdale/jobs/ids.hpp"

#include <algorithm>
#include <cctype>

namespace arbutusdale::jobs {

std::optional<JobId> JobId::parse(std::string_view text) {
  const auto is_digit = [](char c) { return std::isxdigit(static_cast<unsigned char>(c)) != 0; };
  if (text.size() != k_length || !std::all_of(text.begin(), text.end(), is_digit)) {
    return std::nullopt;
  }
  JobId id;
  std::copy(text.begin(), text.end(), id.m_text.begin());
  return id;
}

}  // namespace arbutusdale::jobs
