// HTTP event loop of the stand-in.
#include "http_loop.hpp"

#include <algorithm>
#include <cerrno>

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

namespace arbutusdale::standin {
namespace {

constexpr std::size_t k_max_body_bytes = 16'777'216;
constexpr std::size_t k_connection_memory_bytes = 65'536;
constexpr std::uint64_t k_wakeup_tag = ~std::uint64_t{0};
constexpr Duration k_silent_check_interval = std::chrono::milliseconds{200};
constexpr int k_max_events = 64;
constexpr std::int64_t k_max_wait_ns = 999'999'999;
constexpr int k_max_rounds = 64;  // runs of one listener before the others run

int socket_of(MHD_Connection* connection) {
  return MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
}

std::string lookup(MHD_Connection* connection, MHD_ValueKind kind, const char* name) {
  const char* value = MHD_lookup_connection_value(connection, kind, name);
  return value == nullptr ? std::string() : std::string(value);
}

/// Body of a truncated response: the first half, then an error that closes the connection.
struct HalfBody {
  std::string body;
};

ssize_t read_half(void* user, std::uint64_t position, char* buffer, std::size_t size) {
  const auto& half = static_cast<HalfBody*>(user)->body;
  if (position >= half.size()) {
    return MHD_CONTENT_READER_END_WITH_ERROR;
  }
  const std::size_t count = std::min<std::size_t>(size, half.size() - position);
  half.copy(buffer, count, position);
  return static_cast<ssize_t>(count);
}

void free_half(void* user) {
  delete static_cast<HalfBody*>(user);
}

MHD_Response* make_response(const HttpAnswer& answer) {
  if (answer.ending == Ending::truncate) {
    // Content-Length exceeds the bytes sent by at least one.
    auto half = std::make_unique<HalfBody>(HalfBody{answer.body.substr(0, answer.body.size() / 2)});
    const std::size_t block = half->body.size() + 1;
    return MHD_create_response_from_callback(answer.body.size() + 1, block, &read_half,
                                             half.release(), &free_half);
  }
  // libmicrohttpd copies the body and does not change it.
  return MHD_create_response_from_buffer(answer.body.size(), const_cast<char*>(answer.body.data()),
                                         MHD_RESPMEM_MUST_COPY);
}

}  // namespace

std::string Exchange::header(const char* name) const {
  return lookup(connection, MHD_HEADER_KIND, name);
}

std::string Exchange::argument(const char* name) const {
  return lookup(connection, MHD_GET_ARGUMENT_KIND, name);
}

struct HttpLoop::Connection {
  std::uint64_t generation = 0;
  std::string uri;
};

struct HttpLoop::Listener {
  HttpLoop* loop = nullptr;
  std::size_t index = 0;
  std::uint16_t port = 0;
  unsigned connection_limit = 0;
  Handler handler;
  MHD_Daemon* daemon = nullptr;
  int epoll = -1;
  std::uint64_t generation = 0;       // counts calls of silence_connections
  std::set<std::uint64_t> exchanges;  // open ones
  std::set<std::uint64_t> silent;     // open ones that never get a response
};

struct HttpLoop::Callbacks {
  static Connection* context(MHD_Connection* connection) {
    return static_cast<Connection*>(
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT)->socket_context);
  }

