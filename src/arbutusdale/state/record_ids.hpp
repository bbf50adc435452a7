// Detects duplicate records with bounded memory.
#pragma once

#include "arbutusdale/state.pb.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>

#include <google/protobuf/repeated_ptr_field.h>

namespace arbutusdale::state {

/// Ids of the records applied from one stream.
///
/// A writer numbers its records, `WRITER/SEQUENCE`, and appends them in that order: it sends a
/// record only together with the preceding one, or after the preceding one is known to be applied.
/// A record whose sequence number does not exceed the highest one applied for its writer is
/// therefore a duplicate, however late the log delivers it. So one id per writer suffices, and no
/// bound on the delay of a lost append is assumed. Of the ids without a sequence number, the most
/// recent ones are kept; an empty id never counts as a duplicate.
class RecordIds {
 public:
  /// Adds the id; false if the record was already applied.
  bool insert(const std::string& id);
  [[nodiscard]] bool contains(const std::string& id) const;

  void save(google::protobuf::RepeatedPtrField<std::string>& out) const;
  void restore(const google::protobuf::RepeatedPtrField<std::string>& ids);

 private:
  struct WriterEntry {
    std::uint64_t sequence = 0;    // highest one applied
    std::uint64_t use_number = 0;  // key in m_writers_by_use
  };

  void drop_oldest();

  std::map<std::string, WriterEntry> m_writers;           // by writer
  std::map<std::uint64_t, std::string> m_writers_by_use;  // writers, least recently applied first
  std::uint64_t m_last_use_number = 0;
  std::set<std::string> m_unnumbered;
  std::deque<std::string> m_unnumbered_order;  // the ids of m_unnumbered, oldest first
};

}  // namespace arbutusdale::state
