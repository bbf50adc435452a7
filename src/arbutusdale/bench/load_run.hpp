// Open-loop load generator: calls are sent at seeded random times whether or not earlier ones have
// ended. Latencies count from the intended send time, so that a slow system that delays the sending
// of calls does not hide this delay (coordinated omission).
#pragma once

#include "arbutusdale/core/clock.hpp"
#include "arbutusdale/observe/metrics.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace arbutusdale::bench {

/// Calls of one team to one service.
struct LoadStream {
  std::string team = "default";
  std::string path = "/";
  std::string method = "GET";
  double rate = 100;           // calls per second, Poisson arrivals
  std::size_t body_bytes = 0;  // of each request
};

struct LoadOptions {
  std::string address = "127.0.0.1:8080";  // host:port
  std::vector<LoadStream> streams;
  std::uint64_t seed = 1;
  Duration warm_up = std::chrono::seconds{1};  // calls sent in this time are not reported
  Duration duration = std::chrono::seconds{10};
  std::uint64_t max_calls = 1'000'000;  // of all streams, including the warm-up
  std::size_t max_open = 2'000;         // further calls are skipped and counted
  Duration timeout = std::chrono::seconds{10};
  std::uint32_t max_connections = 256;
  unsigned threads = 1;
};

/// Results of one stream over the calls whose intended send time is after the warm-up.
struct StreamResult {
  LoadStream stream;
  std::uint64_t sent = 0;
  std::uint64_t answered = 0;                   // by a target, with a status below 500
  std::uint64_t server_errors = 0;              // by a target, with a status of 500 or above
  std::uint64_t not_run = 0;                    // refused with the verdict not_run
  std::uint64_t may_have_run = 0;               // refused with the verdict may_have_run
  std::uint64_t failed = 0;                     // no complete answer received
  std::uint64_t skipped = 0;                    // not sent because max_open calls were open
  std::shared_ptr<observe::Histogram> latency;  // of the answered calls
};

/// Sends the load and waits until every call has ended or timed out.
std::vector<StreamResult> run_load(const LoadOptions& options);

/// Formats the results as an aligned table or as a JSON document, with latencies in milliseconds.
std::string format_table(const LoadOptions& options, const std::vector<StreamResult>& results);
std::string format_json(const LoadOptions& options, const std::vector<StreamResult>& results);

}  // namespace arbutusdale::bench