  static void on_connection(void* user, MHD_Connection* /*connection*/, void** socket_context,
                            MHD_ConnectionNotificationCode code) {
    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
      *socket_context = new Connection{static_cast<Listener*>(user)->generation, {}};
      return;
    }
    delete static_cast<Connection*>(*socket_context);
    *socket_context = nullptr;
  }

  static void* on_uri(void* /*user*/, const char* uri, MHD_Connection* connection) {
    context(connection)->uri = uri;
    return nullptr;
  }

  static MHD_Result on_request(void* user, MHD_Connection* connection, const char* path,
                               const char* method, const char* /*version*/, const char* data,
                               std::size_t* data_size, void** state) {
    auto& listener = *static_cast<Listener*>(user);
    if (*state == nullptr) {
      *state = begin(listener, connection, path, method);
      return MHD_YES;
    }
    auto& exchange = *static_cast<Exchange*>(*state);
    if (*data_size > 0) {
      if (exchange.body.size() + *data_size > k_max_body_bytes) {
        return MHD_NO;
      }
      exchange.body.append(data, *data_size);
      *data_size = 0;
      return MHD_YES;
    }
    return listener.loop->process(listener, exchange) != 0 ? MHD_YES : MHD_NO;
  }

  static Exchange* begin(Listener& listener, MHD_Connection* connection, const char* path,
                         const char* method) {
    auto exchange = std::make_unique<Exchange>();
    exchange->id = listener.loop->m_next_exchange++;
    exchange->listener = listener.index;
    exchange->method = method;
    exchange->path = path;
    exchange->uri = context(connection)->uri;
    exchange->connection = connection;
    listener.loop->m_exchanges[exchange->id] = exchange.get();
    listener.exchanges.insert(exchange->id);
    return exchange.release();
  }

  static void on_completed(void* user, MHD_Connection* /*connection*/, void** state,
                           MHD_RequestTerminationCode /*code*/) {
    auto& listener = *static_cast<Listener*>(user);
    const std::unique_ptr<Exchange> exchange(static_cast<Exchange*>(*state));
    *state = nullptr;
    if (exchange == nullptr) {
      return;
    }
    listener.loop->m_exchanges.erase(exchange->id);
    listener.exchanges.erase(exchange->id);
    listener.silent.erase(exchange->id);
  }
};

HttpLoop::HttpLoop()
    : m_epoll(epoll_create1(EPOLL_CLOEXEC)), m_wakeup(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.u64 = k_wakeup_tag;
  epoll_ctl(m_epoll, EPOLL_CTL_ADD, m_wakeup, &event);
}

HttpLoop::~HttpLoop() {
  stop();
  for (auto& listener : m_listeners) {
    close_listener(listener->index);
  }
  ::close(m_wakeup);
  ::close(m_epoll);
}

Result<std::size_t> HttpLoop::add_listener(std::uint16_t port, unsigned connection_limit,
                                           Handler handler) {
  auto listener = std::make_unique<Listener>();
  listener->loop = this;
  listener->index = m_listeners.size();
  listener->port = port;
  listener->connection_limit = connection_limit;
  listener->handler = std::move(handler);
  const auto opened = open(*listener);
  if (!opened) {
    return tl::unexpected<Error>(opened.error());
  }
  m_listeners.push_back(std::move(listener));
  return m_listeners.size() - 1;
}

