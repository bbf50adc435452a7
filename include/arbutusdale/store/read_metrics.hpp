// Metrics of the reads and scans of one topic of the metadata store. The metric names are stable;
// docs/OPERATIONS.md lists them.
#pragma once

#include "arbutusdale/observe/metrics.hpp"
#include "arbutusdale/store/metadata_store.hpp"

#include <string>
#include <vector>

namespace arbutusdale::store {

/// Copies refer to the same metrics, which belong to the process.
class ReadMetrics {
 public:
  explicit ReadMetrics(const std::string& topic);

  /// A read or a scan of a page is sent. Call one of the members below when it ends.
  void on_sent() const;
  void on_records(const std::vector<Record>& records) const;
  void on_error(ReadFailure reason) const;

 private:
  observe::Gauge* m_in_flight;
  observe::Counter* m_reads;
  observe::Counter* m_records;
  observe::Counter* m_bytes;
  observe::Counter* m_timeouts;
  observe::Counter* m_other_errors;
};

}  // namespace arbutusdale::store
