// HTTP client on libcurl's multi-socket interface, which processes only the sockets that are ready.
#include "arbutusdale/net/http_client.hpp"

#include "arbutusdale/observe/event_log.hpp"

#include <algorithm>
#include <optional>
#include <unordered_map>
#include <utility>

#include <curl/curl.h>
#include <sys/epoll.h>

namespace arbutusdale::net {
namespace {

// A poll and some starts of each of a thousand workers; an evicted connection has to be opened
// again with the next order.
constexpr long k_max_cached_connections = 3'000;
constexpr long k_max_connection_age_s = 60;
// libcurl counts the age in whole seconds, and takes zero for no limit.
constexpr long k_min_connection_age_s = 1;
constexpr std::size_t k_max_suspect_origins = 4'096;
constexpr Duration k_max_send_delay = std::chrono::seconds{1};
constexpr std::size_t k_max_response_bytes = 8'388'608;
constexpr std::size_t k_max_idle_handles = 64;

class CurlClient;

/// Scheme, host and port of the URL, whose calls share connections.
std::string origin_of(const std::string& url) {
  const std::size_t scheme_end = url.find("://");
  const std::size_t host = scheme_end == std::string::npos ? 0 : scheme_end + 3;
  return url.substr(0, url.find('/', host));
}

/// One call in progress. Its address is passed to the callbacks of its easy handle.
struct ActiveCall {
  CurlClient* client = nullptr;
  CURL* easy = nullptr;
  HttpCall call;
  HttpClient::Done done;
  std::string response_body;
  curl_slist* headers = nullptr;
  bool request_started = false;  // a connection was ready and the request was about to be sent
  TimePoint send_until{};        // the request is not sent later
  std::optional<EventLoop::TimerId> time_limit;

  ActiveCall() = default;
  ActiveCall(const ActiveCall&) = delete;
  ActiveCall& operator=(const ActiveCall&) = delete;
  ~ActiveCall() { curl_slist_free_all(headers); }
};

std::size_t on_body(char* data, std::size_t size, std::size_t count, void* user) {
  auto& active = *static_cast<ActiveCall*>(user);
  const std::size_t bytes = size * count;
  if (active.response_body.size() + bytes > k_max_response_bytes) {
    return 0;
  }
  active.response_body.append(data, bytes);
  return bytes;
}

template <typename Value>
void set_option(CURL* easy, CURLoption option, Value value) {
  (void)curl_easy_setopt(easy, option, value);
}

CURLM* make_multi() {
  curl_global_init(CURL_GLOBAL_DEFAULT);
  return curl_multi_init();
}

class CurlClient final : public HttpClient {
 public:
  explicit CurlClient(EventLoop& loop) : m_loop(loop), m_multi(make_multi()) {
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, &CurlClient::on_socket);
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, &CurlClient::on_timer);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, k_max_cached_connections);
  }
  ~CurlClient() override;

  void call(HttpCall call, Done done) override;

 private:
  static int on_socket(CURL* easy, curl_socket_t socket, int what, void* user, void* socket_data);
  static int on_timer(CURLM* multi, long timeout_ms, void* user);
  static int on_prerequest(void* user, char* remote_ip, char* local_ip, int remote_port,
                           int local_port);

  CURL* acquire_handle();
  void configure(CURL* easy, ActiveCall& active);
  void handle_socket_action(curl_socket_t socket, int events);
  void finish_completed_calls();
  void finish(CURL* easy, CURLcode code);
  /// Ends the call with a timeout after `limit`, counted from the present moment.
  void set_time_limit(ActiveCall& active, Duration limit);
  /// Oldest connection to the origin that a call may use, in seconds.
  long max_connection_age_s(const std::string& origin);
  void note_silent_connection(const std::string& origin);
  static Result<HttpReply> make_result(CURL* easy, ActiveCall& active, CURLcode code);

  EventLoop& m_loop;
  CURLM* m_multi;
  std::optional<EventLoop::TimerId> m_timer;
  std::unordered_map<CURL*, std::unique_ptr<ActiveCall>> m_active;
  std::vector<CURL*> m_idle_handles;  // reused by the next calls
  /// When a call on a reused connection last got no response, by origin. Connections that were open
  /// by then may be silent as well.
  std::unordered_map<std::string, TimePoint> m_silent_at;
};

