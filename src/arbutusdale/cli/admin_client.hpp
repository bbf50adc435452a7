// HTTP client of the daemons' admin API.
#pragma once

#include "arbutusdale/core/verdict.hpp"

#include <cstddef>
#include <memory>
#include <string>

namespace arbutusdale::cli {

/// Largest response body that is accepted.
constexpr std::size_t k_max_response_bytes = 67'108'864;

struct HttpResponse {
  long status = 0;
  std::string body;
};

/// Calls the admin API. An error means that no response was received; its verdict says whether
/// the request may have taken effect.
class AdminClient {
 public:
  AdminClient() = default;
  AdminClient(const AdminClient&) = delete;
  AdminClient& operator=(const AdminClient&) = delete;
  virtual ~AdminClient() = default;

  virtual Result<HttpResponse> get(const std::string& path) = 0;
  virtual Result<HttpResponse> post(const std::string& path, const std::string& body) = 0;
};

/// Client of the daemon at `server` (http://host:port) with a bearer token.
std::unique_ptr<AdminClient> make_admin_client(std::string server, std::string token);

/// Percent-encodes a path segment.
std::string encode_segment(const std::string& segment);

}  // namespace arbutusdale::cli
