// HTTP engine on a libcurl multi handle: one thread, a bounded number of calls, and verdicts
// derived from whether the request was sent and which response arrived.
#include "arbutusdale/backplane/http_engine.hpp"

#include "arbutusdale/backplane/http_backplane.hpp"

#include <algorithm>
#include <chrono>
#include <deque>
#include <memory>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

#include <curl/curl.h>

namespace arbutusdale::backplane {
namespace {

using SteadyTime = std::chrono::steady_clock::time_point;

// Longest wait for socket activity; a submitted call ends the wait early.
constexpr int k_poll_ms = 1'000;

constexpr long k_status_ok = 200;
constexpr long k_status_not_found = 404;
constexpr long k_status_conflict = 409;
constexpr long k_status_too_large = 413;
constexpr long k_status_too_many = 429;
constexpr long k_status_client_error = 400;
constexpr long k_status_server_error = 500;
constexpr long k_status_unavailable = 503;

struct QueuedCall {
  HttpCall call;
  SteadyTime deadline;
};

/// A call in flight. Its address is passed to the callbacks of the easy handle, so it must not
/// move.
struct ActiveCall {
  HttpCall call;
  CURL* easy = nullptr;
  curl_slist* headers = nullptr;
  std::string response_body;
  std::size_t max_body_bytes = 0;
  bool too_large = false;
  bool request_began = false;  // set when a connection is ready, just before the request is sent

