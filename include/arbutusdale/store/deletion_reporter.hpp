// Passes the records of one partition on to a listener, and reports the keys that a scan no longer
// finds as tombstones. A follower whose records expired before it read them misses the tombstones
// among them. If the store has lost records, a missing key proves no deletion, and none is
// reported.
#pragma once

#include "arbutusdale/store/partition_follower.hpp"

#include <cstdint>
#include <string>
#include <unordered_map>

namespace arbutusdale::store {

class DeletionReporter final : public PartitionListener {
 public:
  /// `listener` must outlive the reporter.
  explicit DeletionReporter(PartitionListener& listener) : m_listener(listener) {}

  void on_record(const Record& record) override;
  void on_scan_started() override;
  void on_scan_complete() override;
  void on_records_lost() override;
  void on_caught_up() override { m_listener.on_caught_up(); }

 private:
  PartitionListener& m_listener;
  std::uint64_t m_scans = 0;    // begun so far
  bool m_records_lost = false;  // since the last complete scan
  /// Keys with a value, each with the scan in which, or after which, it was delivered last.
  std::unordered_map<std::string, std::uint64_t> m_keys;
};

}  // namespace arbutusdale::store
