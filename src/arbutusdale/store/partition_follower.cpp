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

constexpr Duration k_retry_delay = std::chrono::milliseconds{150};
constexpr int k_latency_smoothing_divisor = 8;  // a new sample has a weight of 1/8

}  // namespace

PartitionFollower::PartitionFollower(MetadataStore& store, Timer& timer, FollowerOptions options,
                                     PartitionListener& listener)
    : m_store(store),
      m_timer(timer),
      m_options(std::move(options)),
      m_listener(listener),
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

void PartitionFollower::scan(std::string after_key, TimePoint started_at) {
  m_store.scan(m_options.partition, std::move(after_key),
               [this, alive = m_alive, started_at](tl::expected<ScanPage, ReadError> page) {
                 if (!*alive) {
                   return;
                 }
                 if (!page) {
                   on_error(page.error());
                   schedule(k_retry_delay, &PartitionFollower::rescan);
                   return;
                 }
                 on_page(*page, started_at);
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
}

void PartitionFollower::read() {
  const TimePoint sent = m_timer.now();
  const std::uint64_t read_through = m_next_offset;
  m_store.read(
      {m_options.partition, m_next_offset, m_options.wait_ms},
      [this, alive = m_alive, sent, read_through](tl::expected<ReadReply, ReadError> reply) {
        if (!*alive) {
          return;
        }
        if (reply) {
          note_end(reply->end, read_through);
          on_read(*reply, sent);
          return;
        }
        on_error(reply.error());
        if (reply.error().reason == ReadFailure::trimmed) {
          spdlog::warn("records of topic {} expired before they were read; scanning again",
                       m_options.partition.topic);
          rescan();
          return;
        }
        schedule(k_retry_delay, &PartitionFollower::read);
      });
}

void PartitionFollower::on_read(const ReadReply& reply, TimePoint sent) {
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
  if (m_next_offset < reply.end) {
    // The reply was not large enough for all records.
    schedule(reply.records.empty() ? k_retry_delay : Duration::zero(), &PartitionFollower::read);
    return;
  }
  // The store returns an empty reply only after the full wait.
  const Duration waited_for = std::chrono::milliseconds{m_options.wait_ms};
  const bool waited_in_full = !has_records && m_timer.now() - sent >= waited_for;
  m_fresh_as_of = waited_in_full ? sent + waited_for : sent;
  m_listener.on_caught_up();
  // A read of a topic that does not exist yet returns at once, without waiting for a record.
  const bool waited = m_timer.now() - sent >= k_retry_delay;
  const Duration delay = has_records ? m_options.read_delay
                         : waited    ? Duration::zero()
                                     : k_retry_delay;
  schedule(delay, &PartitionFollower::read);
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
  const TimePoint sent = m_timer.now();
  m_store.read({m_options.partition, m_next_offset, 0},
               [this, alive = m_alive, sent](tl::expected<ReadReply, ReadError> reply) {
                 if (!*alive) {
                   return;
                 }
                 if (!reply) {
                   on_error(reply.error());
                   m_timer.call_after(k_retry_delay, [this, alive] {
                     if (*alive) {
                       catch_up();
                     }
                   });
                   return;
                 }
                 deliver(reply->records);
                 m_next_offset = std::max(m_next_offset, reply->next_offset);
                 if (m_next_offset < reply->end) {
                   schedule(reply->records.empty() ? k_retry_delay : Duration::zero(),
                            &PartitionFollower::catch_up);
                   return;
                 }
                 m_fresh_as_of = std::max(*m_fresh_as_of, sent);
                 m_listener.on_caught_up();
               });
}

void PartitionFollower::on_error(const ReadError& error) {
  if (error.reason == ReadFailure::unavailable && std::exchange(m_available, false)) {
    EventLine(Event::dependency_lost)
        .add("dependency", "store")
        .add("call", "read")
        .add("topic", m_options.partition.topic)
        .add("partition", m_options.partition.index)
        .add("error", error.message)
        .write();
  }
}

}  // namespace arbutusdale::store