  ActiveCall() = default;
  ActiveCall(const ActiveCall&) = delete;
  ActiveCall& operator=(const ActiveCall&) = delete;
  ~ActiveCall() {
    curl_easy_cleanup(easy);
    curl_slist_free_all(headers);
  }
};

std::size_t on_body(char* data, std::size_t size, std::size_t count, void* user) {
  auto& active = *static_cast<ActiveCall*>(user);
  const std::size_t bytes = size * count;
  if (active.response_body.size() + bytes > active.max_body_bytes) {
    active.too_large = true;
    return 0;
  }
  active.response_body.append(data, bytes);
  return bytes;
}

// libcurl calls this before it sends a request, on new and reused connections, and also before a
// silent retry. A call for which it was never invoked has sent no byte of the request.
int on_request(void* user, char* /*remote_ip*/, char* /*local_ip*/, int /*remote_port*/,
               int /*local_port*/) {
  auto& active = *static_cast<ActiveCall*>(user);
  if (active.request_began && !active.call.is_repeatable) {
    return CURL_PREREQFUNC_ABORT;
  }
  active.request_began = true;
  return CURL_PREREQFUNC_OK;
}

template <typename Value>
void set_option(CURL* easy, CURLoption option, Value value) {
  (void)curl_easy_setopt(easy, option, value);
}

tl::unexpected<Error> call_error(bool began, ErrorCode code, const std::string& message) {
  return began ? may_have_run(code, message) : not_run(code, message);
}

ErrorCode code_of_rejection(long status) {
  switch (status) {
    case k_status_not_found:
      return ErrorCode::not_found;
    case k_status_conflict:
      return ErrorCode::conflict;
    case k_status_too_large:
      return ErrorCode::too_large;
    case k_status_too_many:
      return ErrorCode::overloaded;
    case k_status_unavailable:
      return ErrorCode::unavailable;
    default:
      return ErrorCode::invalid_argument;
  }
}

Result<std::string> outcome_of_status(long status, std::string response_body) {
  if (status == k_status_ok) {
    return response_body;
  }
  const std::string text = "platform answered with status " + std::to_string(status);
  const bool refused = status == k_status_unavailable ||
                       (status >= k_status_client_error && status < k_status_server_error);
  if (refused) {
    return not_run(code_of_rejection(status), text);
  }
  return may_have_run(ErrorCode::internal, text);
}

Result<std::string> outcome_of(ActiveCall& active, CURLcode code) {
  if (code == CURLE_OK) {
    long status = 0;
    curl_easy_getinfo(active.easy, CURLINFO_RESPONSE_CODE, &status);
    return outcome_of_status(status, std::move(active.response_body));
  }
  const std::string text = active.call.url + ": " + curl_easy_strerror(code);
  if (active.too_large) {
    return call_error(active.request_began, ErrorCode::too_large, text);
  }
  if (code == CURLE_OPERATION_TIMEDOUT) {
    return call_error(active.request_began, ErrorCode::deadline_exceeded, text);
  }
  return call_error(active.request_began,
                    active.request_began ? ErrorCode::connection_lost : ErrorCode::unavailable,
                    text);
}

CURLM* make_multi() {
  static std::once_flag once;
  std::call_once(once, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
  return curl_multi_init();
}

class CurlEngine final : public HttpEngine {
 public:
  CurlEngine(HttpEngineOptions options, Executor executor)
      : m_options(options), m_executor(std::move(executor)), m_multi(make_multi()) {
    curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS,
                      static_cast<long>(m_options.max_idle_connections));
    m_thread = std::thread([this] { run(); });
  }

  ~CurlEngine() override {
    CurlEngine::stop();
    curl_multi_cleanup(m_multi);
  }

  void submit(HttpCall call) override;
  void stop() override;

  [[nodiscard]] HttpEngineStats stats() const override {
    const std::lock_guard lock(m_mutex);
    return m_stats;
  }

 private:
  void run();
  bool start_queued();
  void start(QueuedCall queued);
  void configure(ActiveCall& active, std::chrono::milliseconds remaining) const;
  bool collect_finished();
  void finish(ActiveCall& active, CURLcode code);
  void abort_pending();
  void complete(HttpCall call, Result<std::string> result);

  HttpEngineOptions m_options;
  Executor m_executor;
  CURLM* m_multi;
  std::unordered_map<CURL*, std::unique_ptr<ActiveCall>> m_active;  // engine thread only

  mutable std::mutex m_mutex;  // guards the members below
  std::deque<QueuedCall> m_queue;
  HttpEngineStats m_stats;
  bool m_stopping = false;

  std::thread m_thread;
};

void CurlEngine::submit(HttpCall call) {
  const auto deadline = std::chrono::steady_clock::now() + call.timeout;
  ErrorCode refusal = ErrorCode::overloaded;
  {
    const std::lock_guard lock(m_mutex);
    ++m_stats.submitted;
    if (!m_stopping && m_queue.size() < m_options.max_queued) {
      m_queue.push_back({std::move(call), deadline});
      curl_multi_wakeup(m_multi);
      return;
    }
    ++m_stats.refused;
    refusal = m_stopping ? ErrorCode::unavailable : ErrorCode::overloaded;
  }
  const bool full = refusal == ErrorCode::overloaded;
  complete(std::move(call), not_run(refusal, full ? "too many calls to the platform are waiting"
                                                  : "the HTTP client has stopped"));
}

void CurlEngine::stop() {
  {
    const std::lock_guard lock(m_mutex);
    m_stopping = true;
  }
  curl_multi_wakeup(m_multi);
  if (m_thread.joinable()) {
    m_thread.join();
  }
}

void CurlEngine::run() {
  while (start_queued()) {
    int running = 0;
    curl_multi_perform(m_multi, &running);
    if (collect_finished()) {
      continue;  // a queued call can start now
    }
    curl_multi_poll(m_multi, nullptr, 0, k_poll_ms, nullptr);
  }
  abort_pending();
}

// Starts queued calls up to `max_active`. Returns false once the engine is stopping.
bool CurlEngine::start_queued() {
  std::vector<QueuedCall> ready;
  {
    const std::lock_guard lock(m_mutex);
    if (m_stopping) {
      return false;
    }
    while (!m_queue.empty() && m_active.size() + ready.size() < m_options.max_active) {
      ready.push_back(std::move(m_queue.front()));
      m_queue.pop_front();
    }
  }
  for (QueuedCall& queued : ready) {
    start(std::move(queued));
  }
  return true;
}

void CurlEngine::start(QueuedCall queued) {
  const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
      queued.deadline - std::chrono::steady_clock::now());
  if (remaining.count() <= 0) {
    complete(std::move(queued.call),
             not_run(ErrorCode::deadline_exceeded, "the call waited past its timeout"));
    return;
  }
  auto active = std::make_unique<ActiveCall>();
  active->call = std::move(queued.call);
  active->easy = curl_easy_init();
  if (active->easy == nullptr) {
    complete(std::move(active->call), not_run(ErrorCode::internal, "out of HTTP handles"));
    return;
  }
  configure(*active, remaining);
  CURL* easy = active->easy;
  curl_multi_add_handle(m_multi, easy);
  m_active.emplace(easy, std::move(active));
}

void CurlEngine::configure(ActiveCall& active, std::chrono::milliseconds remaining) const {
  CURL* easy = active.easy;
  active.max_body_bytes = m_options.max_body_bytes;
  active.headers = curl_slist_append(active.headers, "Expect:");
  set_option(easy, CURLOPT_URL, active.call.url.c_str());
  set_option(easy, CURLOPT_PROTOCOLS_STR, "http");
  set_option(easy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
  set_option(easy, CURLOPT_PROXY, "");
  set_option(easy, CURLOPT_NOSIGNAL, 1L);
  set_option(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(remaining.count()));
  set_option(easy, CURLOPT_MAXLIFETIME_CONN, static_cast<long>(m_options.max_connection_age_s));
  set_option(easy, CURLOPT_WRITEFUNCTION, &on_body);
  set_option(easy, CURLOPT_WRITEDATA, &active);
  set_option(easy, CURLOPT_PREREQFUNCTION, &on_request);
  set_option(easy, CURLOPT_PREREQDATA, &active);
  if (active.call.fresh_connection) {
    set_option(easy, CURLOPT_FRESH_CONNECT, 1L);
    set_option(easy, CURLOPT_FORBID_REUSE, 1L);
  }
  if (active.call.body) {
    const std::string type = std::string("Content-Type: ") + k_protobuf_type;
    active.headers = curl_slist_append(active.headers, type.c_str());
    set_option(easy, CURLOPT_POST, 1L);
    set_option(easy, CURLOPT_POSTFIELDS, active.call.body->data());
    set_option(easy, CURLOPT_POSTFIELDSIZE_LARGE,
               static_cast<curl_off_t>(active.call.body->size()));
  }
  set_option(easy, CURLOPT_HTTPHEADER, active.headers);
}

// Completes the calls that libcurl has finished. Returns true if there was one.
bool CurlEngine::collect_finished() {
  bool ended = false;
  int left = 0;
  while (CURLMsg* message = curl_multi_info_read(m_multi, &left)) {
    if (message->msg != CURLMSG_DONE) {
      continue;
    }
    const CURLcode code = message->data.result;
    const auto found = m_active.find(message->easy_handle);
    if (found == m_active.end()) {
      continue;
    }
    const auto active = std::move(found->second);
    m_active.erase(found);
    curl_multi_remove_handle(m_multi, active->easy);
    finish(*active, code);
    ended = true;
  }
  return ended;
}

void CurlEngine::finish(ActiveCall& active, CURLcode code) {
  long request_bytes = 0;
  curl_off_t uploaded = 0;
  curl_off_t downloaded = 0;
  curl_easy_getinfo(active.easy, CURLINFO_REQUEST_SIZE, &request_bytes);
  curl_easy_getinfo(active.easy, CURLINFO_SIZE_UPLOAD_T, &uploaded);
  curl_easy_getinfo(active.easy, CURLINFO_SIZE_DOWNLOAD_T, &downloaded);
  {
    const std::lock_guard lock(m_mutex);
    m_stats.bytes_sent += static_cast<std::uint64_t>(request_bytes + uploaded);
    m_stats.bytes_received += static_cast<std::uint64_t>(downloaded);
  }
  auto result = outcome_of(active, code);
  complete(std::move(active.call), std::move(result));
}

void CurlEngine::abort_pending() {
  for (auto& [easy, active] : m_active) {
    curl_multi_remove_handle(m_multi, easy);
    complete(std::move(active->call),
             call_error(active->request_began, ErrorCode::unavailable, "the HTTP client stopped"));
  }
  m_active.clear();
  std::deque<QueuedCall> queue;
  {
    const std::lock_guard lock(m_mutex);
    queue.swap(m_queue);
  }
  for (QueuedCall& queued : queue) {
    complete(std::move(queued.call), not_run(ErrorCode::unavailable, "the HTTP client stopped"));
  }
}

void CurlEngine::complete(HttpCall call, Result<std::string> result) {
  {
    const std::lock_guard lock(m_mutex);
    ++(result ? m_stats.answered : m_stats.failed);
  }
  // std::function requires a copyable target, so the result is held by a shared pointer.
  auto outcome = std::make_shared<Result<std::string>>(std::move(result));
  m_executor([done = std::move(call.done), outcome] { done(std::move(*outcome)); });
}

}  // namespace

std::unique_ptr<HttpEngine> make_http_engine(HttpEngineOptions options, Executor executor) {
  return std::make_unique<CurlEngine>(options, std::move(executor));
}

}  // namespace arbutusdale::backplane
