// Open-loop load: calls are sent at seeded random times whether or not earlier ones have ended, and
// latencies count from the intended time, so that a slow system cannot hide its own delays.
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
  Duration warm_up = std::chrono::seconds{1};  // calls of this time are sent, but not reported
  Duration duration = std::chrono::seconds{10};
  std::uint64_t max_calls = 1'000'000;  // of all streams, with the warm-up
  std::size_t max_open = 2'000;         // calls beyond are skipped and counted
  Duration timeout = std::chrono::seconds{10};
  std::uint32_t max_connections = 256;
  unsigned threads = 1;
};

/// Calls whose intended time lies after the warm-up.
struct StreamResult {
  LoadStream stream;
  std::uint64_t sent = 0;
  std::uint64_t answered = 0;                   // by a target, with a status below 500
  std::uint64_t server_errors = 0;              // by a target, with a status of 500 or above
  std::uint64_t not_run = 0;                    // refused with this verdict
  std::uint64_t may_have_run = 0;               // refused with this verdict
  std::uint64_t failed = 0;                     // no whole answer received
  std::uint64_t skipped = 0;                    // not sent because max_open calls were open
  std::shared_ptr<observe::Histogram> latency;  // of the answered calls
};

/// Sends the load and waits until every call has ended or timed out.
std::vector<StreamResult> run_load(const LoadOptions& options);

/// Results as an aligned table or as a JSON document; latencies in milliseconds.
std::string format_table(const LoadOptions& options, const std::vector<StreamResult>& results);
std::string format_json(const LoadOptions& options, const std::vector<StreamResult>& results);

}  // namespace arbutusdale::bench
