// Interface to the platform's metadata store, a log with keyed, compacted partitions: the newest
// record of each key is kept forever, older records expire.
#pragma once

#include "arbutusdale/core/clock.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <tl/expected.hpp>

namespace arbutusdale::store {

struct Partition {
  std::string topic;
  std::uint32_t index = 0;
};

struct KeyedValue {
  std::string key;
  std::string value;  // empty: a tombstone, which deletes the key
};

/// Sizes that the store takes, in bytes.
struct RecordLimits {
  std::size_t record = 262'144;    // content of one record
  std::size_t append = 2'097'152;  // all records of an append, with their lengths
};

inline constexpr std::size_t k_key_length_bytes = 1;     // before the key, in a record's content
inline constexpr std::size_t k_record_length_bytes = 4;  // before the content

/// Size of the content of a record.
inline std::size_t content_bytes(const KeyedValue& entry) {
  return k_key_length_bytes + entry.key.size() + entry.value.size();
}

inline constexpr std::size_t k_max_key_bytes = 255;  // its length takes one byte

/// The largest content of a record that the store takes.
inline std::size_t max_content_bytes(const RecordLimits& limits) {
  return std::min(limits.record, limits.append - std::min(limits.append, k_record_length_bytes));
}

struct Record {
  std::uint64_t offset = 0;
  KeyedValue entry;
};

/// Makes appends of one producer idempotent and fences its older incarnations. The store refuses an
/// epoch lower than the highest it has seen from this producer.
struct ProducerStamp {
  std::string producer;
  std::uint64_t epoch = 0;
  std::uint64_t sequence = 0;
};

struct AppendRequest {
  Partition partition;
  std::vector<KeyedValue> entries;            // appended atomically
  std::optional<std::uint64_t> expected_end;  // refused unless the partition ends here
  std::optional<ProducerStamp> stamp;
  Duration timeout{};  // without a reply by then, the outcome is unknown
};

struct AppendReply {
  std::uint64_t first_offset = 0;
  std::uint64_t end = 0;
};

enum class AppendFailure : std::uint8_t {
  end_mismatch,     ///< not appended; `position` is the partition's end
  fenced,           ///< not appended; a higher epoch is in force
  out_of_sequence,  ///< not appended; `position` is the sequence number expected next
  refused,          ///< not appended; the store is busy or down
  unknown,          ///< no reply that tells: may have been appended, or may be appended later
};

struct AppendError {
  AppendFailure reason = AppendFailure::unknown;
  std::uint64_t position = 0;
  std::string message;
};

struct ReadReply {
  std::vector<Record> records;
  std::uint64_t next_offset = 0;  // of the record after the last one returned
  std::uint64_t end = 0;
  bool waited_for_record =
      true;  // an empty reply is true at the end of the wait that was asked for
};

enum class ReadFailure : std::uint8_t {
  trimmed,      ///< the records asked for have expired
  timed_out,    ///< no complete reply in time; the store may still be sending it
  unavailable,  ///< the store refused the read, or the connection failed
  malformed,    ///< the reply can't be read, and proves nothing about the partition
};

struct ReadError {
  ReadFailure reason = ReadFailure::unavailable;
  std::string message;
};

/// One page of a scan over the newest records of all keys. The pages of a scan are not a snapshot.
struct ScanPage {
  std::vector<Record> records;
  bool has_more = false;
  std::uint64_t end = 0;
};

inline constexpr Duration k_read_timeout = std::chrono::milliseconds{1'500};
inline constexpr std::size_t k_max_read_kib = 272;  // the largest record fits

struct ReadRequest {
  Partition partition;
  std::uint64_t from = 0;
  std::uint32_t wait_ms = 0;             // longest wait for a first record; 0: none
  std::size_t max_kib = k_max_read_kib;  // size of the reply
  /// Time for the reply, beyond the wait. The store may go on sending it after that.
  Duration reply_timeout = k_read_timeout;
};

/// All calls are asynchronous; each completion handler is invoked exactly once.
class MetadataStore {
 public:
  using AppendDone = std::function<void(tl::expected<AppendReply, AppendError>)>;
  using ReadDone = std::function<void(tl::expected<ReadReply, ReadError>)>;
  using ScanDone = std::function<void(tl::expected<ScanPage, ReadError>)>;

  MetadataStore() = default;
  MetadataStore(const MetadataStore&) = delete;
  MetadataStore& operator=(const MetadataStore&) = delete;
  virtual ~MetadataStore() = default;

  virtual void append(AppendRequest request, AppendDone done) = 0;
  virtual void read(ReadRequest request, ReadDone done) = 0;
  /// Reads a page of the newest records of the keys after `after_key`; empty: from the first key.
  virtual void scan(Partition partition, std::string after_key, ScanDone done) = 0;
};

}  // namespace arbutusdale::store
