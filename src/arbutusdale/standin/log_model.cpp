// Log service with an append rate limit, retention and faults.
#include "arbutusdale/standin/log_model.hpp"

#include <algorithm>
#include <utility>

namespace arbutusdale::standin {
namespace {

constexpr std::uint64_t k_percent = 100;

}  // namespace

LogModel::LogModel(LogModelOptions options)
    : m_options(options), m_random(options.seed), m_tokens(options.append_burst) {}

bool LogModel::take_append_token(TimePoint now) {
  const Duration since = m_refilled_at ? now - *m_refilled_at : Duration{};
  const double seconds = std::chrono::duration<double>(since).count();
  m_tokens = std::min(m_options.append_burst, m_tokens + seconds * m_options.appends_per_second);
  m_refilled_at = now;
  if (m_tokens < 1) {
    return false;
  }
  m_tokens -= 1;
  return true;
}

Result<std::uint64_t> LogModel::append(const std::string& stream, std::string payload,
                                       TimePoint now) {
  if (m_faults.outage || m_faults.refuse_appends) {
    ++m_refused;
    return not_run(ErrorCode::unavailable, "log is out");
  }
  if (payload.size() > m_options.max_payload_bytes) {
    ++m_refused;
    return not_run(ErrorCode::too_large, "record exceeds the limit of the log");
  }
  if (!take_append_token(now)) {
    ++m_refused;
    return not_run(ErrorCode::overloaded, "limit of appends per second reached");
  }
  auto& data = m_streams[stream];
  data.payloads.push_back(std::move(payload));
  ++m_appended;
  const std::uint64_t offset = data.first_offset + data.payloads.size() - 1;
  trim_stream(data, m_options.retained_records);
  if (m_faults.lose_answers_percent > 0 &&
      random_index(m_random, k_percent) < m_faults.lose_answers_percent) {
    return may_have_run(ErrorCode::connection_lost, "answer of the log was lost");
  }
  return offset;
}

Result<proto::platform::ReadReply> LogModel::read(const std::string& stream, std::uint64_t from,
                                                  std::uint32_t limit) const {
  if (m_faults.outage) {
    return not_run(ErrorCode::unavailable, "log is out");
  }
  proto::platform::ReadReply reply;
  const auto found = m_streams.find(stream);
  if (found == m_streams.end()) {
    return reply;
  }
  const StreamData& data = found->second;
  const std::uint64_t next = data.first_offset + data.payloads.size();
  reply.set_first_offset(data.first_offset);
  reply.set_next_offset(next);
  const std::uint64_t count = std::min(limit, m_options.max_read_entries);
  const std::uint64_t start = std::max(from, data.first_offset);
  std::size_t bytes = 0;
  for (std::uint64_t offset = start; offset < next && offset - start < count; ++offset) {
    const std::string& payload = data.payloads[offset - data.first_offset];
    bytes += payload.size();
    if (bytes > m_options.max_read_bytes && offset > start) {
      break;
    }
    auto* entry = reply.add_entries();
    entry->set_offset(offset);
    entry->set_payload(payload);
  }
  return reply;
}

void LogModel::trim_stream(StreamData& data, std::uint64_t keep) {
  while (data.payloads.size() > keep) {
    data.payloads.pop_front();
    ++data.first_offset;
  }
}

void LogModel::trim(const std::string& stream, std::uint64_t keep) {
  for (auto& [name, data] : m_streams) {
    if (stream.empty() || name == stream) {
      trim_stream(data, keep);
    }
  }
}

}  // namespace arbutusdale::standin
