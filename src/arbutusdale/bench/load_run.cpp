// Schedules the calls of an open-loop run and counts their results.
#include "load_run.hpp"

#include "arbutusdale/core/random.hpp"
#include "arbutusdale/gateway/upstream.hpp"

#include <atomic>
#include <cmath>
#include <thread>

#include <sys/prctl.h>

namespace arbutusdale::bench {
namespace {

using Steady = std::chrono::steady_clock;
using gateway::HeaderList;
using gateway::SinkResult;
using gateway::UpstreamEnd;
using gateway::UpstreamResult;

// The kernel's default timer slack of 50 us would be a large part of the latency on loopback.
constexpr unsigned long k_timer_slack_ns = 1'000;

/// Counters of a stream, updated by the threads of the HTTP client during the run.
struct StreamCounts {
  std::atomic<std::uint64_t> answered{0};
  std::atomic<std::uint64_t> server_errors{0};
  std::atomic<std::uint64_t> not_run{0};
  std::atomic<std::uint64_t> may_have_run{0};
  std::atomic<std::uint64_t> failed{0};
  std::shared_ptr<observe::Histogram> latency = observe::make_histogram();
};

/// Receives the answer to one call and counts its result.
class LoadCall final : public gateway::TransferSink {
 public:
  LoadCall(StreamCounts& counts, std::atomic<std::size_t>& open, Steady::time_point intended,
           bool reported)
      : m_counts(counts), m_open(open), m_intended(intended), m_reported(reported) {}

  void on_start(std::uint64_t /*id*/) override {}

  SinkResult on_head(int status, HeaderList headers,
                     std::optional<std::uint64_t> /*length*/) override {
    m_status = status;
    const auto* verdict = gateway::find_header(headers, gateway::k_verdict_header);
    m_verdict = verdict == nullptr ? "" : *verdict;
    return SinkResult::taken;
  }

  SinkResult on_data(std::string_view /*data*/) override { return SinkResult::taken; }

  void on_end(const UpstreamEnd& end) override {
    if (m_reported) {
      count(end);
    }
    m_open.fetch_sub(1);
  }

 private:
  void count(const UpstreamEnd& end) {
    if (end.result != UpstreamResult::complete) {
      ++m_counts.failed;
    } else if (m_verdict == "not_run") {
      ++m_counts.not_run;
    } else if (m_verdict == "may_have_run") {
      ++m_counts.may_have_run;
    } else if (m_status >= 500) {
      ++m_counts.server_errors;
    } else {
      ++m_counts.answered;
      const std::chrono::duration<double> latency = Steady::now() - m_intended;
      m_counts.latency->record(latency.count());
    }
  }

  StreamCounts& m_counts;
  std::atomic<std::size_t>& m_open;
  const Steady::time_point m_intended;
  const bool m_reported;
  int m_status = 0;
  std::string m_verdict;
};

/// Stream with the send time of its next call and its counters.
struct Source {
  LoadStream stream;
  Random random;
  Steady::time_point next;
  std::string body;
  StreamCounts counts;
  std::uint64_t sent = 0;
  std::uint64_t skipped = 0;

  void advance() {
    const double gap = -std::log(1.0 - random_unit(random)) / stream.rate;
    next += std::chrono::duration_cast<Steady::duration>(std::chrono::duration<double>(gap));
  }
};

class LoadRun {
 public:
  explicit LoadRun(const LoadOptions& options) : m_options(options) {
    gateway::UpstreamOptions upstream;
    upstream.threads = options.threads;
    upstream.max_host_connections = options.max_connections;
    m_upstream = gateway::make_upstream(upstream);
    for (std::size_t i = 0; i < options.streams.size(); ++i) {
      auto source = std::make_unique<Source>();
      source->stream = options.streams[i];
      source->random.seed(options.seed + i);
      source->body.assign(source->stream.body_bytes, 'x');
      m_sources.push_back(std::move(source));
    }
  }

  std::vector<StreamResult> run() {
    prctl(PR_SET_TIMERSLACK, k_timer_slack_ns, 0, 0, 0);
    const auto start = Steady::now();
    const auto reported_from = start + m_options.warm_up;
    const auto end = reported_from + m_options.duration;
    for (auto& source : m_sources) {
      source->next = start;
      source->advance();
    }
    for (std::uint64_t calls = 0; calls < m_options.max_calls; ++calls) {
      Source* source = earliest();
      if (source == nullptr || source->next >= end) {
        break;
      }
      std::this_thread::sleep_until(source->next);
      send(*source, source->next >= reported_from);
      source->advance();
    }
    while (m_open > 0) {
      std::this_thread::sleep_for(std::chrono::milliseconds{1});
    }
    return results();
  }

 private:
  Source* earliest() {
    Source* first = nullptr;
    for (auto& source : m_sources) {
      if (first == nullptr || source->next < first->next) {
        first = source.get();
      }
    }
    return first;
  }

  void send(Source& source, bool reported) {
    if (m_open >= m_options.max_open) {
      source.skipped += reported ? 1 : 0;
      return;
    }
    source.sent += reported ? 1 : 0;
    m_open.fetch_add(1);
    gateway::UpstreamRequest request;
    request.address = m_options.address;
    request.method = source.stream.method;
    request.target = source.stream.path;
    request.headers = {{std::string(gateway::k_team_header), source.stream.team}};
    request.body = source.body;
    request.has_body = !source.body.empty();
    request.timeout = m_options.timeout;
    request.silence = m_options.timeout;
    m_upstream->start(std::move(request),
                      std::make_shared<LoadCall>(source.counts, m_open, source.next, reported));
  }

  [[nodiscard]] std::vector<StreamResult> results() const {
    std::vector<StreamResult> results;
    for (const auto& source : m_sources) {
      StreamResult result;
      result.stream = source->stream;
      result.sent = source->sent;
      result.skipped = source->skipped;
      result.answered = source->counts.answered;
      result.server_errors = source->counts.server_errors;
      result.not_run = source->counts.not_run;
      result.may_have_run = source->counts.may_have_run;
      result.failed = source->counts.failed;
      result.latency = source->counts.latency;
      results.push_back(std::move(result));
    }
    return results;
  }

  const LoadOptions& m_options;
  std::atomic<std::size_t> m_open{0};
  std::vector<std::unique_ptr<Source>> m_sources;
  std::unique_ptr<gateway::Upstream> m_upstream;  // destroyed before the sources that its sinks use
};

}  // namespace

std::vector<StreamResult> run_load(const LoadOptions& options) {
  return LoadRun(options).run();
}

}  // namespace arbutusdale::bench
