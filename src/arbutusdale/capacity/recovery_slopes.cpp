// Measures the CPU time that a daemon without local state needs to read its stream, with and
// without a snapshot.
#include "arbutusdale/standin/log_model.hpp"
#include "arbutusdale/state/domain_state.hpp"
#include "arbutusdale/state/limits.hpp"
#include "arbutusdale/state/stream.hpp"

#include <string>

#include "measure.hpp"

namespace arbutusdale::capacity {
namespace {

constexpr double k_ms_per_second = 1e3;
constexpr std::uint32_t k_tasks_per_record = 100;
constexpr const char* k_stream = "domain/halle-a";

/// Log that replies synchronously from the stand-in's log model.
class DirectLog final : public backplane::Log {
 public:
  DirectLog(standin::LogModel& model, const Clock& clock) : m_model(model), m_clock(clock) {}

  void append(const std::string& stream, std::string payload,
              backplane::Completion<std::uint64_t> done) override {
    done(m_model.append(stream, std::move(payload), m_clock.now()));
  }
  void read(const std::string& stream, std::uint64_t from, std::uint32_t limit,
            backplane::Completion<proto::platform::ReadReply> done) override {
    done(m_model.read(stream, from, limit));
  }

 private:
  standin::LogModel& m_model;
  const Clock& m_clock;
};

/// Applies the records of the stream to a domain state.
class Handler final : public state::StreamHandler {
 public:
  Result<void> apply(std::uint64_t offset, const proto::state::Record& record) override {
    return m_state->apply(offset, record);
  }
  std::string save_snapshot() override { return m_state->snapshot().SerializeAsString(); }
  Result<void> load_snapshot(const std::string& data) override {
    proto::state::DomainSnapshot snapshot;
    snapshot.ParseFromString(data);
    m_state->restore(snapshot);
    return {};
  }

 private:
  std::unique_ptr<state::DomainState> m_state = state::make_domain_state("halle-a");
};

standin::LogModelOptions unlimited() {
  standin::LogModelOptions options;
  options.appends_per_second = 1e9;
  options.append_burst = 1e9;
  options.retained_records = 1'000'000'000;
  return options;
}

proto::state::Record make_record(std::uint64_t number) {
  proto::state::Record record;
  record.set_id("entry-1@1/" + std::to_string(number));
  record.set_format(state::k_record_format);
  if (number == 1) {
    record.mutable_daemon_joined()->set_daemon("entry-1");
    record.mutable_daemon_joined()->set_incarnation(1);
    return record;
  }
  if (number == 2) {
    record.mutable_shard_claimed()->set_daemon("entry-1");
    record.mutable_shard_claimed()->set_incarnation(1);
    return record;
  }
  auto* progress = record.mutable_task_progress();
  progress->set_term(1);
  auto* job = progress->add_jobs();
  job->set_job("job-" + std::to_string(number));
  job->add_succeeded()->set_last(k_tasks_per_record - 1);
  return record;
}

void fill(standin::LogModel& model, std::uint64_t records, TimePoint now) {
  for (std::uint64_t number = 1; number <= records; ++number) {
    proto::state::Batch batch;
    *batch.add_records() = make_record(number);
    (void)model.append(k_stream, batch.SerializeAsString(), now);
  }
}

state::StreamOptions stream_options(const std::string& writer, std::uint32_t snapshot_every) {
  state::StreamOptions options;
  options.name = k_stream;
  options.writer = writer;
  options.snapshot_every_records = snapshot_every;
  return options;
}

/// Ticks a new stream until it has caught up or found a gap; returns the CPU time in seconds.
double read_all(standin::LogModel& model, FakeClock& clock, std::uint32_t snapshot_every,
                const std::string& writer) {
  DirectLog log(model, clock);
  Handler handler;
  const auto stream =
      state::make_stream(stream_options(writer, snapshot_every), log, clock, handler);
  const auto begin = cpu_seconds();
  while (!stream->stats().caught_up && !stream->stats().gap) {
    clock.advance(std::chrono::milliseconds{50});
    stream->tick(clock.now());
  }
  return cpu_seconds() - begin;
}

/// Reads the log until this stream has written a snapshot or 200 ticks have passed (an earlier
/// reader may have written one already), and trims the log to the last 200 records.
void write_snapshot(standin::LogModel& model, FakeClock& clock) {
  DirectLog log(model, clock);
  Handler handler;
  const auto stream = state::make_stream(stream_options("writer@1", 100), log, clock, handler);
  constexpr int k_ticks = 200;
  for (int i = 0; i < k_ticks && stream->stats().snapshots_written == 0; ++i) {
    clock.advance(std::chrono::milliseconds{50});
    stream->tick(clock.now());
  }
  constexpr std::uint64_t k_kept_after_snapshot = 200;
  model.trim(k_stream, k_kept_after_snapshot);
}

}  // namespace

std::vector<Row> measure_recovery() {
  std::vector<Point> without;
  std::vector<Point> with;
  for (const std::uint64_t records : {1'000U, 5'000U, 20'000U}) {
    FakeClock clock;
    standin::LogModel model(unlimited());
    fill(model, records, clock.now());
    without.push_back({static_cast<double>(records),
                       read_all(model, clock, 1'000'000, "reader@1") * k_ms_per_second});
    write_snapshot(model, clock);
    with.push_back({static_cast<double>(records),
                    read_all(model, clock, 1'000'000, "reader@2") * k_ms_per_second});
  }
  return {make_row("recovery: replay of all records", "ms/record", without),
          make_row("recovery: from a snapshot", "ms/record", with)};
}

}  // namespace arbutusdale::capacity
