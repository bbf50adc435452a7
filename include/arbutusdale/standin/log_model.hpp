// Model of the platform's log service and VM list: offsets, append limit, retention, lag, faults.
// No I/O and no clock of its own; every call takes the time, so fault tests run on a fake clock.
#pragma once

#include "arbutusdale/core/clock.hpp"
#include "arbutusdale/core/random.hpp"
#include "arbutusdale/core/verdict.hpp"
#include "arbutusdale/platform.pb.h"
#include "arbutusdale/standin/observer.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace arbutusdale::standin {

struct LogModelOptions {
  double appends_per_second = 400;           // over all streams
  double append_burst = 100;                 // appends accepted at once after a quiet time
  std::uint64_t retained_records = 100'000;  // per stream
  std::uint32_t max_read_entries = 1'000;    // per read
  std::size_t max_read_bytes = 4'194'304;    // per read, but always one entry
  std::size_t max_payload_bytes = 1'048'576;
  std::uint64_t seed = 1;
};

/// Faults of the log that can be switched at any time.
struct LogFaults {
  bool outage = false;                     // no append and no read; nothing has an effect
  bool refuse_appends = false;             // reads work
  std::uint32_t lose_answers_percent = 0;  // appends that take effect but whose answer is lost
  Duration delay{};                        // of every answer; the caller of the model waits
};

/// Streams of payloads with consecutive offsets from 0.
class LogModel {
 public:
  explicit LogModel(LogModelOptions options = {});

  /// Offset of the new record. A refusal has the verdict `not_run`; a lost answer has the verdict
  /// `may_have_run` and the record is in the stream.
  Result<std::uint64_t> append(const std::string& stream, std::string payload, TimePoint now);

  /// Up to `limit` entries from `from`, or from the first retained offset when that is later.
  [[nodiscard]] Result<proto::platform::ReadReply> read(const std::string& stream,
                                                        std::uint64_t from,
                                                        std::uint32_t limit) const;

  /// Drops all but the newest `keep` records of a stream; an empty name means all streams.
  void trim(const std::string& stream, std::uint64_t keep);

  [[nodiscard]] LogFaults& faults() { return m_faults; }
  [[nodiscard]] const LogFaults& faults() const { return m_faults; }
  [[nodiscard]] std::uint64_t appended() const { return m_appended; }
  [[nodiscard]] std::uint64_t refused() const { return m_refused; }

 private:
  struct StreamData {
    std::uint64_t first_offset = 0;
    std::deque<std::string> payloads;
  };

  bool take_append_token(TimePoint now);
  static void trim_stream(StreamData& data, std::uint64_t keep);

  LogModelOptions m_options;
  LogFaults m_faults;
  Random m_random;
  std::map<std::string, StreamData> m_streams;
  double m_tokens;
  std::optional<TimePoint> m_refilled_at;
  std::uint64_t m_appended = 0;
  std::uint64_t m_refused = 0;
};

enum class VmListFault : std::uint8_t {
  none,
  empty,   ///< the list names no VM
  halved,  ///< every second VM is missing
  frozen,  ///< the list stays as it was when the fault began
  outage,  ///< the list cannot be fetched
};

std::string_view to_string(VmListFault fault);
std::optional<VmListFault> vm_list_fault(std::string_view name);

/// List of VMs that shows every change only after a lag.
class VmListModel {
 public:
  /// `observer` may be null; it learns when a VM is first listed as leaving.
  explicit VmListModel(Duration lag = std::chrono::seconds{2}, Observer* observer = nullptr);

  /// Adds or changes a VM.
  void set(const proto::platform::Vm& vm, TimePoint now);
  void set_state(const std::string& id, proto::platform::VmState state, TimePoint now);
  void remove(const std::string& id, TimePoint now);
  void set_fault(VmListFault fault, TimePoint now);
  void set_lag(Duration lag) { m_lag = lag; }

  /// Makes changes visible that are older than the lag. Called by `fetch`; call it also at
  /// intervals, so that the observer learns the time of listing even when nobody fetches.
  void advance(TimePoint now);

  Result<proto::platform::VmListReply> fetch(TimePoint now);

 private:
  struct Change {
    TimePoint at{};
    std::string id;
    std::optional<proto::platform::Vm> vm;  // nothing when removed
  };

  void apply(const Change& change, TimePoint listed_at);

  Duration m_lag;
  Observer* m_observer;
  VmListFault m_fault = VmListFault::none;
  std::optional<TimePoint> m_unfrozen_at;
  std::map<std::string, proto::platform::Vm> m_actual;
  std::map<std::string, proto::platform::Vm> m_listed;
  std::deque<Change> m_changes;  // not yet visible, oldest first
  std::uint64_t m_version = 0;
};

}  // namespace arbutusdale::standin
