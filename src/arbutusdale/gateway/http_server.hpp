// HTTP/1.1 listener on libmicrohttpd. A connection is suspended while its call awaits a decision or
// is in flight, so that a small thread pool serves many connections.
#pragma once

#include "arbutusdale/core/verdict.hpp"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

#include "answer.hpp"
#include "headers.hpp"

struct MHD_Connection;
struct MHD_Response;

namespace arbutusdale::gateway {

struct HttpServerOptions {
  std::string listen;  // IP:port
  unsigned threads = 2;
  unsigned max_connections = 1'024;
  unsigned idle_timeout_s = 60;
  std::size_t max_header_bytes = 32'768;
  std::size_t max_body_bytes = 8'388'608;
  std::size_t max_buffered_bytes = 134'217'728;  // request bodies of all calls
};

enum class WriteResult : std::uint8_t {
  taken,
  full,          ///< nothing was buffered; `on_drained` is called when there is room
  disconnected,  ///< the caller has disconnected
};

class HttpServerImpl;

/// One HTTP request and its answer. The request is complete and immutable when the handler receives
/// it; the answer may be given on any thread, either whole or as a stream.
class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(HttpServerImpl& server, std::uint64_t id, std::string target)
      : m_server(server), m_id(id), m_target(std::move(target)) {}
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;
  ~Exchange();

  [[nodiscard]] const std::string& method() const { return m_method; }
  [[nodiscard]] const std::string& target() const { return m_target; }
  [[nodiscard]] const HeaderList& headers() const { return m_headers; }
  [[nodiscard]] const std::string& body() const { return m_body; }
  [[nodiscard]] bool is_http_1_0() const { return m_http_1_0; }

  /// Answers the call; later answers are ignored.
  void respond(Answer answer);
  /// Starts an answer whose body follows; `length` is its size when it is known.
  void begin_stream(AnswerHead head, std::optional<std::uint64_t> length,
                    std::function<void()> on_drained);
  WriteResult write(std::string_view data);
  /// Ends the body. If it is incomplete, the connection is closed without terminating the body, so
  /// that the caller can tell that it is truncated.
  void end_stream(bool complete);

  /// Calls `on_disconnect` once if the caller closes its side of the connection before the answer
  /// starts.
  void watch_caller(std::function<void()> on_disconnect);

 private:
  friend class HttpServerImpl;

  void resume_locked();
  bool suspend_locked();
  bool queue_answer(MHD_Connection* connection);
  MHD_Response* make_response_locked();
  std::int64_t read_body(char* out, std::size_t max);
  void caller_disconnected();
  void close();

  HttpServerImpl& m_server;
  const std::uint64_t m_id;

  // Written by the connection's thread before the handler is called, immutable afterwards.
  const std::string m_target;
  std::string m_method;
  HeaderList m_headers;
  std::string m_body;
  bool m_http_1_0 = false;
  bool m_begun = false;
  bool m_dispatched = false;
  std::size_t m_discarded_bytes = 0;
  std::size_t m_counted_bytes = 0;  // share of the server's count of buffered bytes
  std::optional<Answer> m_early_refusal;

  mutable std::mutex m_mutex;              // guards everything below
  MHD_Connection* m_connection = nullptr;  // null after the connection has ended
  bool m_suspended = false;
  bool m_watched = false;
  bool m_answer_ready = false;
  bool m_streaming = false;
  bool m_ended = false;
  bool m_complete = false;
  bool m_writer_waits = false;
  AnswerHead m_head;
  std::optional<std::uint64_t> m_length;
  std::string m_buffer;  // body bytes not yet read by the connection, from m_read on
  std::size_t m_read = 0;
  std::function<void()> m_on_drained;
  std::function<void()> m_on_disconnect;
};

class HttpServer {
 public:
  using Handler = std::function<void(std::shared_ptr<Exchange>)>;

  HttpServer() = default;
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  virtual ~HttpServer() = default;

  virtual Result<void> start() = 0;
  [[nodiscard]] virtual std::uint16_t port() const = 0;
  /// All later answers carry `Connection: close`.
  virtual void close_after_answers() = 0;
  /// Refuses new connections; open connections are still served.
  virtual void stop_accepting() = 0;
  [[nodiscard]] virtual std::size_t open_exchanges() const = 0;
  /// Ends open calls with an error and closes all connections. Returns the number of calls cut off.
  virtual std::size_t stop() = 0;
};

std::unique_ptr<HttpServer> make_http_server(HttpServerOptions options,
                                             HttpServer::Handler handler);

}  // namespace arbutusdale::gateway
