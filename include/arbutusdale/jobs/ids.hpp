// Ids of jobs and tasks.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace arbutusdale::jobs {

/// Id of a job, chosen by its caller: 16 hexadecimal digits, compared as text.
class JobId {
 public:
  static constexpr std::size_t k_length = 16;

  JobId() = default;
  /// Empty when `text` is not 16 hexadecimal digits.
  static std::optional<JobId> parse(std::string_view text);

  [[nodiscard]] std::string_view view() const { return {m_text.data(), m_text.size()}; }
  [[nodiscard]] std::string str() const { return std::string(view()); }

  friend bool operator==(const JobId&, const JobId&) = default;
  // False positive: the check takes the operator's comparison with zero for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const JobId&, const JobId&) = default;

 private:
  std::array<char, k_length> m_text{};
};

/// One task of a step of one occurrence of a job.
struct TaskId {
  JobId job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;

  friend bool operator==(const TaskId&, const TaskId&) = default;
};

}  // namespace arbutusdale::jobs

template <>
struct std::hash<arbutusdale::jobs::JobId> {
  std::size_t operator()(const arbutusdale::jobs::JobId& id) const noexcept {
    return std::hash<std::string_view>{}(id.view());
  }
};
