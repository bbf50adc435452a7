// Notes in which scan each key was seen.
#include "arbutusdale/store/deletion_reporter.hpp"

#include <utility>
#include <vector>

namespace arbutusdale::store {

void DeletionReporter::on_record(const Record& record) {
  if (record.entry.value.empty()) {
    m_keys.erase(record.entry.key);
  } else {
    m_keys[record.entry.key] = m_scans;
  }
  m_listener.on_record(record);
}

void DeletionReporter::on_scan_started() {
  ++m_scans;
  m_listener.on_scan_started();
}

void DeletionReporter::on_records_lost() {
  m_records_lost = true;
  m_listener.on_records_lost();
}

// A record that was delivered before the scan began is in the scan unless its key was deleted. One
// that is appended during the scan may not be; its key counts as seen if it has been delivered.
void DeletionReporter::on_scan_complete() {
  std::vector<std::string> deleted;
  for (const auto& [key, scan] : m_keys) {
    if (scan < m_scans && !m_records_lost) {
      deleted.push_back(key);
    }
  }
  m_records_lost = false;
  for (std::string& key : deleted) {
    m_keys.erase(key);
    Record tombstone;
    tombstone.entry.key = std::move(key);
    m_listener.on_record(tombstone);
  }
  m_listener.on_scan_complete();
}

}  // namespace arbutusdale::store
