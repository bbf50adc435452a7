// Asynchronous HTTP/1.1 client on one libcurl thread. Bounds the calls in flight and in the queue
// and reports for each failed call whether the request may have run.
#pragma once

#include "arbutusdale/core/clock.hpp"
#include "arbutusdale/core/verdict.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace arbutusdale::backplane {

/// Posts a function to the control thread. Thread-safe; must stay valid until the engine stops.
using Executor = std::function<void(std::function<void()>)>;

/// An HTTP request and the callback for its outcome.
struct HttpCall {
  std::string url;
  std::optional<std::string> body;  // POST with this body if set, GET otherwise
  Duration timeout{};               // from submission to the last byte of the response
  /// Uses a new connection that is closed after the call, so that the call does not fail because
  /// the server has closed an idle one.
  bool fresh_connection = false;
  /// When a reused connection closes before the first byte of the response, libcurl sends the
  /// request again on a new one. Otherwise the call fails with `may_have_run`. The outcome tells of
  /// the last copy only: its refusal doesn't prove that an earlier copy was not carried out.
  bool is_repeatable = false;
  std::function<void(Result<std::string>)> done;  // receives the body of a 200 response
};

/// Limits of an engine.
struct HttpEngineOptions {
  std::size_t max_active = 256;             // calls in flight
  std::size_t max_queued = 4'096;           // calls waiting to start; further calls are rejected
  std::size_t max_body_bytes = 16'777'216;  // per response
  std::size_t max_idle_connections = 512;   // kept for reuse
  std::uint32_t max_connection_age_s =
      60;  // limits the reuse of a dead connection that was not closed
};

/// Totals since the engine was created.
struct HttpEngineStats {
  std::uint64_t submitted = 0;
  std::uint64_t refused = 0;   // rejected: queue full or engine stopped
  std::uint64_t answered = 0;  // status 200
  std::uint64_t failed = 0;    // everything else, `refused` included
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
};

/// Runs calls and invokes the completion of each exactly once, through the executor.
///
/// The verdict of a failed call is `not_run` if the engine rejected it, if it timed out in the
/// queue, if no connection was established, or if the server responded with 4xx or 503, which in
/// the platform's protocol means that nothing was done. It is `may_have_run` for every other
/// failure.
class HttpEngine {
 public:
  HttpEngine() = default;
  HttpEngine(const HttpEngine&) = delete;
  HttpEngine& operator=(const HttpEngine&) = delete;
  virtual ~HttpEngine() = default;

  /// Queues a call. Thread-safe and non-blocking.
  virtual void submit(HttpCall call) = 0;

  /// Fails all pending calls with `unavailable` and joins the thread. Later calls are rejected.
  virtual void stop() = 0;

  [[nodiscard]] virtual HttpEngineStats stats() const = 0;
};

std::unique_ptr<HttpEngine> make_http_engine(HttpEngineOptions options, Executor executor);

}  // namespace arbutusdale::backplane
