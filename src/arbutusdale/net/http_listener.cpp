// Listener on libmicrohttpd, whose epoll descriptor is watched by the event loop.
#include "arbutusdale/net/http_listener.hpp"

#include "arbutusdale/net/socket_address.hpp"

#include <optional>
#include <utility>

#include <microhttpd.h>
#include <sys/epoll.h>

namespace arbutusdale::net {
namespace {

constexpr int k_payload_too_large = 413;
constexpr std::size_t k_connection_memory_bytes = 16'384;

class Exchange;

/// A request, from its first header to the end of the response. Owned through the context pointer
/// that libmicrohttpd keeps for it.
struct PendingRequest {
  HttpRequest request;
  MHD_Connection* connection = nullptr;
  Exchange* exchange = nullptr;  // null before dispatch and after the response
  bool too_large = false;
  bool dispatched = false;
  bool abandoned = false;  // close the connection without a response
  std::optional<HttpResponse> response;
};

class Listener final : public HttpListener {
 public:
  Listener(EventLoop& loop, HttpListenerOptions options, Handler handler)
      : m_loop(loop), m_options(std::move(options)), m_handler(std::move(handler)) {}
  ~Listener() override;

  Result<void> start() override;
  void close_after_answers() override { m_closing = true; }
  [[nodiscard]] std::size_t open_exchanges() const override { return m_open_exchanges; }

  /// Resumes the connection with a response, or closes it without one.
  void finish(PendingRequest& pending, std::optional<HttpResponse> response);

 private:
  static MHD_Result on_request(void* user, MHD_Connection* connection, const char* url,
                               const char* method, const char* version, const char* data,
                               std::size_t* size, void** context);
  static void on_completed(void* user, MHD_Connection* connection, void** context,
                           MHD_RequestTerminationCode code);

  PendingRequest* create_pending_request(MHD_Connection* connection, const char* url,
                                         const char* method) const;
  void dispatch(PendingRequest& pending);
  [[nodiscard]] MHD_Result queue_response(MHD_Connection* connection,
                                          const HttpResponse& response) const;
  void run();
  void schedule_run();

  EventLoop& m_loop;
  HttpListenerOptions m_options;
  Handler m_handler;
  MHD_Daemon* m_daemon = nullptr;
  int m_descriptor = -1;
  bool m_closing = false;
  bool m_run_scheduled = false;
  std::size_t m_open_exchanges = 0;
  std::optional<EventLoop::TimerId> m_timer;
};

class Exchange final : public HttpExchange {
 public:
  Exchange(Listener& listener, PendingRequest& pending)
      : m_listener(listener), m_pending(&pending), m_request(std::move(pending.request)) {}
  ~Exchange() override {
    if (m_pending != nullptr) {
      m_listener.finish(*m_pending, std::nullopt);
    }
  }

  [[nodiscard]] const HttpRequest& request() const override { return m_request; }
  void respond(HttpResponse response) override {
    if (m_pending != nullptr) {
      m_listener.finish(*std::exchange(m_pending, nullptr), std::move(response));
    }
  }
  /// The connection has ended; a response can no longer be sent.
  void detach() { m_pending = nullptr; }

