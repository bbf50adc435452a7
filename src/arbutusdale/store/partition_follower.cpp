// Scan, long polls, and a new scan when records have expired.
#include "arbutusdale/store/partition_follower.hpp"

#include "arbutusdale/observe/event_log.hpp"

#include <algorithm>
#include <utility>

#include <spdlog/spdlog.h>

namespace arbutusdale::store {
namespace {

using observe::Event;
using observe::EventLine;

constexpr Duration k_retry_delay = ReadPacing::k_retry_delay;
// A reply that can't be read may stay so, and each one costs the store a whole page.
constexpr Duration k_max_retry_delay = std::chrono::seconds{2};
constexpr int k_max_doublings = 4;              // of the delay, to reach its maximum
constexpr int k_latency_smoothing_divisor = 8;  // a new sample has a weight of 1/8

/// Records in the metrics how a read or a scan of a page has ended.
template <typename Reply>
void note_result(const ReadMetrics& metrics, const tl::expected<Reply, ReadError>& reply) {
  if (reply) {
    metrics.on_records(reply->records);
  } else {
    metrics.on_error(reply.error().reason);
  }
}

}  // namespace

PartitionFollower::PartitionFollower(MetadataStore& store, Timer& timer, FollowerOptions options,
                                     PartitionListener& listener)
    : m_store(store),
      m_timer(timer),
      m_options(std::move(options)),
      m_listener(listener),
      m_metrics(m_options.partition.topic),
      m_pacing(m_options.seed),
      m_alive(std::make_shared<bool>(true)) {}

PartitionFollower::~PartitionFollower() {
  *m_alive = false;
}

void PartitionFollower::start() {
  rescan();
}

void PartitionFollower::rescan() {
  m_scan_end.reset();
  m_listener.on_scan_started();
  scan("", m_timer.now());
}

void PartitionFollower::schedule(Duration delay, void (PartitionFollower::*method)()) {
  if (delay <= Duration::zero()) {
    (this->*method)();
    return;
  }
  m_timer.call_after(delay, [this, alive = m_alive, method] {
    if (*alive) {
      (this->*method)();
    }
  });
}

void PartitionFollower::scan(const std::string& after_key, TimePoint started_at) {
  m_metrics.on_sent();
  m_store.scan(m_options.partition, after_key,
               [this, alive = m_alive, metrics = m_metrics, after_key,
                started_at](tl::expected<ScanPage, ReadError> page) {
                 note_result(metrics, page);
                 if (!*alive) {
                   return;
                 }
                 if (!page) {
                   retry_scan(page.error(), after_key, started_at);
                   return;
                 }
                 on_page(*page, started_at);
               });
}

// The pages before one that timed out need not be read again, since pages are not a snapshot.
void PartitionFollower::retry_scan(const ReadError& error, std::string after_key,
                                   TimePoint started_at) {
  const Duration delay = on_error(error);
  if (error.reason != ReadFailure::timed_out) {
    schedule(delay, &PartitionFollower::rescan);
    return;
  }
  m_timer.call_after(delay, [this, alive = m_alive, after_key = std::move(after_key), started_at] {
    if (*alive) {
      scan(after_key, started_at);
    }
  });
}

// Pages are not a snapshot, so reads continue from the partition's end as of the first page.
void PartitionFollower::on_page(const ScanPage& page, TimePoint started_at) {
  if (!m_scan_end) {
    m_scan_end = page.end;
    note_end(page.end, m_next_offset);
  }
  for (const Record& record : page.records) {
    m_listener.on_record(record);
  }
  if (page.has_more && !page.records.empty()) {
    scan(page.records.back().entry.key, started_at);
    return;
  }
  m_next_offset = *m_scan_end;
  m_malformed_replies = 0;
  m_loaded = true;
  m_fresh_as_of = started_at;
  m_listener.on_scan_complete();
  m_listener.on_caught_up();
  read();
}

// Once for each time that the end falls below what has been read.
void PartitionFollower::note_end(std::uint64_t end, std::uint64_t read_through) {
  const bool is_lower = end < read_through;
  if (std::exchange(m_end_is_lower, is_lower) || !is_lower) {
    return;
  }
  EventLine(Event::store_lost_records)
      .add("topic", m_options.partition.topic)
      .add("partition", m_options.partition.index)
      .add("read_through", read_through)
      .add("end", end)
      .write();
  m_listener.on_records_lost();
}

void PartitionFollower::send_read(std::uint32_t wait_ms, MetadataStore::ReadDone done) {
  m_metrics.on_sent();
  m_store.read(
      {m_options.partition, m_next_offset, wait_ms, m_pacing.max_kib(), m_pacing.reply_timeout()},
      [metrics = m_metrics, done = std::move(done)](tl::expected<ReadReply, ReadError> reply) {
        note_result(metrics, reply);
        done(std::move(reply));
      });
}

void PartitionFollower::read() {
  const TimePoint sent = m_timer.now();
  const std::uint64_t read_through = m_next_offset;
  const std::uint32_t wait_ms = m_pacing.is_slow() ? 0 : m_options.wait_ms;
  send_read(wait_ms, [this, alive = m_alive, sent, read_through,
                      wait_ms](tl::expected<ReadReply, ReadError> reply) {
    if (!*alive) {
      return;
    }
    if (reply) {
      note_end(reply->end, read_through);
      on_read(*reply, sent, wait_ms);
      return;
    }
    const Duration retry_delay = on_error(reply.error());
    if (reply.error().reason == ReadFailure::trimmed) {
      spdlog::warn("records of topic {} expired before they were read; scanning again",
                   m_options.partition.topic);
      rescan();
      return;
    }
    schedule(retry_delay, &PartitionFollower::read);
  });
}

void PartitionFollower::on_read(const ReadReply& reply, TimePoint sent, std::uint32_t wait_ms) {
  m_malformed_replies = 0;
  if (!std::exchange(m_available, true)) {
    EventLine(Event::dependency_regained)
        .add("dependency", "store")
        .add("call", "read")
        .add("topic", m_options.partition.topic)
        .add("partition", m_options.partition.index)
        .write();
  }
  deliver(reply.records);
  const bool has_records = !reply.records.empty();
  if (has_records) {
    m_read_latency += (m_timer.now() - sent - m_read_latency) / k_latency_smoothing_divisor;
  }
  m_next_offset = std::max(m_next_offset, reply.next_offset);
  note_pace(reply, sent, wait_ms);
  if (m_next_offset < reply.end) {
    // The reply was not large enough for all records.
    schedule(reply.records.empty() ? k_retry_delay : Duration::zero(), &PartitionFollower::read);
    return;
  }
  // The store returns an empty reply only after the full wait, unless the topic does not exist.
  const Duration waited_for = std::chrono::milliseconds{wait_ms};
  const bool waited_in_full =
      !has_records && reply.waited_for_record && m_timer.now() - sent >= waited_for;
  m_fresh_as_of = waited_in_full ? sent + waited_for : sent;
  m_listener.on_caught_up();
  // A read of a topic that does not exist yet returns at once, without waiting for a record.
  const bool waited = m_timer.now() - sent >= k_retry_delay;
  const Duration delay = has_records ? m_options.read_delay
                         : waited    ? Duration::zero()
                                     : k_retry_delay;
  schedule(delay, &PartitionFollower::read);
}

void PartitionFollower::note_pace(const ReadReply& reply, TimePoint sent, std::uint32_t wait_ms) {
  const bool has_more = m_next_offset < reply.end;
  if (has_more && reply.records.empty()) {
    m_pacing.on_page_too_small();
    return;
  }
  const Duration waited =
      reply.records.empty() ? std::chrono::milliseconds{wait_ms} : Duration::zero();
  m_pacing.on_reply(m_timer.now() - sent - waited, has_more);
}

// A reply may be overtaken by one that was sent later; its records must not replace newer ones.
void PartitionFollower::deliver(const std::vector<Record>& records) {
  for (const Record& record : records) {
    if (record.offset < m_next_offset) {
      continue;
    }
    m_listener.on_record(record);
  }
}

void PartitionFollower::catch_up() {
  if (!m_loaded) {
    return;
  }
  m_must_catch_up_again = m_is_catching_up;
  if (!std::exchange(m_is_catching_up, true)) {
    read_at_once();
  }
}

void PartitionFollower::read_at_once() {
  const TimePoint sent = m_timer.now();
  send_read(0, [this, alive = m_alive, sent](tl::expected<ReadReply, ReadError> reply) {
    if (!*alive) {
      return;
    }
    if (!reply) {
      m_timer.call_after(on_error(reply.error()), [this, alive] {
        if (*alive) {
          read_at_once();
        }
      });
      return;
    }
    deliver(reply->records);
    m_next_offset = std::max(m_next_offset, reply->next_offset);
    note_pace(*reply, sent, 0);
    if (m_next_offset < reply->end) {
      schedule(reply->records.empty() ? k_retry_delay : Duration::zero(),
               &PartitionFollower::read_at_once);
      return;
    }
    m_fresh_as_of = std::max(*m_fresh_as_of, sent);
    m_is_catching_up = false;
    m_listener.on_caught_up();
    if (std::exchange(m_must_catch_up_again, false)) {
      catch_up();
    }
  });
}

Duration PartitionFollower::on_error(const ReadError& error) {
  if (error.reason != ReadFailure::trimmed && std::exchange(m_available, false)) {
    EventLine(Event::dependency_lost)
        .add("dependency", "store")
        .add("call", "read")
        .add("topic", m_options.partition.topic)
        .add("partition", m_options.partition.index)
        .add("error", error.message)
        .write();
  }
  switch (error.reason) {
    case ReadFailure::timed_out:
      return m_pacing.on_timeout();
    case ReadFailure::malformed:
      return on_malformed(error);
    case ReadFailure::trimmed:
    case ReadFailure::unavailable:
      break;
  }
  return k_retry_delay;
}

// What has been delivered stays, and fresh_as_of() does not advance, so that a daemon whose view
// grows old says so instead of answering from it.
Duration PartitionFollower::on_malformed(const ReadError& error) {
  const int doublings = std::min(m_malformed_replies++, k_max_doublings);
  const Duration delay = std::min(k_retry_delay * (1 << doublings), k_max_retry_delay);
  spdlog::warn(
      "topic {}, partition {}: the store's reply can't be read ({}); trying again in {} ms",
      m_options.partition.topic, m_options.partition.index, error.message,
      std::chrono::duration_cast<std::chrono::milliseconds>(delay).count());
  return delay;
}

}  // namespace arbutusdale::store