CurlClient::~CurlClient() {
  for (auto& [easy, active] : m_active) {
    m_loop.cancel(*active->time_limit);
    curl_multi_remove_handle(m_multi, easy);
    curl_easy_cleanup(easy);
  }
  for (CURL* easy : m_idle_handles) {
    curl_easy_cleanup(easy);
  }
  curl_multi_cleanup(m_multi);
  if (m_timer) {
    m_loop.cancel(*m_timer);
  }
}

void CurlClient::call(HttpCall call, Done done) {
  auto active = std::make_unique<ActiveCall>();
  active->call = std::move(call);
  active->done = std::move(done);
  CURL* easy = acquire_handle();
  active->client = this;
  active->easy = easy;
  active->send_until = m_loop.read_clock() + k_max_send_delay;
  set_time_limit(*active, std::min(active->call.timeout, k_max_send_delay));
  configure(easy, *active);
  m_active.emplace(easy, std::move(active));
  curl_multi_add_handle(m_multi, easy);
}

// libcurl's own time limits are not used: they end a call before data that has already arrived is
// read, and they count the time before the request is sent.
void CurlClient::set_time_limit(ActiveCall& active, Duration limit) {
  if (active.time_limit) {
    m_loop.cancel(*active.time_limit);
  }
  const Duration since_iteration = m_loop.read_clock() - m_loop.now();
  active.time_limit = m_loop.call_after_reading(
      since_iteration + limit,
      [this, easy = active.easy] { finish(easy, CURLE_OPERATION_TIMEDOUT); });
}

// Called on every connection, new or reused, before the request is sent.
int CurlClient::on_prerequest(void* user, char* /*remote_ip*/, char* /*local_ip*/,
                              int /*remote_port*/, int /*local_port*/) {
  auto& active = *static_cast<ActiveCall*>(user);
  if (active.request_started) {
    observe::EventLine(observe::Event::request_repeated)
        .add("url", active.call.url)
        .add("allowed", active.call.is_repeatable ? 1 : 0)
        .write();
    return active.call.is_repeatable ? CURL_PREREQFUNC_OK : CURL_PREREQFUNC_ABORT;
  }
  if (active.client->m_loop.read_clock() > active.send_until) {
    return CURL_PREREQFUNC_ABORT;
  }
  active.request_started = true;
  active.client->set_time_limit(active, active.call.timeout);
  return CURL_PREREQFUNC_OK;
}

CURL* CurlClient::acquire_handle() {
  if (m_idle_handles.empty()) {
    return curl_easy_init();
  }
  CURL* easy = m_idle_handles.back();
  m_idle_handles.pop_back();
  curl_easy_reset(easy);
  return easy;
}