 private:
  Listener& m_listener;
  PendingRequest* m_pending;  // null after the response or the end of the connection
  HttpRequest m_request;
};

Listener::~Listener() {
  if (m_daemon == nullptr) {
    return;
  }
  m_loop.unwatch(m_descriptor);
  if (m_timer) {
    m_loop.cancel(*m_timer);
  }
  MHD_stop_daemon(m_daemon);
}

Result<void> Listener::start() {
  const auto address = parse_socket_address(m_options.address);
  if (!address) {
    return not_run(ErrorCode::invalid_argument, "invalid listen address: " + m_options.address);
  }
  m_daemon = MHD_start_daemon(
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, nullptr, nullptr, &Listener::on_request, this,
      MHD_OPTION_SOCK_ADDR, reinterpret_cast<const sockaddr*>(&address->storage),
      MHD_OPTION_CONNECTION_LIMIT, m_options.max_connections, MHD_OPTION_CONNECTION_TIMEOUT,
      m_options.idle_timeout_s, MHD_OPTION_CONNECTION_MEMORY_LIMIT, k_connection_memory_bytes,
      MHD_OPTION_NOTIFY_COMPLETED, &Listener::on_completed, this,
      MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
  if (m_daemon == nullptr) {
    return not_run(ErrorCode::unavailable, "cannot listen on " + m_options.address);
  }
  m_descriptor = MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
  m_loop.watch(m_descriptor, EPOLLIN, [this](std::uint32_t) { run(); });
  return {};
}

void Listener::run() {
  MHD_run(m_daemon);
  if (m_timer) {
    m_loop.cancel(*m_timer);
    m_timer.reset();
  }
  MHD_UNSIGNED_LONG_LONG timeout_ms = 0;
  if (MHD_get_timeout(m_daemon, &timeout_ms) != MHD_YES) {
    return;
  }
  m_timer = m_loop.call_after(std::chrono::milliseconds{timeout_ms}, [this] {
    m_timer.reset();
    run();
  });
}

void Listener::schedule_run() {
  if (m_run_scheduled) {
    return;
  }
  m_run_scheduled = true;
  m_loop.defer([this] {
    m_run_scheduled = false;
    run();
  });
}

PendingRequest* Listener::create_pending_request(MHD_Connection* connection, const char* url,
                                                 const char* method) const {
  auto pending = std::make_unique<PendingRequest>();
  pending->connection = connection;
  const auto header = [connection](const char* name) {
    const char* value = MHD_lookup_connection_value(connection, MHD_HEADER_KIND, name);
    return std::string(value == nullptr ? "" : value);
  };
  pending->request.method = method;
  pending->request.path = url;
  pending->request.host = header("Host");
  if (!m_options.deadline_header.empty()) {
    pending->request.deadline_ms = header(m_options.deadline_header.c_str());
  }
  return pending.release();
}

void Listener::dispatch(PendingRequest& pending) {
  pending.dispatched = true;
  ++m_open_exchanges;
  MHD_suspend_connection(pending.connection);
  if (pending.too_large) {
    finish(pending, HttpResponse{k_payload_too_large, "{}", {}});
    return;
  }
  auto exchange = std::make_shared<Exchange>(*this, pending);
  pending.exchange = exchange.get();
  m_handler(std::move(exchange));
}

MHD_Result Listener::on_request(void* user, MHD_Connection* connection, const char* url,
                                const char* method, const char* /*version*/, const char* data,
                                std::size_t* size, void** context) {
  auto& listener = *static_cast<Listener*>(user);
  if (*context == nullptr) {
    *context = listener.create_pending_request(connection, url, method);
    return MHD_YES;
  }
  auto& pending = *static_cast<PendingRequest*>(*context);
  if (*size > 0) {
    std::string& body = pending.request.body;
    pending.too_large |= body.size() + *size > listener.m_options.max_body_bytes;
    if (!pending.too_large) {
      body.append(data, *size);
    }
    *size = 0;
    return MHD_YES;
  }
  if (!pending.dispatched) {
    listener.dispatch(pending);
    return MHD_YES;
  }
  if (pending.response) {
    return listener.queue_response(connection, *pending.response);
  }
  return pending.abandoned ? MHD_NO : MHD_YES;
}

MHD_Result Listener::queue_response(MHD_Connection* connection,
                                    const HttpResponse& response) const {
  MHD_Response* mhd_response = MHD_create_response_from_buffer(
      response.body.size(), const_cast<char*>(response.body.data()), MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header(mhd_response, MHD_HTTP_HEADER_CONTENT_TYPE, "application/json");
  for (const auto& [name, value] : response.headers) {
    MHD_add_response_header(mhd_response, name.c_str(), value.c_str());
  }
  if (m_closing) {
    MHD_add_response_header(mhd_response, MHD_HTTP_HEADER_CONNECTION, "close");
  }
  const MHD_Result result =
      MHD_queue_response(connection, static_cast<unsigned>(response.status), mhd_response);
  MHD_destroy_response(mhd_response);
  return result;
}

void Listener::on_completed(void* user, MHD_Connection* /*connection*/, void** context,
                            MHD_RequestTerminationCode /*code*/) {
  auto& listener = *static_cast<Listener*>(user);
  const std::unique_ptr<PendingRequest> pending(static_cast<PendingRequest*>(*context));
  *context = nullptr;
  if (pending == nullptr || pending->exchange == nullptr) {
    return;
  }
  pending->exchange->detach();
  --listener.m_open_exchanges;
}

void Listener::finish(PendingRequest& pending, std::optional<HttpResponse> response) {
  --m_open_exchanges;
  pending.exchange = nullptr;
  pending.abandoned = !response.has_value();
  pending.response = std::move(response);
  MHD_resume_connection(pending.connection);
  schedule_run();
}

}  // namespace

std::unique_ptr<HttpListener> make_http_listener(EventLoop& loop, HttpListenerOptions options,
                                                 HttpListener::Handler handler) {
  return std::make_unique<Listener>(loop, std::move(options), std::move(handler));
}

}  // namespace arbutusdale::net
