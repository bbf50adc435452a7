// One libcurl transfer: request setup, answer callbacks, classification of its end.
#pragma once

#include "upstream.hpp"
#include <curl/curl.h>

namespace arbutusdale::gateway {

class Transfer {
 public:
  Transfer(std::uint64_t id, UpstreamRequest request, std::shared_ptr<TransferSink> sink)
      : m_id(id), m_request(std::move(request)), m_sink(std::move(sink)) {}
  ~Transfer() { curl_slist_free_all(m_header_lines); }
  Transfer(const Transfer&) = delete;
  Transfer& operator=(const Transfer&) = delete;

  [[nodiscard]] std::uint64_t id() const { return m_id; }
  [[nodiscard]] CURL* easy() const { return m_easy; }

  /// Configures a newly reset handle for the request.
  void prepare(CURL* easy, const UpstreamOptions& options);
  /// Reports the end to the sink; `abandon` means that the engine itself stops the transfer.
  void finish(CURLcode code, bool abandon);

 private:
  static std::size_t on_header(char* data, std::size_t size, std::size_t count, void* self);
  static std::size_t on_data(char* data, std::size_t size, std::size_t count, void* self);
  static int on_socket(void* self, curl_socket_t socket, curlsocktype purpose);

  void set_headers();
  void set_method();
  void set_limits(const UpstreamOptions& options);
  bool take_header_line(std::string_view line);
  bool finish_head();
  [[nodiscard]] std::optional<std::uint64_t> body_length() const;
  [[nodiscard]] UpstreamResult classify(CURLcode code) const;

  const std::uint64_t m_id;
  const UpstreamRequest m_request;
  const std::shared_ptr<TransferSink> m_sink;
  CURL* m_easy = nullptr;
  curl_slist* m_header_lines = nullptr;
  HeaderList m_headers;
  std::size_t m_header_bytes = 0;
  bool m_head_done = false;
  bool m_abandoned = false;
};

}  // namespace arbutusdale::gateway
