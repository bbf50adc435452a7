// HTTP gateway of a daemon: accepts calls, submits them to the router, sends them to targets and
// streams the answers back. A separate listener serves the admin routes.
#pragma once

#include "arbutusdale/core/clock.hpp"
#include "arbutusdale/core/verdict.hpp"
#include "arbutusdale/gateway/admin.hpp"
#include "arbutusdale/observe/metrics.hpp"
#include "arbutusdale/observe/trace.hpp"
#include "arbutusdale/routing/key_table.hpp"
#include "arbutusdale/routing/request_router.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace arbutusdale::gateway {

/// A bearer token and the principal that it authenticates.
struct AdminToken {
  std::string token;
  Principal principal;
};

struct GatewayOptions {
  std::string daemon;
  std::string caller_listen = "127.0.0.1:8080";  // IP:port; port 0 chooses a free one
  std::string admin_listen = "127.0.0.1:8081";   // IP:port; port 0 chooses a free one
  std::string fleet_token;  // authenticates forwarded calls; empty accepts and forwards none
  std::vector<AdminToken> admin_tokens;

  unsigned caller_threads = 2;
  unsigned upstream_threads = 1;
  unsigned max_caller_connections = 8'192;
  std::size_t max_header_bytes = 32'768;         // request line and headers of one call
  std::size_t max_body_bytes = 8'388'608;        // request body of one call
  std::size_t max_buffered_bytes = 134'217'728;  // request bodies of all calls
  unsigned idle_timeout_s = 60;                  // caller connections without progress

  std::uint32_t max_target_connections = 64;  // to one host
  Duration connect_timeout = std::chrono::seconds{1};
  Duration max_timeout = std::chrono::minutes{10};    // longest deadline a caller may ask for
  Duration min_silence = std::chrono::seconds{2};     // lower bound of the time without a
                                                      // byte after which an attempt ends
  std::uint32_t idle_connection_age_s = 15;           // limit for idle target connections
  std::uint32_t connection_lifetime_s = 120;          // limit for target connections
  Duration drain_notice = std::chrono::seconds{3};    // time not ready, but still accepting
  Duration drain_timeout = std::chrono::seconds{60};  // longest wait for open calls
};

/// Where the decision on an idempotency key is made.
struct KeyRoute {
  enum class Kind : std::uint8_t {
    here,         ///< the key's home is this daemon's failure domain
    forward,      ///< the daemon at `address` takes the call
    unreachable,  ///< no daemon of the home domain is known to be reachable
  };
  Kind kind = Kind::here;
  std::string address;  // host:port of that daemon's caller listener; only with `forward`
};

/// Decides on calls with an idempotency key; implemented on the control thread over KeyTable.
/// All functions may be called on any thread and never block on the decision.
class KeyGate {
 public:
  KeyGate() = default;
  KeyGate(const KeyGate&) = delete;
  KeyGate& operator=(const KeyGate&) = delete;
  virtual ~KeyGate() = default;

  /// Returns where the key is decided. Not called for calls that were forwarded to this daemon.
  virtual KeyRoute route(const routing::KeyedCall& call) = 0;
  /// Asks for permission to send. `decided` is invoked exactly once, on any thread.
  virtual void request(const routing::KeyedCall& call,
                       routing::KeyTable::DecisionCallback decided) = 0;
  /// Called exactly once at the end of a permitted call. `not_run` frees the key; otherwise
  /// `answer` is stored, which is empty when the answer was lost or too large to store.
  virtual void finish(const routing::KeyedCall& call, bool not_run, std::string answer) = 0;
};

/// Dependencies of the gateway; `keys`, `tracer` and `admin` may be null. All must outlive the
/// gateway, and a KeyGate must not invoke a decision callback while the gateway is destroyed.
struct GatewayParts {
  std::unique_ptr<routing::RequestRouter> router;
  const Clock* clock = nullptr;
  observe::Registry* registry = nullptr;
  observe::Tracer* tracer = nullptr;
  KeyGate* keys = nullptr;
  AdminHandler* admin = nullptr;
};

/// All functions are thread-safe, except that `start`, `drain` and the destructor must be called on
/// the same thread.
///
/// Lock order, outermost first; a thread that holds one of these locks acquires only later ones:
///   1. Dispatcher::m_mutex (router, table of calls, services)
///   2. HttpServer::m_mutex (table of open exchanges)
///   3. Exchange::m_mutex (caller side of one call)
///   4. queue locks of upstream engines, tracer and registry
/// No callback into the router, the KeyGate or the AdminHandler runs under locks 2 to 4, and no
/// call into libcurl runs under any of them. libmicrohttpd may hold its lock of a response while it
/// calls the body reader, which takes lock 3; lock 3 is held only around suspend and resume.
class Gateway {
 public:
  Gateway() = default;
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;
  virtual ~Gateway() = default;

  /// Opens both listeners. Fails with `invalid_argument` or `unavailable`.
  virtual Result<void> start() = 0;
  /// Sets the answer of /readyz, which contains `reason` while not ready. Initially not ready.
  virtual void set_ready(bool ready, const std::string& reason) = 0;
  /// Graceful shutdown: reports not ready, then refuses new connections, then waits for open calls.
  /// Returns the number of calls that were cut off because `drain_timeout` passed, normally 0.
  virtual std::size_t drain() = 0;

  [[nodiscard]] virtual std::uint16_t caller_port() const = 0;
  [[nodiscard]] virtual std::uint16_t admin_port() const = 0;

  virtual void set_services(const std::vector<routing::ServiceConfig>& services,
                            const std::vector<routing::TeamConfig>& teams) = 0;
  virtual void set_targets(const std::string& service,
                           const std::vector<routing::TargetInfo>& targets) = 0;
  virtual void set_peers(const std::string& service,
                         const std::vector<routing::PeerInfo>& own_domain,
                         const std::vector<routing::PeerInfo>& other_domains) = 0;
  [[nodiscard]] virtual std::vector<routing::ServiceStats> figures() const = 0;
  /// Number of calls accepted and not yet fully answered.
  [[nodiscard]] virtual std::size_t open_calls() const = 0;
};

std::unique_ptr<Gateway> make_gateway(GatewayOptions options, GatewayParts parts);

}  // namespace arbutusdale::gateway
