// Several daemons on a log with random faults: late completions, lost replies, appends that take
// effect late, rejections and trimming. The seeds are fixed.
#include "arbutusdale/core/random.hpp"

#include <chrono>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fake_log_test.hpp"
#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::state;
using namespace std::chrono_literals;
using Fault = FakeLog::Fault;

namespace {

/// Forwards the calls to the fake log and its replies with independent random delays.
class DelayedLog final : public backplane::Log {
 public:
  DelayedLog(FakeLog& log, Random& random) : m_log(log), m_random(random) {}

  void append(const std::string& stream, std::string payload,
              backplane::Completion<std::uint64_t> done) override {
    m_steps.push_back([this, stream, payload = std::move(payload), done = std::move(done)] {
      m_log.append(stream, payload, [this, done](Result<std::uint64_t> offset) {
        m_steps.push_back([done, offset] { done(offset); });
      });
    });
  }

  void read(const std::string& stream, std::uint64_t from, std::uint32_t limit,
            backplane::Completion<proto::platform::ReadReply> done) override {
    m_steps.push_back([this, stream, from, limit, done = std::move(done)] {
      m_log.read(stream, from, limit, [this, done](Result<proto::platform::ReadReply> reply) {
        m_steps.push_back([done, reply = std::move(reply)] { done(reply); });
      });
    });
  }

  /// Runs up to `count` of the pending calls and replies in random order.
  void run_some(std::uint64_t count) {
    for (; count > 0 && !m_steps.empty(); --count) {
      const auto at =
          m_steps.begin() + static_cast<std::ptrdiff_t>(random_index(m_random, m_steps.size()));
      const auto step = std::move(*at);
      m_steps.erase(at);
      step();
    }
  }

 private:
  FakeLog& m_log;
  Random& m_random;
  std::vector<std::function<void()>> m_steps;
};

/// Three daemons that propose plans on a log with faults, which end later.
struct Fleet {
  explicit Fleet(std::uint64_t seed) : random(seed), delayed_log(log, random) {
    StreamOptions options;
    options.snapshot_every_records = 15;
    for (const char* writer : {"d1-1", "d2-1", "d3-1"}) {
      options.seed = seed;
      daemons.push_back(std::make_unique<DelayedDaemon>(delayed_log, clock, writer, options));
    }
  }

  struct DelayedDaemon {
    DelayedDaemon(backplane::Log& log, FakeClock& clock, const std::string& writer,
                  StreamOptions options) {
      options.name = "global";
      options.writer = writer;
      stream = make_stream(options, log, clock, handler);
    }
    StateHandler handler;
    std::unique_ptr<Stream> stream;
    std::uint64_t succeeded = 0;
    std::uint64_t paused_rounds = 0;
  };

  void step() {
    clock.advance(50ms);
    for (auto& daemon : daemons) {
      if (daemon->paused_rounds > 0) {
        --daemon->paused_rounds;
        continue;
      }
      daemon->stream->tick(clock.now());
      delayed_log.run_some(random_index(random, 4));
    }
  }

  void inject_faults() {
    log.faults.clear();
    if (random_index(random, 3) == 0) {
      log.faults = {static_cast<Fault>(random_index(random, 6))};
    }
    if (random_index(random, log.unavailable ? 20 : 200) == 0) {
      log.unavailable = !log.unavailable;
    }
    if (random_index(random, 30) == 0) {
      log.deliver_late();
    }
    if (log.entries.size() > 60) {
      log.trim_to(log.next() - 45);
    }
    // The first daemon is never paused, so that some daemon can always write a snapshot.
    auto& daemon = *daemons[1 + random_index(random, daemons.size() - 1)];
    if (random_index(random, 500) == 0) {
      daemon.paused_rounds = random_index(random, 1'500);
    }
  }

  void propose() {
    auto& daemon = *daemons[random_index(random, daemons.size())];
    proto::state::Record record;
    const std::string id = "plan-" + std::to_string(++proposed);
    record.mutable_plan_proposed()->mutable_plan()->set_id(id);
    daemon.stream->propose(
        std::move(record), random_index(random, 2) == 0,
        [&daemon](const Result<std::uint64_t>& offset) { daemon.succeeded += offset ? 1 : 0; });
  }

  FakeLog log;
  FakeClock clock;
  Random random;
  DelayedLog delayed_log;
  std::vector<std::unique_ptr<DelayedDaemon>> daemons;
  std::uint64_t proposed = 0;
};

}  // namespace

// Guards against records that are lost, applied twice or applied in different orders on different
// daemons, and against streams that remain stuck after the log has recovered.
Test(stream_faults, all_daemons_agree_and_nothing_is_lost) {
  std::uint64_t snapshots_loaded = 0;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    Fleet fleet(seed);
    for (int round = 0; round < 3'000; ++round) {
      fleet.inject_faults();
      if (round % 4 == 0) {
        fleet.propose();
      }
      fleet.step();
    }
    fleet.log.unavailable = false;
    fleet.log.faults.clear();
    fleet.log.deliver_late();
    for (int round = 0; round < 3'000; ++round) {
      fleet.step();
    }
    std::uint64_t succeeded = 0;
    const std::string expected = fleet.daemons[0]->handler.state->snapshot().SerializeAsString();
    for (const auto& daemon : fleet.daemons) {
      succeeded += daemon->succeeded;
      snapshots_loaded += daemon->stream->stats().snapshots_loaded;
      cr_assert(daemon->stream->stats().stopped_reason.empty());
      cr_assert_not(daemon->stream->stats().gap, "seed %d", static_cast<int>(seed));
      cr_assert(daemon->handler.state->snapshot().SerializeAsString() == expected, "seed %d",
                static_cast<int>(seed));
    }
    cr_assert_eq(succeeded, fleet.proposed, "seed %d: %d of %d", static_cast<int>(seed),
                 static_cast<int>(succeeded), static_cast<int>(fleet.proposed));
    cr_assert_eq(fleet.daemons[0]->handler.state->plans().size(), fleet.proposed);
  }
  cr_assert_gt(snapshots_loaded, 0U, "no daemon fell behind the log's trim horizon");
}
