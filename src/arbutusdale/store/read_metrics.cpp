// Metrics of the reads and scans of one topic.
#include "arbutusdale/store/read_metrics.hpp"

#include "arbutusdale/observe/process_metrics.hpp"

#include <cstddef>

namespace arbutusdale::store {

ReadMetrics::ReadMetrics(const std::string& topic) {
  observe::Registry& registry = observe::process_metrics();
  const observe::Labels labels{{"topic", topic}};
  m_in_flight = &registry.gauge("arbutusdale_store_reads_in_flight",
                                "Reads and scans of the store without an answer", labels);
  m_reads =
      &registry.counter("arbutusdale_store_reads_total", "Reads and scans of the store", labels);
  m_records = &registry.counter("arbutusdale_store_read_records_total",
                                "Records that reads and scans returned", labels);
  m_bytes = &registry.counter("arbutusdale_store_read_bytes_total",
                              "Keys and values that reads and scans returned", labels);
  m_timeouts = &registry.counter("arbutusdale_store_read_timeouts_total",
                                 "Reads and scans without an answer in time", labels);
  m_other_errors = &registry.counter("arbutusdale_store_read_errors_total",
                                     "Reads and scans that failed otherwise", labels);
}

void ReadMetrics::on_sent() const {
  m_in_flight->add(1);
  m_reads->add();
}

void ReadMetrics::on_records(const std::vector<Record>& records) const {
  m_in_flight->add(-1);
  m_records->add(records.size());
  std::size_t bytes = 0;
  for (const Record& record : records) {
    bytes += content_bytes(record.entry);
  }
  m_bytes->add(bytes);
}

void ReadMetrics::on_error(ReadFailure reason) const {
  m_in_flight->add(-1);
  (reason == ReadFailure::timed_out ? m_timeouts : m_other_errors)->add();
}

}  // namespace arbutusdale::store
