// Implementation class of the HTTP listener, used by the server and its exchanges.
#pragma once

#include <unordered_map>

#include "caller_watch.hpp"
#include "http_server.hpp"
#include <microhttpd.h>

namespace arbutusdale::gateway {

class HttpServerImpl final : public HttpServer {
 public:
  HttpServerImpl(HttpServerOptions options, Handler handler);
  ~HttpServerImpl() override;
  HttpServerImpl(const HttpServerImpl&) = delete;
  HttpServerImpl& operator=(const HttpServerImpl&) = delete;

  Result<void> start() override;
  [[nodiscard]] std::uint16_t port() const override { return m_port; }
  void close_after_answers() override { m_closing = true; }
  void stop_accepting() override;
  [[nodiscard]] std::size_t open_exchanges() const override;
  std::size_t stop() override;

  [[nodiscard]] bool closing() const { return m_closing; }
  [[nodiscard]] bool stopping() const { return m_stopping; }
  CallerWatch& watch() { return m_watch; }
  [[nodiscard]] std::shared_ptr<Exchange> find(std::uint64_t id) const;
  /// Adds to the count of buffered body bytes; false, without a change, above the limit.
  bool reserve_bytes(std::size_t bytes);
  void release_bytes(std::size_t bytes) { m_buffered_bytes -= bytes; }
  void count_suspended(int change) { m_suspended += change; }

 private:
  static void* on_request_line(void* self, const char* uri, MHD_Connection* connection);
  static MHD_Result on_request(void* self, MHD_Connection* connection, const char* url,
                               const char* method, const char* version, const char* data,
                               std::size_t* size, void** context);
  static void on_completed(void* self, MHD_Connection* connection, void** context,
                           MHD_RequestTerminationCode code);

  MHD_Result begin(MHD_Connection* connection, Exchange& exchange, const char* method,
                   const char* version) const;
  MHD_Result add_body(Exchange& exchange, std::string_view data);
  MHD_Result finish_request(MHD_Connection* connection, const std::shared_ptr<Exchange>& exchange);
  MHD_Result suspend_or_answer(MHD_Connection* connection, Exchange& exchange);
  std::vector<std::shared_ptr<Exchange>> live_exchanges() const;

  const HttpServerOptions m_options;
  const Handler m_handler;
  MHD_Daemon* m_daemon = nullptr;
  int m_listen_socket = -1;  // owned by this class after stop_accepting, closed by stop
  std::uint16_t m_port = 0;
  std::atomic<bool> m_closing{false};
  std::atomic<bool> m_stopping{false};
  std::atomic<std::size_t> m_buffered_bytes{0};
  std::atomic<int> m_suspended{0};  // suspended connections; MHD must not be stopped before it is 0
  CallerWatch m_watch;
  mutable std::mutex m_mutex;  // guards m_exchanges and m_next_id
  std::unordered_map<std::uint64_t, std::weak_ptr<Exchange>> m_exchanges;
  std::uint64_t m_next_id = 1;
};

}  // namespace arbutusdale::gateway
