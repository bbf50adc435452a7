// Models of the platform's log service and VM list: offsets, append rate limit, retention, lag and
// faults. They do no I/O and read no clock: the caller passes the time, so fault tests use a fake
// clock.
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
  double appends_per_second = 400;  // over all streams
  double append_burst = 100;        // token bucket size: appends accepted at once when idle
  std::uint64_t retained_records = 100'000;  // per stream
  std::uint32_t max_read_entries = 1'000;    // per read
  std::size_t max_read_bytes = 4'194'304;    // per read; the first entry is returned even if larger
  std::size_t max_payload_bytes = 1'048'576;
  std::uint64_t seed = 1;
};

/// Faults of the log; they can be switched on and off at any time.
struct LogFaults {
  bool outage = false;                     // appends and reads fail without any effect
  bool refuse_appends = false;             // reads still work
  std::uint32_t lose_answers_percent = 0;  // appends stored, response lost
  Duration delay{};                        // of every response; applied by the caller
};

/// Streams of payloads with consecutive offsets that begin at 0.
class LogModel {
 public:
  explicit LogModel(LogModelOptions options = {});

  /// Returns the offset of the new record. A rejected append has the verdict `not_run`. A lost
  /// response has the verdict `may_have_run`, and the record is in the stream.
  Result<std::uint64_t> append(const std::string& stream, std::string payload, TimePoint now);

  /// Returns up to `limit` entries, beginning at `from` or at the first retained offset if that is
  /// later.
  [[nodiscard]] Result<proto::platform::ReadReply> read(const std::string& stream,
                                                        std::uint64_t from,
                                                        std::uint32_t limit) const;

  /// Deletes all but the newest `keep` records of a stream; an empty name means all streams.
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
  frozen,  ///< the list does not change while the fault is on
  outage,  ///< the list cannot be fetched
};

std::string_view to_string(VmListFault fault);
std::optional<VmListFault> vm_list_fault(std::string_view name);

/// List of VMs in which every change becomes visible after a lag.
class VmListModel {
 public:
  /// `observer` may be null; it is notified when a VM is first listed as leaving.
  explicit VmListModel(Duration lag = std::chrono::seconds{2}, Observer* observer = nullptr);

  /// Adds or updates a VM.
  void set(const proto::platform::Vm& vm, TimePoint now);
  void set_state(const std::string& id, proto::platform::VmState state, TimePoint now);
  void remove(const std::string& id, TimePoint now);
  void set_fault(VmListFault fault, TimePoint now);
  void set_lag(Duration lag) { m_lag = lag; }

  /// Publishes the changes that are older than the lag. `fetch` calls it; call it periodically as
  /// well, so that the observer is notified of listings even when no client fetches the list.
  void advance(TimePoint now);

  Result<proto::platform::VmListReply> fetch(TimePoint now);

 private:
  struct Change {
    TimePoint at{};
    std::string id;
    std::optional<proto::platform::Vm> vm;  // empty if removed
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
