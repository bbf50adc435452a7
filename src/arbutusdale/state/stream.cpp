// Log follower: applies a stream's records to its handler, appends records, and writes snapshots
// so that a new reader can start from a trimmed log.
#include "arbutusdale/state/stream.hpp"

#include "arbutusdale/state/limits.hpp"

#include <algorithm>
#include <optional>
#include <utility>

#include "append_queue.hpp"
#include "snapshot_chunks.hpp"

namespace arbutusdale::state {
namespace {

using proto::platform::LogEntry;
using proto::platform::ReadReply;

// Entries that must follow a snapshot before the next one is due by its share of the retained log;
// keeps short logs from filling up with snapshots.
constexpr std::uint64_t k_min_entries_between_snapshots = 64;
// A snapshot is due when more than 1/3 of the retained entries follow the last one.
constexpr std::uint64_t k_retained_share_divisor = 3;
// A read without a reply is abandoned after this many reply timeouts.
constexpr int k_read_timeout_factor = 4;
// Delay before a state that was too large for a snapshot is serialized again.
constexpr Duration k_oversized_snapshot_retry = std::chrono::minutes{1};
// Rounds of calls to the log per `pump`; bounds a tick when the log replies synchronously.
constexpr int k_max_rounds = 256;

class LogStream final : public Stream {
 public:
  LogStream(StreamOptions options, backplane::Log& log, const Clock& clock, StreamHandler& handler)
      : m_options(std::move(options)),
        m_log(log),
        m_clock(clock),
        m_handler(handler),
        m_appends(m_options),
        m_now(clock.now()),
        m_poll_at(m_now) {
    m_stats.next_offset = m_options.log_start;
  }

  void tick(TimePoint now) override;
  void propose(proto::state::Record record, bool urgent, AppliedCallback done) override;
  void poll_now() override;
  Result<void> install_snapshot(std::uint64_t covered_offset, const std::string& data) override;
  void set_snapshot_rank(std::uint32_t rank) override { m_rank = rank; }
  [[nodiscard]] const StreamStats& stats() const override { return m_stats; }

 private:
  void pump();
  void start_read();
  void start_append();
  void run_completions();
  void on_read(std::uint64_t read, Result<ReadReply> reply);
  void follow(const ReadReply& reply);
  void search_snapshot(const ReadReply& reply);
  void finish_snapshot_search();
  bool apply_entry(const LogEntry& entry);
  Result<void> apply_record(std::uint64_t offset, const proto::state::Record& record);
  void record_snapshot(const CompleteSnapshot& snapshot);
  void write_snapshot_if_due();
  void stop(const std::string& reason);
  Result<void> load(std::uint64_t covered_offset, const std::string& data);

  [[nodiscard]] bool is_stopped() const { return !m_stats.stopped_reason.empty(); }
  /// True if the log was trimmed and holds no complete snapshot from which a new reader could
  /// follow it without a gap.
  [[nodiscard]] bool lacks_snapshot() const;
  [[nodiscard]] bool is_following() const {
    return m_stats.caught_up && !m_searching_snapshot && !is_stopped();
  }

  StreamOptions m_options;
  backplane::Log& m_log;
  const Clock& m_clock;
  StreamHandler& m_handler;
  AppendQueue m_appends;
  StreamStats m_stats;

  TimePoint m_now;
  TimePoint m_poll_at;
  TimePoint m_read_started;
  std::uint64_t m_read = 0;  // number of the latest read
  bool m_reading = false;
  std::uint64_t m_log_first = 0;  // first retained offset as of the latest read
  std::uint64_t m_log_end = 0;    // offset after the last entry as of the latest read

  bool m_searching_snapshot = false;  // unread records were trimmed; a snapshot has to cover them
  std::uint64_t m_search_offset = 0;  // next offset to search
  std::optional<CompleteSnapshot> m_best_snapshot;
  SnapshotAssembler m_assembler;

  bool m_has_snapshot = false;  // a complete one was read; the next two members describe the latest
  std::uint64_t m_snapshot_covers = 0;
  std::uint64_t m_snapshot_offset = 0;  // of its first chunk
  std::uint64_t m_records_since = 0;    // records applied since that snapshot, without chunks
  std::uint64_t m_entries_since = 0;    // entries read since that snapshot
  std::uint32_t m_rank = 0;
  std::optional<TimePoint> m_snapshot_due;

