// Tests the sizes and time limits of reads, and what a follower asks for again after a time-out.
#include "arbutusdale/store/read_pacing.hpp"

#include "arbutusdale/store/partition_follower.hpp"

#include <algorithm>
#include <chrono>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fake_store_test.hpp"
#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::store;
using namespace std::chrono_literals;

namespace {

const Partition k_partition{"topic", 0};

/// Does not answer the calls that it is told to lose until they time out.
class LossyStore final : public MetadataStore {
 public:
  LossyStore(FakeStore& inner, FakeTimer& timer) : m_inner(inner), m_timer(timer) {}

  int lost_reads = 0;                    // number of the next reads that time out
  bool is_silent = false;                // all reads time out
  std::set<std::string> lost_pages;      // the next scan after each of these keys times out
  std::vector<std::string> scans_after;  // keys, in the order of the calls
  std::vector<ReadRequest> reads;

  void append(AppendRequest request, AppendDone done) override {
    m_inner.append(std::move(request), std::move(done));
  }
  void read(ReadRequest request, ReadDone done) override {
    reads.push_back(request);
    if (lost_reads > 0 || is_silent) {
      lost_reads = std::max(lost_reads - 1, 0);
      const Duration timeout = std::chrono::milliseconds{request.wait_ms} + request.reply_timeout;
      m_timer.call_after(timeout, [done = std::move(done)] {
        done(tl::unexpected(ReadError{ReadFailure::timed_out, "no reply"}));
      });
      return;
    }
    m_inner.read(std::move(request), std::move(done));
  }
  void scan(Partition partition, std::string after_key, ScanDone done) override {
    scans_after.push_back(after_key);
    if (lost_pages.erase(after_key) > 0) {
      m_timer.call_after(2s, [done = std::move(done)] {
        done(tl::unexpected(ReadError{ReadFailure::timed_out, "no reply"}));
      });
      return;
    }
    m_inner.scan(std::move(partition), std::move(after_key), std::move(done));
  }

 private:
  FakeStore& m_inner;
  FakeTimer& m_timer;
};

struct RecordCount final : PartitionListener {
  std::size_t seen = 0;
  void on_record(const Record& /*record*/) override { ++seen; }
};

struct Fixture {
  FakeTimer timer;
  FakeStore fake{timer};
  LossyStore store{fake, timer};
  RecordCount listener;
  PartitionFollower follower{store, timer, {k_partition, 600, 0ms}, listener};

  Fixture() {
    for (int i = 0; i < 9; ++i) {  // three pages of a scan
      fake.put(k_partition, "key" + std::to_string(i), "value");
    }
  }
};

}  // namespace

// Guards against a view that stays old for long after a network or a store that was away.
Test(read_pacing, waits_and_delays_are_bounded) {
  ReadPacing pacing(1);
  for (int i = 0; i < 20; ++i) {
    cr_assert_leq(pacing.on_timeout(), 300ms);
    cr_assert_leq(pacing.reply_timeout(), 2500ms);
  }
  cr_assert_eq(pacing.reply_timeout(), 2500ms);
  cr_assert_lt(pacing.max_kib(), ReadRequest{}.max_kib / 8);
  for (int i = 0; i < 4; ++i) {
    pacing.on_reply(10ms, true);
  }
  cr_assert_eq(pacing.reply_timeout(), ReadRequest{}.reply_timeout);
  cr_assert_geq(pacing.max_kib(), ReadRequest{}.max_kib / 2);
}

// Guards against daemons that all ask again at the same moment.
Test(read_pacing, followers_with_other_seeds_retry_at_other_times) {
  std::set<Duration> delays;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    ReadPacing pacing(seed);
    delays.insert(pacing.on_timeout());
  }
  cr_assert_geq(delays.size(), 15U);
}

// Guards against a follower that lags and asks for the largest page at once, as all others do.
Test(read_pacing, pages_grow_while_replies_are_quick) {
  ReadPacing pacing(1);
  const std::size_t first = pacing.max_kib();
  cr_assert_lt(first, ReadRequest{}.max_kib);
  pacing.on_reply(1s, true);
  cr_assert_eq(pacing.max_kib(), first);
  pacing.on_reply(10ms, true);
  cr_assert_gt(pacing.max_kib(), first);
  pacing.on_reply(10ms, false);
  cr_assert_eq(pacing.max_kib(), first);
}

// Guards against a daemon that falls further and further behind a busy partition, since its pages
// stay small while replies take some tenths of a second.
Test(read_pacing, pages_grow_while_replies_take_half_a_second) {
  ReadPacing pacing(1);
  const std::size_t first = pacing.max_kib();
  pacing.on_reply(500ms, true);
  cr_assert_gt(pacing.max_kib(), first);
}

// Guards against a record that never fits in the pages that a follower asks for.
Test(read_pacing, a_page_without_a_record_is_followed_by_the_largest) {
  ReadPacing pacing(1);
  (void)pacing.on_timeout();
  pacing.on_page_too_small();
  cr_assert_eq(pacing.max_kib(), ReadRequest{}.max_kib);
}

// Guards against a scan of many pages that begins again with each page that times out.
Test(partition_follower, a_scan_goes_on_with_the_page_that_timed_out) {
  Fixture f;
  f.store.lost_pages = {"key2", "key5"};
  f.follower.start();
  f.timer.advance(6s);
  cr_assert(f.follower.is_loaded());
  const std::vector<std::string> expected{"", "key2", "key2", "key5", "key5"};
  cr_assert(f.store.scans_after == expected);
  cr_assert_eq(f.listener.seen, 9U);
}

// Guards against several reads of the same records, one for each time that a daemon has begun or
// ceased to lead while its reads time out.
Test(partition_follower, reads_at_once_are_not_sent_side_by_side) {
  Fixture f;
  f.follower.start();
  f.timer.advance(200ms);
  const std::size_t before = f.store.reads.size();
  f.store.lost_reads = 1;
  for (int i = 0; i < 5; ++i) {
    f.follower.catch_up();
  }
  cr_assert_eq(f.store.reads.size(), before + 1);
  const TimePoint asked_at = f.timer.now();
  f.timer.advance(4s);
  cr_assert_geq(*f.follower.fresh_as_of(), asked_at);
}

// Guards against a configuration that a daemon reads too late after a silence of the network: the
// last read that was lost has to time out first, and must not wait for a record besides.
Test(partition_follower, reads_again_within_three_seconds_of_a_silence) {
  for (Duration silence = 4s; silence <= 8s; silence += 100ms) {
    Fixture f;
    f.follower.start();
    f.timer.advance(200ms);
    f.store.is_silent = true;
    f.timer.advance(silence);
    f.store.is_silent = false;
    f.fake.put(k_partition, "new", "value");
    const std::size_t before = f.listener.seen;
    f.timer.advance(3s);
    cr_expect_eq(
        f.listener.seen, before + 1, "silent for %ld ms",
        static_cast<long>(std::chrono::duration_cast<std::chrono::milliseconds>(silence).count()));
  }
}
