// Tests of snapshots in the stream: several writers, incomplete snapshots, trimming and gaps.
#include <chrono>
#include <string>

#include "fake_log_test.hpp"
#include "snapshot_chunks.hpp"
#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::state;
using namespace std::chrono_literals;

namespace {

StreamOptions small_options() {
  StreamOptions options;
  options.snapshot_every_records = 20;
  return options;
}

void propose_many(FakeClock& clock, Daemon& daemon, int count, const std::vector<Daemon*>& all) {
  static int s_number = 0;
  for (int i = 0; i < count; ++i) {
    daemon.propose("plan-" + std::to_string(++s_number));
    run(clock, 50ms, all);
  }
}

}  // namespace

// Guards against data lost at chunk boundaries, and against failures on chunks that arrive out of
// order or twice.
Test(snapshot, chunks_round_trip) {
  const std::string data(3 * k_snapshot_chunk_bytes + 17, 'd');
  auto chunks = split_snapshot("w/snapshot-9", 9, data);
  cr_assert_eq(chunks.size(), 4U);
  SnapshotAssembler assembler;
  cr_assert_not(assembler.add(13, chunks[3]));
  cr_assert_not(assembler.add(10, chunks[0]));
  cr_assert_not(assembler.add(10, chunks[0]));
  cr_assert_not(assembler.add(12, chunks[2]));
  const auto complete = assembler.add(11, chunks[1]);
  cr_assert(complete);
  cr_assert(complete->data == data);
  cr_assert_eq(complete->covered_offset, 9U);
}

// Guards against a corrupted snapshot that is accepted as valid.
Test(snapshot, checksum_rejects_corruption) {
  auto chunks = split_snapshot("w/snapshot-9", 9, "state");
  chunks[0].set_data("stale");
  cr_assert_not(SnapshotAssembler{}.add(10, chunks[0]));
}

// Guards against a new daemon that cannot start from a trimmed log.
Test(snapshot, new_daemon_starts_from_a_snapshot) {
  FakeLog log;
  FakeClock clock;
  Daemon writer(log, clock, "d1-1", small_options());
  writer.handler.padding = std::string(2 * k_snapshot_chunk_bytes, 'p');
  run(clock, 100ms, {&writer});
  propose_many(clock, writer, 30, {&writer});
  run(clock, 2s, {&writer});
  cr_assert_eq(writer.stream->stats().snapshots_written, 1U);
  log.trim_to(10);
  Daemon reader(log, clock, "d2-1", small_options());
  reader.handler.padding = writer.handler.padding;
  run(clock, 1s, {&reader});
  cr_assert_eq(reader.stream->stats().snapshots_loaded, 1U);
  cr_assert(reader.stream->stats().caught_up);
  cr_assert_not(reader.stream->stats().gap);
  cr_assert(reader.text() == writer.text());
}

// Guards against every daemon writing a snapshot each time one is due.
Test(snapshot, only_the_lowest_rank_writes) {
  FakeLog log;
  FakeClock clock;
  Daemon first(log, clock, "d1-1", small_options());
  Daemon second(log, clock, "d2-1", small_options());
  second.stream->set_snapshot_rank(1);
  run(clock, 100ms, {&first, &second});
  propose_many(clock, first, 30, {&first, &second});
  run(clock, 10s, {&first, &second});
  cr_assert_eq(first.stream->stats().snapshots_written, 1U);
  cr_assert_eq(second.stream->stats().snapshots_written, 0U);
}

// Guards against a reader that mixes up the interleaved snapshots of two writers.
Test(snapshot, two_writers_at_once) {
  FakeLog log;
  FakeClock clock;
  Daemon first(log, clock, "d1-1", small_options());
  Daemon second(log, clock, "d2-1", small_options());
  first.handler.padding = second.handler.padding = std::string(3 * k_snapshot_chunk_bytes, 'p');
  run(clock, 100ms, {&first, &second});
  propose_many(clock, first, 30, {&first, &second});
  run(clock, 5s, {&first, &second});
  log.trim_to(21);
  Daemon reader(log, clock, "d3-1", small_options());
  reader.handler.padding = first.handler.padding;
  run(clock, 1s, {&reader});
  cr_assert(reader.text() == first.text());
  cr_assert(second.text() == first.text());
}

// Guards against an incomplete snapshot that is loaded, or that hides an older complete one.
Test(snapshot, incomplete_snapshot_is_ignored) {
  FakeLog log;
  FakeClock clock;
  Daemon writer(log, clock, "d1-1", small_options());
  run(clock, 100ms, {&writer});
  propose_many(clock, writer, 30, {&writer});
  run(clock, 1s, {&writer});
  const auto chunks =
      split_snapshot("dead/snapshot", log.next(), std::string(2 * k_snapshot_chunk_bytes, 'x'));
  proto::state::Batch batch;
  batch.add_records()->set_format(k_record_format);
  *batch.mutable_records(0)->mutable_snapshot_chunk() = chunks[0];
  log.entries.push_back(batch.SerializeAsString());
  log.trim_to(5);
  Daemon reader(log, clock, "d2-1", small_options());
  run(clock, 1s, {&reader, &writer});
  cr_assert(reader.text() == writer.text());
  cr_assert_not(reader.stream->stats().gap);
}

