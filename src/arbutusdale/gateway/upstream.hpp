// HTTP client for targets and peers on libcurl's multi interface. Hosts are divided among the
// engine threads; each thread owns all connections to its hosts.
#pragma once

#include "arbutusdale/core/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "headers.hpp"

namespace arbutusdale::gateway {

struct UpstreamOptions {
  unsigned threads = 1;
  std::uint32_t max_host_connections = 64;
  Duration connect_timeout = std::chrono::seconds{1};
  std::uint32_t idle_age_s = 15;
  std::uint32_t lifetime_s = 120;
};

/// One request to one host.
struct UpstreamRequest {
  std::string address;  // host:port
  std::string method;
  std::string target;  // path and query, sent unchanged
  HeaderList headers;
  std::string_view body;  // must live until the transfer has ended
  bool has_body = false;
  /// Forbids a reused connection: libcurl silently sends a request again when a reused connection
  /// closes before the first byte of the answer.
  bool fresh_connection = false;
  Duration timeout{};
  Duration silence{};  // time without a byte after which the transfer is aborted
};

enum class UpstreamResult : std::uint8_t {
  complete,   ///< whole answer received
  not_sent,   ///< it is certain that no byte of the request was sent
  lost,       ///< failed after a byte of the request was sent, or no byte for the silence limit
  timed_out,  ///< the timeout passed after a byte of the request was sent
  abandoned,  ///< the sink or the engine aborted the transfer
};

struct UpstreamEnd {
  UpstreamResult result = UpstreamResult::lost;
  Duration total{};
  Duration sent_after{};  // from the start until the connection was ready for the request
  std::string message;
};

enum class SinkResult : std::uint8_t {
  taken,
  pause,    ///< nothing was consumed; the data is delivered again after `resume`
  abandon,  ///< abort the transfer
};

/// Receives an answer; all callbacks but `on_start` run on the engine's thread. Interim answers
/// (1xx) are skipped.
class TransferSink {
 public:
  TransferSink() = default;
  TransferSink(const TransferSink&) = delete;
  TransferSink& operator=(const TransferSink&) = delete;
  virtual ~TransferSink() = default;

  /// The first callback, on the thread that starts the transfer.
  virtual void on_start(std::uint64_t id) = 0;
  /// `length` is the size of the body when the header gives it.
  virtual SinkResult on_head(int status, HeaderList headers,
                             std::optional<std::uint64_t> length) = 0;
  virtual SinkResult on_data(std::string_view data) = 0;
  /// The last callback of a transfer.
  virtual void on_end(const UpstreamEnd& end) = 0;
};

class Upstream {
 public:
  Upstream() = default;
  Upstream(const Upstream&) = delete;
  Upstream& operator=(const Upstream&) = delete;
  virtual ~Upstream() = default;

  /// Starts a transfer. Thread-safe; never blocks on I/O.
  virtual void start(UpstreamRequest request, std::shared_ptr<TransferSink> sink) = 0;
  /// Resumes a paused transfer; no effect when it has ended. Thread-safe.
  virtual void resume(std::uint64_t id) = 0;
};

/// Transfers still open when it is destroyed end as `abandoned`.
std::unique_ptr<Upstream> make_upstream(const UpstreamOptions& options);

}  // namespace arbutusdale::gateway
