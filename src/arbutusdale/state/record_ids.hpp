// Recognizes records that were applied before, with bounded memory.
#pragma once

#include "arbutusdale/state.pb.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>

#include <google/protobuf/repeated_ptr_field.h>

namespace arbutusdale::state {

/// Ids of the records applied to one stream.
///
/// A stream numbers its records, `WRITER/SEQUENCE`, and appends them in that order: it sends no
/// record before the one ahead of it is proved applied. A record whose sequence is not above the
/// highest one applied of its writer is therefore a copy, however late the log delivers it. So one
/// id per writer is kept, and no bound on the delay of a lost append is assumed. Ids without a
/// sequence are kept in a window; an empty id is never recognized.
class RecordIds {
 public:
  /// Notes the id; false when the record was applied before.
  bool insert(const std::string& id);
  [[nodiscard]] bool contains(const std::string& id) const;

  void save(google::protobuf::RepeatedPtrField<std::string>& out) const;
  void restore(const google::protobuf::RepeatedPtrField<std::string>& ids);

 private:
  struct WriterEntry {
    std::uint64_t sequence = 0;
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