Result<void> HttpLoop::open(Listener& listener) const {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(listener.port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  listener.daemon = MHD_start_daemon(
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, listener.port, nullptr, nullptr,
      &Callbacks::on_request, &listener, MHD_OPTION_SOCK_ADDR, &address,
      MHD_OPTION_CONNECTION_LIMIT, listener.connection_limit, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
      k_connection_memory_bytes, MHD_OPTION_NOTIFY_CONNECTION, &Callbacks::on_connection, &listener,
      MHD_OPTION_NOTIFY_COMPLETED, &Callbacks::on_completed, &listener, MHD_OPTION_URI_LOG_CALLBACK,
      &Callbacks::on_uri, &listener, MHD_OPTION_END);
  if (listener.daemon == nullptr) {
    return not_run(ErrorCode::unavailable,
                   "cannot listen on 127.0.0.1:" + std::to_string(listener.port));
  }
  listener.port = MHD_get_daemon_info(listener.daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
  listener.epoll = MHD_get_daemon_info(listener.daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.u64 = listener.index;
  epoll_ctl(m_epoll, EPOLL_CTL_ADD, listener.epoll, &event);
  return {};
}

std::uint16_t HttpLoop::port(std::size_t listener) const {
  return m_listeners.at(listener)->port;
}

int HttpLoop::process(Listener& listener, Exchange& exchange) {
  exchange.suspended = false;
  if (exchange.answered) {
    return send_answer(listener, exchange);
  }
  if (exchange.dispatched) {
    return 0;  // resumed without a response: the connection is closing
  }
  exchange.dispatched = true;
  if (Callbacks::context(exchange.connection)->generation < listener.generation) {
    leave_silent(listener, exchange);
    return 1;
  }
  listener.handler(exchange);
  if (exchange.answered) {
    return send_answer(listener, exchange);
  }
  exchange.suspended = true;
  MHD_suspend_connection(exchange.connection);
  return 1;
}

void HttpLoop::leave_silent(Listener& listener, Exchange& exchange) {
  listener.silent.insert(exchange.id);
  exchange.answered = false;
  exchange.suspended = true;
  MHD_suspend_connection(exchange.connection);
}

int HttpLoop::send_answer(Listener& listener, Exchange& exchange) {
  const HttpAnswer& answer = exchange.answer;
  if (answer.ending == Ending::silent) {
    leave_silent(listener, exchange);
    return 1;
  }
  if (answer.ending == Ending::reset) {
    // Connecting to AF_UNSPEC sends a TCP reset; a plain close would send a FIN first.
    sockaddr none{};
    none.sa_family = AF_UNSPEC;
    (void)connect(socket_of(exchange.connection), &none, sizeof(none));
    return 0;
  }
  MHD_Response* response = make_response(answer);
  MHD_add_response_header(response, "Content-Type", answer.type.c_str());
  for (const auto& [name, value] : answer.headers) {
    MHD_add_response_header(response, name.c_str(), value.c_str());
  }
  const auto queued = MHD_queue_response(exchange.connection, answer.status, response);
  MHD_destroy_response(response);
  return queued == MHD_YES ? 1 : 0;
}

void HttpLoop::answer(std::uint64_t exchange, HttpAnswer answer) {
  const auto found = m_exchanges.find(exchange);
  if (found == m_exchanges.end() || found->second->answered) {
    return;
  }
  Exchange& open = *found->second;
  if (m_listeners[open.listener]->silent.contains(exchange)) {
    return;
  }
  open.answer = std::move(answer);
  open.answered = true;
  if (open.suspended) {
    MHD_resume_connection(open.connection);
    m_dirty.insert(open.listener);
  }
}

void HttpLoop::abort_exchanges(Listener& listener, bool only_silent) {
  const auto ids = only_silent ? listener.silent : listener.exchanges;
  for (const std::uint64_t id : ids) {
    Exchange& exchange = *m_exchanges.at(id);
    listener.silent.erase(id);
    if (exchange.suspended) {
      exchange.suspended = false;
      MHD_resume_connection(exchange.connection);
    }
  }
  m_dirty.insert(listener.index);
}

void HttpLoop::close_listener(std::size_t listener) {
  Listener& closing = *m_listeners.at(listener);
  if (closing.daemon == nullptr) {
    return;
  }
  abort_exchanges(closing, false);
  epoll_ctl(m_epoll, EPOLL_CTL_DEL, closing.epoll, nullptr);
  MHD_stop_daemon(closing.daemon);
  closing.daemon = nullptr;
}

Result<void> HttpLoop::reopen_listener(std::size_t listener) {
  Listener& opening = *m_listeners.at(listener);
  return opening.daemon == nullptr ? open(opening) : Result<void>{};
}

void HttpLoop::silence_connections(std::size_t listener) {
  ++m_listeners.at(listener)->generation;
}

void HttpLoop::release_silent(std::size_t listener) {
  abort_exchanges(*m_listeners.at(listener), true);
}

// libmicrohttpd does not poll suspended connections, so those that the client has closed would
// count against the connection limit forever.
void HttpLoop::drop_closed_silent() {
  for (auto& listener : m_listeners) {
    const auto ids = listener->silent;
    for (const std::uint64_t id : ids) {
      Exchange& exchange = *m_exchanges.at(id);
      char byte = 0;
      const ssize_t got = recv(socket_of(exchange.connection), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
      if (got > 0 || (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))) {
        continue;
      }
      listener->silent.erase(id);
      exchange.suspended = false;
      MHD_resume_connection(exchange.connection);
      m_dirty.insert(listener->index);
    }
  }
  after(k_silent_check_interval, [this] { drop_closed_silent(); });
}

void HttpLoop::start() {
  post([this] { drop_closed_silent(); });
  m_thread = std::thread([this] { run(); });
}

void HttpLoop::stop() {
  {
    const std::lock_guard lock(m_mutex);
    m_stopping = true;
  }
  eventfd_write(m_wakeup, 1);
  if (m_thread.joinable()) {
    m_thread.join();
  }
}

void HttpLoop::post(std::function<void()> task) {
  {
    const std::lock_guard lock(m_mutex);
    m_posted.push_back(std::move(task));
  }
  eventfd_write(m_wakeup, 1);
}

void HttpLoop::after(Duration delay, std::function<void()> task) {
  m_timers.emplace(std::chrono::steady_clock::now() + delay, std::move(task));
}

std::chrono::nanoseconds HttpLoop::wait_time() const {
  constexpr std::chrono::nanoseconds k_idle = std::chrono::seconds{1};
  if (!m_dirty.empty()) {
    return {};
  }
  if (m_timers.empty()) {
    return k_idle;
  }
  const auto left = m_timers.begin()->first - std::chrono::steady_clock::now();
  return std::clamp<std::chrono::nanoseconds>(left, std::chrono::nanoseconds{0}, k_idle);
}

void HttpLoop::run_posted() {
  std::vector<std::function<void()>> posted;
  {
    const std::lock_guard lock(m_mutex);
    posted.swap(m_posted);
  }
  for (const auto& task : posted) {
    task();
  }
}

void HttpLoop::run_timers() {
  const auto now = std::chrono::steady_clock::now();
  while (!m_timers.empty() && m_timers.begin()->first <= now) {
    const auto task = std::move(m_timers.begin()->second);
    m_timers.erase(m_timers.begin());
    task();
  }
}

void HttpLoop::run_listener(Listener& listener) {
  MHD_UNSIGNED_LONG_LONG timeout = 0;
  for (int round = 0; round < k_max_rounds && listener.daemon != nullptr; ++round) {
    MHD_run(listener.daemon);
    if (MHD_get_timeout(listener.daemon, &timeout) != MHD_YES || timeout > 0) {
      return;
    }
  }
  m_dirty.insert(listener.index);
}

void HttpLoop::run() {
  epoll_event events[k_max_events];
  while (true) {
    // Service times are a few milliseconds, so waits need more than millisecond resolution.
    const timespec wait{
        0, static_cast<long>(std::min<std::int64_t>(wait_time().count(), k_max_wait_ns))};
    const int count = epoll_pwait2(m_epoll, events, k_max_events, &wait, nullptr);
    for (int i = 0; i < count; ++i) {
      if (events[i].data.u64 == k_wakeup_tag) {
        eventfd_t value = 0;
        eventfd_read(m_wakeup, &value);
      } else {
        m_dirty.insert(events[i].data.u64);
      }
    }
    {
      const std::lock_guard lock(m_mutex);
      if (m_stopping) {
        return;
      }
    }
    run_posted();
    run_timers();
    std::set<std::size_t> dirty;
    dirty.swap(m_dirty);
    for (const std::size_t listener : dirty) {
      run_listener(*m_listeners[listener]);
    }
  }
}

}  // namespace arbutusdale::standin