// Guards against appending records to a log that no new daemon could follow: after an outage in
// which the last snapshot was trimmed, a daemon appends a snapshot before any record, even if its
// rank is not the lowest.
Test(snapshot, appends_a_snapshot_before_records_after_trimming) {
  FakeLog log;
  FakeClock clock;
  Daemon daemon(log, clock, "d1-1");
  daemon.stream->set_snapshot_rank(1);
  run(clock, 100ms, {&daemon});
  propose_many(clock, daemon, 5, {&daemon});
  log.unavailable = true;
  daemon.propose("in-outage");
  run(clock, 5s, {&daemon});
  log.trim_to(5);
  log.unavailable = false;
  run(clock, 1500ms, {&daemon});
  cr_assert(log.entries.empty());
  run(clock, 10s, {&daemon});
  proto::state::Batch batch;
  cr_assert(batch.ParseFromString(log.entries.front()));
  cr_assert(batch.records(0).has_snapshot_chunk());
  cr_assert(daemon.has_plan("in-outage"));
  Daemon reader(log, clock, "d2-1");
  run(clock, 1s, {&reader});
  cr_assert(reader.text() == daemon.text());
}

// Guards against loading a complete snapshot although records after it were trimmed.
Test(snapshot, snapshot_below_the_trim_horizon_is_not_loaded) {
  FakeLog log;
  FakeClock clock;
  Daemon writer(log, clock, "d1-1");
  run(clock, 100ms, {&writer});
  const std::string early = writer.handler.save_snapshot();
  propose_many(clock, writer, 5, {&writer});
  proto::state::Batch batch;
  batch.add_records()->set_format(k_record_format);
  *batch.mutable_records(0)->mutable_snapshot_chunk() = split_snapshot("w/s", 2, early)[0];
  log.entries.push_back(batch.SerializeAsString());
  log.trim_to(4);
  Daemon reader(log, clock, "d2-1");
  run(clock, 1s, {&reader});
  cr_assert(reader.stream->stats().gap);
  cr_assert_eq(reader.stream->stats().snapshots_loaded, 0U);
}

// Guards against a gap that is not reported, and against records appended before it is closed.
Test(snapshot, gap_is_reported_until_a_peer_snapshot_is_installed) {
  FakeLog log;
  FakeClock clock;
  Daemon writer(log, clock, "d1-1");
  run(clock, 100ms, {&writer});
  propose_many(clock, writer, 8, {&writer});
  log.trim_to(4);
  Daemon reader(log, clock, "d2-1");
  reader.propose("early");
  run(clock, 1s, {&reader});
  cr_assert(reader.stream->stats().gap);
  cr_assert(reader.outcomes.empty());
  const auto covered = writer.stream->stats().next_offset;
  cr_assert(reader.stream->install_snapshot(covered, writer.handler.save_snapshot()));
  run(clock, 5s, {&reader, &writer});
  cr_assert_not(reader.stream->stats().gap);
  cr_assert(reader.has_plan("early"));
  cr_assert(reader.text() == writer.text());
}

// Guards against a gap that remains although another daemon writes a snapshot later.
Test(snapshot, gap_ends_with_a_later_snapshot) {
  FakeLog log;
  FakeClock clock;
  Daemon writer(log, clock, "d1-1");
  run(clock, 100ms, {&writer});
  propose_many(clock, writer, 8, {&writer});
  log.trim_to(8);
  Daemon reader(log, clock, "d2-1");
  run(clock, 1s, {&reader});
  cr_assert(reader.stream->stats().gap);
  run(clock, 2s, {&writer, &reader});
  cr_assert_not(reader.stream->stats().gap);
  cr_assert(reader.text() == writer.text());
}

// Guards against a record that takes effect twice, or whose callback is never called, when the log
// trims it before its writer has read it back.
Test(snapshot, lost_reply_trimmed_before_reading) {
  FakeLog log;
  FakeClock clock;
  Daemon daemon(log, clock, "d1-1");
  Daemon other(log, clock, "d2-1");
  run(clock, 100ms, {&daemon, &other});
  log.faults = {FakeLog::Fault::no_reply};
  daemon.propose("a");
  proto::state::Batch batch;
  auto& record = *batch.add_records();
  record.set_id("d1-1/1");
  record.set_format(k_record_format);
  record.mutable_plan_proposed()->mutable_plan()->set_id("a");
  log.entries.push_back(batch.SerializeAsString());
  run(clock, 1s, {&other});
  log.trim_to(1);
  run(clock, 2s, {&other});
  run(clock, 5s, {&daemon, &other});
  cr_assert_eq(daemon.stream->stats().snapshots_loaded, 1U);
  cr_assert_eq(daemon.outcomes.size(), 1U);
  cr_assert(daemon.outcomes[0].has_value());
  cr_assert(daemon.text() == other.text());
  cr_assert_eq(other.handler.state->plans().size(), 1U);
}

// Guards against a peer's snapshot that resets the state to an older one.
Test(snapshot, older_snapshot_is_not_installed) {
  FakeLog log;
  FakeClock clock;
  Daemon daemon(log, clock, "d1-1");
  run(clock, 100ms, {&daemon});
  const std::string old = daemon.handler.save_snapshot();
  propose_many(clock, daemon, 3, {&daemon});
  cr_assert_not(daemon.stream->install_snapshot(1, old));
}

// Guards against endless snapshots in a log that retains few entries: the entries of a large
// snapshot count towards the next one.
Test(snapshot, large_snapshots_do_not_trigger_snapshots) {
  FakeLog log;
  FakeClock clock;
  Daemon daemon(log, clock, "d1-1", small_options());
  daemon.handler.padding = std::string(100 * k_snapshot_chunk_bytes, 'p');
  run(clock, 100ms, {&daemon});
  propose_many(clock, daemon, 21, {&daemon});
  run(clock, 5s, {&daemon});
  const auto entries = log.entries.size();
  run(clock, 60s, {&daemon});
  cr_assert_eq(log.entries.size(), entries);
}
