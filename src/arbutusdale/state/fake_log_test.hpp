// Test support: an in-memory log with injected faults, and streams of daemons that use it.
#pragma once

#include "arbutusdale/backplane/backplane.hpp"
#include "arbutusdale/core/clock.hpp"
#include "arbutusdale/state/global_state.hpp"
#include "arbutusdale/state/limits.hpp"
#include "arbutusdale/state/stream.hpp"

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace arbutusdale::state {

/// In-memory log that replies synchronously. The test sets the faults.
class FakeLog final : public backplane::Log {
 public:
  enum class Fault { none, reject, lose_reply, lose_append, delay_append, no_reply };

  void append(const std::string& /*stream*/, std::string payload,
              backplane::Completion<std::uint64_t> done) override {
    ++appends;
    const Fault fault = faults.empty() ? Fault::none : faults.front();
    if (!faults.empty()) {
      faults.pop_front();
    }
    if (unavailable || fault == Fault::reject) {
      done(not_run(ErrorCode::unavailable, "the log is unavailable"));
      return;
    }
    if (fault == Fault::delay_append) {
      late.push_back(payload);
    }
    if (fault == Fault::none || fault == Fault::lose_reply) {
      entries.push_back(std::move(payload));
    }
    if (fault == Fault::none) {
      done(next() - 1);
    } else if (fault != Fault::no_reply) {
      done(may_have_run(ErrorCode::connection_lost, "connection reset"));
    }
  }

  void read(const std::string& /*stream*/, std::uint64_t from, std::uint32_t limit,
            backplane::Completion<proto::platform::ReadReply> done) override {
    if (unavailable) {
      done(not_run(ErrorCode::unavailable, "the log is unavailable"));
      return;
    }
    proto::platform::ReadReply reply;
    reply.set_first_offset(first);
    reply.set_next_offset(next());
    for (auto offset = std::max(from, first); offset < next() && limit > 0; ++offset, --limit) {
      auto& entry = *reply.add_entries();
      entry.set_offset(offset);
      entry.set_payload(entries[offset - first]);
    }
    done(std::move(reply));
  }

  /// Adds the entries of the delayed appends.
  void deliver_late() {
    for (auto& payload : late) {
      entries.push_back(std::move(payload));
    }
    late.clear();
  }

  void trim_to(std::uint64_t offset) {
    entries.erase(entries.begin(), entries.begin() + static_cast<std::ptrdiff_t>(offset - first));
    first = offset;
  }

  [[nodiscard]] std::uint64_t next() const { return first + entries.size(); }

  std::deque<std::string> entries;
  std::uint64_t first = 0;
  std::deque<Fault> faults;       // one per append, in order; none once it is empty
  std::vector<std::string> late;  // payloads of delayed appends
  std::uint64_t appends = 0;
  bool unavailable = false;  // rejects all calls
};

/// Handler that applies records to the state of the global stream.
class StateHandler final : public StreamHandler {
 public:
  Result<void> apply(std::uint64_t offset, const proto::state::Record& record) override {
    return state->apply(offset, record);
  }
  std::string save_snapshot() override { return state->snapshot().SerializeAsString() + padding; }
  Result<void> load_snapshot(const std::string& data) override {
    proto::state::GlobalSnapshot snapshot;
    if (!snapshot.ParseFromString(data.substr(0, data.size() - padding.size()))) {
      return not_run(ErrorCode::internal, "cannot be parsed");
    }
    state->restore(snapshot);
    return {};
  }

  std::unique_ptr<GlobalState> state = make_global_state();
  std::string padding;  // appended to snapshots to make them large
};

/// The stream of one daemon on the fake log.
struct Daemon {
  Daemon(FakeLog& log, FakeClock& fake_clock, const std::string& writer, StreamOptions options = {})
      : clock(fake_clock) {
    options.name = "global";
    options.writer = writer;
    stream = make_stream(options, log, clock, handler);
  }

  /// Proposes a plan with this id; the result is added to `outcomes`.
  void propose(const std::string& id, bool urgent = true) {
    proto::state::Record record;
    record.mutable_plan_proposed()->mutable_plan()->set_id(id);
    stream->propose(std::move(record), urgent,
                    [this](Result<std::uint64_t> outcome) { outcomes.push_back(outcome); });
  }

  void tick() { stream->tick(clock.now()); }

  [[nodiscard]] bool has_plan(const std::string& id) const {
    return handler.state->plan(id) != nullptr;
  }
  [[nodiscard]] std::string text() const { return handler.state->snapshot().SerializeAsString(); }

  FakeClock& clock;
  StateHandler handler;
  std::vector<Result<std::uint64_t>> outcomes;
  std::unique_ptr<Stream> stream;
};

/// Advances the clock by `time` in steps of 50 ms and ticks all daemons after each step.
inline void run(FakeClock& clock, Duration time, const std::vector<Daemon*>& daemons) {
  constexpr Duration k_step = std::chrono::milliseconds{50};
  for (Duration passed{}; passed < time; passed += k_step) {
    clock.advance(k_step);
    for (Daemon* daemon : daemons) {
      daemon->tick();
    }
  }
}

}  // namespace arbutusdale::state
