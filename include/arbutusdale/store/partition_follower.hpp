// Follows one keyed partition: scans the newest record of each key, then reads every later record,
// and scans again when records expired before they were read. A reply that can't be read is asked
// for again, with growing delays and without end, and so is one that does not come in time: a scan
// is complete only once all of its pages have been read, since a key that it leaves out counts as
// deleted.
#pragma once

#include "arbutusdale/core/timer.hpp"
#include "arbutusdale/store/metadata_store.hpp"
#include "arbutusdale/store/read_metrics.hpp"
#include "arbutusdale/store/read_pacing.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace arbutusdale::store {

struct FollowerOptions {
  Partition partition;
  std::uint32_t wait_ms = 1'000;  // longest wait of a read for a record (long poll)
  Duration read_delay{};          // between reads, so that several records share a read
  std::uint64_t seed = 0;         // differs between daemons, so that they retry at different times
};

/// Receives records in the order of their offsets. After another scan a record may be delivered
/// again, and a key deleted in the meantime is reported by `on_scan_complete` only.
class PartitionListener {
 public:
  PartitionListener() = default;
  PartitionListener(const PartitionListener&) = delete;
  PartitionListener& operator=(const PartitionListener&) = delete;
  virtual ~PartitionListener() = default;

  virtual void on_record(const Record& record) = 0;
  /// A scan begins, from the first key. A scan that fails is begun again.
  virtual void on_scan_started() {}
  /// A scan is complete: keys not delivered since it began no longer exist.
  virtual void on_scan_complete() {}
  /// The partition ends before records that were delivered: the store has lost some.
  virtual void on_records_lost() {}
  /// All records of a reply have been delivered.
  virtual void on_caught_up() {}
};

class PartitionFollower {
 public:
  PartitionFollower(MetadataStore& store, Timer& timer, FollowerOptions options,
                    PartitionListener& listener);
  PartitionFollower(const PartitionFollower&) = delete;
  PartitionFollower& operator=(const PartitionFollower&) = delete;
  ~PartitionFollower();

  void start();
  /// Reads what has been appended so far at once, in parallel with a long poll that may be pending.
  void catch_up();
  void set_read_delay(Duration read_delay) { m_options.read_delay = read_delay; }

  /// True after the first complete scan.
  [[nodiscard]] bool is_loaded() const { return m_loaded; }
  /// Offset up to which all records have been delivered.
  [[nodiscard]] std::uint64_t next_offset() const { return m_next_offset; }
  /// Everything appended before this time has been delivered. Empty before the first scan is
  /// complete.
  [[nodiscard]] std::optional<TimePoint> fresh_as_of() const { return m_fresh_as_of; }
  /// Smoothed latency of reads that returned records.
  [[nodiscard]] Duration read_latency() const { return m_read_latency; }

 private:
  /// Sends a read, and records in the metrics what becomes of it.
  void send_read(std::uint32_t wait_ms, MetadataStore::ReadDone done);
  void scan(const std::string& after_key, TimePoint started_at);
  void retry_scan(const ReadError& error, std::string after_key, TimePoint started_at);
  void on_page(const ScanPage& page, TimePoint started_at);
  void read();
  /// Reports a store that has lost records: its end is below the offset read before the call.
  void note_end(std::uint64_t end, std::uint64_t read_through);
  void on_read(const ReadReply& reply, TimePoint sent, std::uint32_t wait_ms);
  /// The reply to a read that was sent at `sent` has been delivered.
  void note_pace(const ReadReply& reply, TimePoint sent, std::uint32_t wait_ms);
  void read_at_once();
  void deliver(const std::vector<Record>& records);
  /// Reports the error. Returns the time until the next attempt.
  Duration on_error(const ReadError& error);
  Duration on_malformed(const ReadError& error);
  void schedule(Duration delay, void (PartitionFollower::*method)());
  void rescan();

  MetadataStore& m_store;
  Timer& m_timer;
  FollowerOptions m_options;
  PartitionListener& m_listener;
  ReadMetrics m_metrics;
  ReadPacing m_pacing;
  std::shared_ptr<bool> m_alive;  // false after destruction; completions check it

  bool m_loaded = false;
  bool m_available = true;
  bool m_is_catching_up = false;       // a read at once is in flight or will be repeated
  bool m_must_catch_up_again = false;  // it was asked for while another one was in flight
  int m_malformed_replies = 0;         // since the last complete scan or readable reply to a read
  std::uint64_t m_next_offset = 0;
  bool m_end_is_lower = false;              // than what has been read, as of the last reply
  std::optional<std::uint64_t> m_scan_end;  // end of the partition when the scan started
  std::optional<TimePoint> m_fresh_as_of;
  Duration m_read_latency{};
};

}  // namespace arbutusdale::store
