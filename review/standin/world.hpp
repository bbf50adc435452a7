// What all stand-ins of a case share: the time, the record of events, and the jobs that were sent.
#pragma once

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <fstream>
#include <map>
#include <mutex>
#include <string>
#include <thread>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace review {

using nlohmann::json;
using Millis = std::int64_t;

/// Milliseconds of the steady clock since the case began.
class Clock {
 public:
  [[nodiscard]] Millis now() const {
    const auto passed = std::chrono::steady_clock::now() - m_start;
    return std::chrono::duration_cast<std::chrono::milliseconds>(passed).count();
  }
  static std::uint64_t wall_ms() {
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(since).count());
  }

 private:
  const std::chrono::steady_clock::time_point m_start = std::chrono::steady_clock::now();
};

inline void sleep_ms(Millis duration) {
  std::this_thread::sleep_for(std::chrono::milliseconds(duration));
}

/// record.txt: one line for each thing sent, answered or run.
class Record {
 public:
  Record(const std::string& path, const Clock& clock) : m_file(path), m_clock(clock) {}

  template <typename... Arguments>
  void write(fmt::format_string<Arguments...> format, Arguments&&... arguments) {
    const std::string text = fmt::format(format, std::forward<Arguments>(arguments)...);
    const std::lock_guard lock(m_mutex);
    m_file << fmt::format("{:8.3f} {}\n", static_cast<double>(m_clock.now()) / 1'000.0, text)
           << std::flush;
  }

 private:
  std::mutex m_mutex;
  std::ofstream m_file;
  const Clock& m_clock;
};

struct TaskName {
  std::string job;
  unsigned occurrence = 0;
  unsigned step = 0;
  unsigned index = 0;

  static TaskName parse(const std::string& text) {
    TaskName name;
    name.job = text.substr(0, 16);
    (void)std::sscanf(text.c_str() + std::min<std::size_t>(16, text.size()), ".%u.%u.%u",
                      &name.occurrence, &name.step, &name.index);
    return name;
  }
};

/// Bodies of the jobs that clients have sent, by id. Workers look up there what a task needs.
class SentJobs {
 public:
  void add(const std::string& id, const json& body) {
    const std::lock_guard lock(m_mutex);
    m_bodies[id] = body;
  }
  [[nodiscard]] json step(const TaskName& task) const {
    const std::lock_guard lock(m_mutex);
    const auto found = m_bodies.find(task.job);
    if (found == m_bodies.end() || task.step >= found->second["Steps"].size()) {
      return nullptr;
    }
    return found->second["Steps"][task.step];
  }

 private:
  mutable std::mutex m_mutex;
  std::map<std::string, json> m_bodies;
};

}  // namespace review