void CurlClient::configure(CURL* easy, ActiveCall& active) {
  const HttpCall& call = active.call;
  active.headers = curl_slist_append(active.headers, "Expect:");
  for (const std::string& header : call.headers) {
    active.headers = curl_slist_append(active.headers, header.c_str());
  }
  set_option(easy, CURLOPT_URL, call.url.c_str());
  set_option(easy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
  set_option(easy, CURLOPT_PROXY, "");
  set_option(easy, CURLOPT_NOSIGNAL, 1L);
  set_option(easy, CURLOPT_MAXLIFETIME_CONN, max_connection_age_s(origin_of(call.url)));
  set_option(easy, CURLOPT_WRITEFUNCTION, &on_body);
  set_option(easy, CURLOPT_WRITEDATA, &active);
  set_option(easy, CURLOPT_PREREQFUNCTION, &CurlClient::on_prerequest);
  set_option(easy, CURLOPT_PREREQDATA, &active);
  set_option(easy, CURLOPT_HTTPHEADER, active.headers);
  if (call.method == HttpMethod::post) {
    set_option(easy, CURLOPT_POST, 1L);
    set_option(easy, CURLOPT_POSTFIELDS, call.body.data());
    set_option(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(call.body.size()));
  }
}

// A connection that was opened less than two seconds before the silent one was noticed may still be
// used.
long CurlClient::max_connection_age_s(const std::string& origin) {
  const auto found = m_silent_at.find(origin);
  if (found == m_silent_at.end()) {
    return k_max_connection_age_s;
  }
  const auto passed =
      std::chrono::duration_cast<std::chrono::seconds>(m_loop.now() - found->second).count();
  if (passed >= k_max_connection_age_s) {
    m_silent_at.erase(found);
    return k_max_connection_age_s;
  }
  return std::max(static_cast<long>(passed), k_min_connection_age_s);
}

// Open connections may go silent all at once, for good and without a reset, while new ones work.
// Each of them would cost a call its time limit.
void CurlClient::note_silent_connection(const std::string& origin) {
  if (m_silent_at.size() >= k_max_suspect_origins) {
    m_silent_at.clear();
  }
  m_silent_at[origin] = m_loop.now();
}

int CurlClient::on_socket(CURL* /*easy*/, curl_socket_t socket, int what, void* user,
                          void* /*socket_data*/) {
  auto& client = *static_cast<CurlClient*>(user);
  if (what == CURL_POLL_REMOVE) {
    client.m_loop.unwatch(socket);
    return 0;
  }
  std::uint32_t events = 0;
  if ((what & CURL_POLL_IN) != 0) {
    events |= EPOLLIN;
  }
  if ((what & CURL_POLL_OUT) != 0) {
    events |= EPOLLOUT;
  }
  client.m_loop.watch(socket, events, [&client, socket](std::uint32_t ready) {
    int flags = 0;
    if ((ready & EPOLLIN) != 0) {
      flags |= CURL_CSELECT_IN;
    }
    if ((ready & EPOLLOUT) != 0) {
      flags |= CURL_CSELECT_OUT;
    }
    if ((ready & (EPOLLERR | EPOLLHUP)) != 0) {
      flags |= CURL_CSELECT_ERR;
    }
    client.handle_socket_action(socket, flags);
  });
  return 0;
}

int CurlClient::on_timer(CURLM* /*multi*/, long timeout_ms, void* user) {
  auto& client = *static_cast<CurlClient*>(user);
  if (client.m_timer) {
    client.m_loop.cancel(*client.m_timer);
    client.m_timer.reset();
  }
  if (timeout_ms < 0) {
    return 0;
  }
  client.m_timer = client.m_loop.call_after(std::chrono::milliseconds{timeout_ms}, [&client] {
    client.m_timer.reset();
    client.handle_socket_action(CURL_SOCKET_TIMEOUT, 0);
  });
  return 0;
}

void CurlClient::handle_socket_action(curl_socket_t socket, int events) {
  int running = 0;
  curl_multi_socket_action(m_multi, socket, events, &running);
  finish_completed_calls();
}

void CurlClient::finish_completed_calls() {
  int remaining_messages = 0;
  while (CURLMsg* message = curl_multi_info_read(m_multi, &remaining_messages)) {
    if (message->msg != CURLMSG_DONE) {
      continue;
    }
    finish(message->easy_handle, message->data.result);
  }
}

void CurlClient::finish(CURL* easy, CURLcode code) {
  const auto found = m_active.find(easy);
  if (found == m_active.end()) {
    return;
  }
  const auto active = std::move(found->second);
  m_active.erase(found);
  m_loop.cancel(*active->time_limit);
  Result<HttpReply> result = make_result(easy, *active, code);
  long new_connections = 0;
  curl_easy_getinfo(easy, CURLINFO_NUM_CONNECTS, &new_connections);
  const bool is_silent =
      code == CURLE_OPERATION_TIMEDOUT && active->request_started && new_connections == 0;
  if (is_silent) {
    note_silent_connection(origin_of(active->call.url));
  }
  curl_multi_remove_handle(m_multi, easy);
  if (m_idle_handles.size() < k_max_idle_handles) {
    m_idle_handles.push_back(easy);
  } else {
    curl_easy_cleanup(easy);
  }
  active->done(std::move(result));
}

Result<HttpReply> CurlClient::make_result(CURL* easy, ActiveCall& active, CURLcode code) {
  if (code == CURLE_OK) {
    long status = 0;
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    return HttpReply{static_cast<int>(status), std::move(active.response_body)};
  }
  const std::string text = active.call.url + ": " + curl_easy_strerror(code);
  const bool timed_out = code == CURLE_OPERATION_TIMEDOUT;
  if (!active.request_started) {
    // on_prerequest() aborts a request that would be sent too late.
    const bool too_late = timed_out || code == CURLE_ABORTED_BY_CALLBACK;
    return not_run(too_late ? ErrorCode::deadline_exceeded : ErrorCode::unavailable, text);
  }
  return may_have_run(timed_out ? ErrorCode::deadline_exceeded : ErrorCode::connection_lost, text);
}

}  // namespace

std::unique_ptr<HttpClient> make_http_client(EventLoop& loop) {
  return std::make_unique<CurlClient>(loop);
}

}  // namespace arbutusdale::net
