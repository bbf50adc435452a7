// Request side of the HTTP listener: reads requests, calls the handler, suspends connections.
#include "arbutusdale/net/socket_address.hpp"

#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstring>
#include <thread>

#include "http_server_impl.hpp"
#include <spdlog/spdlog.h>
#include <sys/socket.h>
#include <unistd.h>

namespace arbutusdale::gateway {
namespace {

constexpr unsigned k_listen_backlog = 1'024;
constexpr std::size_t k_max_discarded_bytes = 16'777'216;
constexpr auto k_stop_poll = std::chrono::milliseconds{5};
// Time for the last answers to be sent; a caller that does not read its answer must not hold up the
// end of the process.
constexpr auto k_last_answers_timeout = std::chrono::milliseconds{500};

using SharedExchange = std::shared_ptr<Exchange>;

void log_message(void* /*context*/, const char* format, va_list arguments) {
  std::array<char, 512> text{};
  std::vsnprintf(text.data(), text.size(), format, arguments);
  spdlog::debug("libmicrohttpd: {}", text.data());
}

MHD_Result collect_header(void* context, MHD_ValueKind /*kind*/, const char* name,
                          std::size_t name_size, const char* value, std::size_t value_size) {
  auto& headers = *static_cast<HeaderList*>(context);
  headers.push_back({std::string(name, name_size),
                     value == nullptr ? std::string() : std::string(value, value_size)});
  return MHD_YES;
}

Answer stopping_answer() {
  return problem(Error{ErrorCode::unavailable, Verdict::may_have_run,
                       "the daemon stopped before the call ended"});
}

}  // namespace

HttpServerImpl::HttpServerImpl(HttpServerOptions options, Handler handler)
    : m_options(std::move(options)),
      m_handler(std::move(handler)),
      m_watch([this](std::uint64_t id) {
        if (const auto exchange = find(id)) {
          exchange->caller_disconnected();
        }
      }) {}

HttpServerImpl::~HttpServerImpl() {
  stop();
}

Result<void> HttpServerImpl::start() {
  const auto address = net::parse_socket_address(m_options.listen);
  if (!address) {
    return not_run(ErrorCode::invalid_argument,
                   "listen address \"" + m_options.listen + "\" is not IP:port");
  }
  unsigned flags = MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ERROR_LOG;
  if (address->storage.ss_family == AF_INET6) {
    flags |= MHD_USE_IPv6;
  }
  // libmicrohttpd rejects a pool of one thread; 0 means a single thread without a pool.
  const unsigned pool = m_options.threads > 1 ? m_options.threads : 0;
  m_daemon = MHD_start_daemon(flags, 0, nullptr, nullptr, &on_request, this,      //
                              MHD_OPTION_EXTERNAL_LOGGER, &log_message, nullptr,  // must come first
                              MHD_OPTION_SOCK_ADDR, &address->storage,            //
                              MHD_OPTION_THREAD_POOL_SIZE, pool,                  //
                              MHD_OPTION_CONNECTION_LIMIT, m_options.max_connections,             //
                              MHD_OPTION_CONNECTION_TIMEOUT, m_options.idle_timeout_s,            //
                              MHD_OPTION_CONNECTION_MEMORY_LIMIT, m_options.max_header_bytes,     //
                              MHD_OPTION_LISTEN_BACKLOG_SIZE, k_listen_backlog,                   //
                              MHD_OPTION_URI_LOG_CALLBACK, &on_request_line, this,                //
                              MHD_OPTION_NOTIFY_COMPLETED, &on_completed, this, MHD_OPTION_END);  //
  if (m_daemon == nullptr) {
    return not_run(ErrorCode::unavailable,
                   "cannot listen on " + m_options.listen + ": " + std::strerror(errno));
  }
  m_port = MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
  return {};
}

void HttpServerImpl::stop_accepting() {
  if (m_daemon == nullptr || m_listen_socket >= 0) {
    return;
  }
  m_listen_socket = MHD_quiesce_daemon(m_daemon);
  // Refuses new connections at once; closing is left to `stop`, because a pool thread may still
  // be about to accept on this descriptor.
  shutdown(m_listen_socket, SHUT_RDWR);
}

std::size_t HttpServerImpl::open_exchanges() const {
  const std::lock_guard lock(m_mutex);
  return m_exchanges.size();
}

std::size_t HttpServerImpl::stop() {
  if (m_daemon == nullptr) {
    return 0;
  }
  m_closing = true;
  stop_accepting();
  const std::size_t cut_off = open_exchanges();
  m_stopping = true;
  while (m_suspended > 0) {
    for (const auto& exchange : live_exchanges()) {
      exchange->respond(stopping_answer());
      exchange->end_stream(false);
    }
    std::this_thread::sleep_for(k_stop_poll);
  }
  // Stopping the daemon closes connections whose answers are not sent yet.
  const auto last = std::chrono::steady_clock::now() + k_last_answers_timeout;
  while (open_exchanges() > 0 && std::chrono::steady_clock::now() < last) {
    std::this_thread::sleep_for(k_stop_poll);
  }
  m_watch.stop();
  MHD_stop_daemon(m_daemon);
  m_daemon = nullptr;
  ::close(m_listen_socket);
  return cut_off;
}

std::shared_ptr<Exchange> HttpServerImpl::find(std::uint64_t id) const {
  const std::lock_guard lock(m_mutex);
  const auto found = m_exchanges.find(id);
  return found == m_exchanges.end() ? nullptr : found->second.lock();
}

std::vector<SharedExchange> HttpServerImpl::live_exchanges() const {
  const std::lock_guard lock(m_mutex);
  std::vector<SharedExchange> live;
  for (const auto& [id, weak] : m_exchanges) {
    if (auto exchange = weak.lock()) {
      live.push_back(std::move(exchange));
    }
  }
  return live;
}

bool HttpServerImpl::reserve_bytes(std::size_t bytes) {
  if (m_buffered_bytes.fetch_add(bytes) + bytes > m_options.max_buffered_bytes) {
    m_buffered_bytes -= bytes;
    return false;
  }
  return true;
}

/// The raw request target is only available here; libmicrohttpd decodes it afterwards.
void* HttpServerImpl::on_request_line(void* self, const char* uri, MHD_Connection* connection) {
  auto& server = *static_cast<HttpServerImpl*>(self);
  const std::lock_guard lock(server.m_mutex);
  const std::uint64_t id = server.m_next_id++;
  auto exchange = std::make_shared<Exchange>(server, id, uri);
  exchange->m_connection = connection;
  server.m_exchanges.emplace(id, exchange);
  return new SharedExchange(std::move(exchange));
}

MHD_Result HttpServerImpl::on_request(void* self, MHD_Connection* connection, const char* /*url*/,
                                      const char* method, const char* version, const char* data,
                                      std::size_t* size, void** context) {
  auto& server = *static_cast<HttpServerImpl*>(self);
  const auto& exchange = *static_cast<SharedExchange*>(*context);
  if (!exchange->m_begun) {
    return server.begin(connection, *exchange, method, version);
  }
  if (*size > 0) {
    const auto result = server.add_body(*exchange, std::string_view(data, *size));
    *size = 0;
    return result;
  }
  return server.finish_request(connection, exchange);
}

MHD_Result HttpServerImpl::begin(MHD_Connection* connection, Exchange& exchange, const char* method,
                                 const char* version) const {
  exchange.m_begun = true;
  exchange.m_method = method;
  exchange.m_http_1_0 = std::strcmp(version, "HTTP/1.0") == 0;
  MHD_get_connection_values_n(connection, MHD_HEADER_KIND, &collect_header, &exchange.m_headers);
  const auto* declared = find_header(exchange.m_headers, "Content-Length");
  const auto length = declared == nullptr ? std::nullopt : parse_number(*declared);
  if (length && *length > m_options.max_body_bytes) {
    exchange.respond(problem(Error{ErrorCode::too_large, Verdict::not_run,
                                   "the request body is larger than the limit"}));
    return exchange.queue_answer(connection) ? MHD_YES : MHD_NO;
  }
  return MHD_YES;
}

/// libmicrohttpd accepts no answer while a body is received, so the rest of a refused body is
/// discarded up to a limit, beyond which the connection is closed.
MHD_Result HttpServerImpl::add_body(Exchange& exchange, std::string_view data) {
  if (!exchange.m_early_refusal) {
    if (exchange.m_body.size() + data.size() > m_options.max_body_bytes) {
      exchange.m_early_refusal = problem(Error{ErrorCode::too_large, Verdict::not_run,
                                               "the request body is larger than the limit"});
    } else if (!reserve_bytes(data.size())) {
      exchange.m_early_refusal = problem(Error{ErrorCode::overloaded, Verdict::not_run,
                                               "too many request bodies are being received"});
    } else {
      exchange.m_counted_bytes += data.size();
      exchange.m_body.append(data);
      return MHD_YES;
    }
    exchange.m_body.clear();
  }
  exchange.m_discarded_bytes += data.size();
  return exchange.m_discarded_bytes > k_max_discarded_bytes ? MHD_NO : MHD_YES;
}

MHD_Result HttpServerImpl::finish_request(MHD_Connection* connection,
                                          const SharedExchange& exchange) {
  if (!exchange->m_dispatched) {
    exchange->m_dispatched = true;
    if (m_stopping) {
      exchange->respond(
          problem(Error{ErrorCode::unavailable, Verdict::not_run, "the daemon is stopping"}));
    } else if (exchange->m_early_refusal) {
      exchange->respond(std::move(*exchange->m_early_refusal));
    } else {
      m_handler(exchange);
    }
  }
  return suspend_or_answer(connection, *exchange);
}

MHD_Result HttpServerImpl::suspend_or_answer(MHD_Connection* connection, Exchange& exchange) {
  bool suspended = false;
  {
    const std::lock_guard lock(exchange.m_mutex);
    suspended = !exchange.m_answer_ready && exchange.suspend_locked();
  }
  if (suspended) {
    return MHD_YES;
  }
  exchange.respond(stopping_answer());  // no effect when there is an answer
  return exchange.queue_answer(connection) ? MHD_YES : MHD_NO;
}

void HttpServerImpl::on_completed(void* self, MHD_Connection* /*connection*/, void** context,
                                  MHD_RequestTerminationCode /*code*/) {
  auto* holder = static_cast<SharedExchange*>(*context);
  if (holder == nullptr) {
    return;
  }
  auto& server = *static_cast<HttpServerImpl*>(self);
  (*holder)->close();
  {
    const std::lock_guard lock(server.m_mutex);
    server.m_exchanges.erase((*holder)->m_id);
  }
  delete holder;
  *context = nullptr;
}

std::unique_ptr<HttpServer> make_http_server(HttpServerOptions options,
                                             HttpServer::Handler handler) {
  return std::make_unique<HttpServerImpl>(std::move(options), std::move(handler));
}

}  // namespace arbutusdale::gateway