  bool m_pumping = false;
  bool m_rerun_pump = false;  // another call to the log may be possible
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);  // replies may outlive the stream
};

void LogStream::tick(TimePoint now) {
  m_now = now;
  if (m_reading && now >= m_read_started + m_options.reply_timeout * k_read_timeout_factor) {
    m_reading = false;
    m_stats.log_reachable = false;
  }
  m_appends.check_timeout(m_read, now);
  write_snapshot_if_due();
  pump();
}

void LogStream::pump() {
  m_rerun_pump = true;
  if (m_pumping) {
    return;
  }
  m_pumping = true;
  for (int round = 0; m_rerun_pump && round < k_max_rounds; ++round) {
    m_rerun_pump = false;
    start_read();
    start_append();
    run_completions();
  }
  m_pumping = false;
}

void LogStream::start_read() {
  if (m_reading || is_stopped() || m_now < m_poll_at) {
    return;
  }
  m_reading = true;
  m_read_started = m_now;
  const std::uint64_t read = ++m_read;
  const std::uint64_t from = m_searching_snapshot ? m_search_offset : m_stats.next_offset;
  m_log.read(m_options.name, from, k_read_limit_entries,
             [this, read, alive = std::weak_ptr<bool>(m_alive)](Result<ReadReply> reply) {
               if (!alive.expired()) {
                 on_read(read, std::move(reply));
                 pump();
               }
             });
}

void LogStream::start_append() {
  if (!is_following()) {
    return;
  }
  auto outgoing = m_appends.next(!lacks_snapshot(), m_now);
  if (!outgoing) {
    return;
  }
  ++m_stats.appends;
  m_stats.bytes_appended += outgoing->payload.size();
  const std::uint64_t attempt = outgoing->attempt;
  m_log.append(
      m_options.name, std::move(outgoing->payload),
      [this, attempt, alive = std::weak_ptr<bool>(m_alive)](const Result<std::uint64_t>& offset) {
        if (alive.expired()) {
          return;
        }
        m_stats.append_failures += offset ? 0 : 1;
        m_appends.on_append_reply(attempt, offset, m_read, m_now);
        m_poll_at = m_now;
        pump();
      });
}

void LogStream::run_completions() {
  for (auto& [done, outcome] : m_appends.take_completions()) {
    done(std::move(outcome));
    m_rerun_pump = true;
  }
}

void LogStream::on_read(std::uint64_t read, Result<ReadReply> reply) {
  if (!m_reading || read != m_read) {
    return;
  }
  m_reading = false;
  m_poll_at = m_now + m_options.poll_interval;
  m_stats.log_reachable = reply.has_value();
  if (!reply || is_stopped()) {
    return;
  }
  m_log_first = reply->first_offset();
  m_log_end = reply->next_offset();
  m_stats.bytes_read += reply->ByteSizeLong();
  if (!m_searching_snapshot && m_log_first > m_stats.next_offset) {
    m_searching_snapshot = true;
    m_search_offset = m_log_first;
    m_best_snapshot.reset();
    m_assembler = SnapshotAssembler{};
  }
  if (m_searching_snapshot) {
    search_snapshot(*reply);
  } else {
    follow(*reply);
  }
}

void LogStream::follow(const ReadReply& reply) {
  for (const LogEntry& entry : reply.entries()) {
    if (entry.offset() >= m_stats.next_offset && !apply_entry(entry)) {
      return;
    }
  }
  if (m_stats.next_offset >= m_log_end) {
    m_stats.caught_up = true;
    m_appends.on_end_of_log_read(m_read, m_stats.next_offset, m_now);
  } else if (reply.entries_size() > 0) {
    m_poll_at = m_now;
  }
  write_snapshot_if_due();
}

bool LogStream::apply_entry(const LogEntry& entry) {
  proto::state::Batch batch;
  if (!batch.ParseFromString(entry.payload())) {
    stop("the entry at offset " + std::to_string(entry.offset()) + " cannot be parsed");
    return false;
  }
  m_stats.next_offset = entry.offset() + 1;
  for (const auto& record : batch.records()) {
    if (const auto applied = apply_record(entry.offset(), record); !applied) {
      stop(applied.error().message);
      return false;
    }
    m_appends.on_record_applied(record.id(), entry.offset());
  }
  ++m_entries_since;
  return true;
}

Result<void> LogStream::apply_record(std::uint64_t offset, const proto::state::Record& record) {
  ++m_stats.records_applied;
  if (!record.has_snapshot_chunk()) {
    ++m_records_since;
    return m_handler.apply(offset, record);
  }
  if (record.format() != k_record_format) {
    return not_run(ErrorCode::internal, "the snapshot chunk at offset " + std::to_string(offset) +
                                            " has the unknown format " +
                                            std::to_string(record.format()));
  }
  if (const auto snapshot = m_assembler.add(offset, record.snapshot_chunk())) {
    record_snapshot(*snapshot);
  }
  return {};
}

void LogStream::record_snapshot(const CompleteSnapshot& snapshot) {
  if (m_has_snapshot && snapshot.covered_offset < m_snapshot_covers) {
    return;
  }
  if (snapshot.id.starts_with(m_options.writer + "/")) {
    ++m_stats.snapshots_written;
  } else {
    m_appends.drop_snapshot();
  }
  m_has_snapshot = true;
  m_snapshot_covers = snapshot.covered_offset;
  m_snapshot_offset = snapshot.first_chunk_offset;
  m_records_since = 0;
  m_entries_since = 0;
  m_snapshot_due.reset();
}

void LogStream::search_snapshot(const ReadReply& reply) {
  m_search_offset = std::max(m_search_offset, m_log_first);
  for (const LogEntry& entry : reply.entries()) {
    proto::state::Batch batch;
    if (entry.offset() < m_search_offset || !batch.ParseFromString(entry.payload())) {
      continue;
    }
    m_search_offset = entry.offset() + 1;
    for (const auto& record : batch.records()) {
      if (!record.has_snapshot_chunk() || record.format() != k_record_format) {
        continue;
      }
      auto snapshot = m_assembler.add(entry.offset(), record.snapshot_chunk());
      if (snapshot &&
          (!m_best_snapshot || snapshot->covered_offset > m_best_snapshot->covered_offset)) {
        m_best_snapshot = std::move(snapshot);
      }
    }
  }
  if (m_search_offset >= m_log_end) {
    finish_snapshot_search();
  } else if (reply.entries_size() > 0) {
    m_poll_at = m_now;
  }
}

void LogStream::finish_snapshot_search() {
  if (!m_best_snapshot || m_best_snapshot->covered_offset < m_log_first) {
    m_stats.gap = true;
    return;
  }
  const CompleteSnapshot snapshot = std::move(*m_best_snapshot);
  m_best_snapshot.reset();
  m_assembler = SnapshotAssembler{};
  if (const auto loaded = load(snapshot.covered_offset, snapshot.data); !loaded) {
    stop("the snapshot at offset " + std::to_string(snapshot.first_chunk_offset) +
         " cannot be loaded: " + loaded.error().message);
    return;
  }
  record_snapshot(snapshot);
}

Result<void> LogStream::load(std::uint64_t covered_offset, const std::string& data) {
  if (auto loaded = m_handler.load_snapshot(data); !loaded) {
    return loaded;
  }
  ++m_stats.snapshots_loaded;
  m_stats.next_offset = covered_offset;
  m_stats.gap = false;
  m_searching_snapshot = false;
  m_poll_at = m_now;
  return {};
}

bool LogStream::lacks_snapshot() const {
  return m_log_first > m_options.log_start &&
         (!m_has_snapshot || m_snapshot_offset < m_log_first || m_snapshot_covers < m_log_first);
}

void LogStream::write_snapshot_if_due() {
  const bool many = m_records_since > m_options.snapshot_every_records;
  const bool large_share = m_entries_since >= k_min_entries_between_snapshots &&
                           m_entries_since * k_retained_share_divisor > m_log_end - m_log_first;
  if (!is_following() || m_appends.is_writing_snapshot() ||
      !(many || large_share || lacks_snapshot())) {
    return;
  }
  if (!m_snapshot_due) {
    m_snapshot_due = m_now + m_options.snapshot_rank_delay * m_rank;
  }
  if (m_now < *m_snapshot_due) {
    return;
  }
  const std::string id = m_options.writer + "/snapshot-" + std::to_string(m_stats.next_offset);
  const auto chunks = split_snapshot(id, m_stats.next_offset, m_handler.save_snapshot());
  m_snapshot_due.reset();
  if (chunks.empty()) {
    m_snapshot_due = m_now + k_oversized_snapshot_retry;
  }
  m_appends.push_snapshot(chunks, m_clock.wall_ms());
  m_rerun_pump = true;
}

void LogStream::stop(const std::string& reason) {
  m_stats.stopped_reason = reason;
  m_appends.fail_all("stream '" + m_options.name + "' has stopped: " + reason);
  m_rerun_pump = true;
}

void LogStream::propose(proto::state::Record record, bool urgent, AppliedCallback done) {
  if (!done) {
    done = [](const Result<std::uint64_t>&) {};
  }
  if (is_stopped()) {
    done(not_run(ErrorCode::unavailable,
                 "stream '" + m_options.name + "' has stopped: " + m_stats.stopped_reason));
    return;
  }
  record.set_written_at_ms(m_clock.wall_ms());
  // `push` gets a copy of the callback, so that `done` can be called if it rejects the record.
  if (const auto queued = m_appends.push(std::move(record), urgent, done, m_clock.now()); !queued) {
    done(tl::unexpected<Error>(queued.error()));
    return;
  }
  pump();
}

void LogStream::poll_now() {
  m_poll_at = m_now;
  pump();
}

Result<void> LogStream::install_snapshot(std::uint64_t covered_offset, const std::string& data) {
  if (is_stopped()) {
    return not_run(ErrorCode::unavailable, m_stats.stopped_reason);
  }
  if (covered_offset < m_stats.next_offset) {
    return not_run(ErrorCode::conflict, "the snapshot covers the records below offset " +
                                            std::to_string(covered_offset) +
                                            " and is older than the state applied so far");
  }
  if (auto loaded = load(covered_offset, data); !loaded) {
    return loaded;
  }
  m_reading = false;  // the reply to a read in progress belongs to the replaced state
  m_assembler = SnapshotAssembler{};
  m_best_snapshot.reset();
  return {};
}

}  // namespace

std::unique_ptr<Stream> make_stream(StreamOptions options, backplane::Log& log, const Clock& clock,
                                    StreamHandler& handler) {
  return std::make_unique<LogStream>(std::move(options), log, clock, handler);
}

}  // namespace arbutusdale::state
