// Admin requests and replies, exchanged between the HTTP listener and the control thread.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace arbutusdale::gateway {

enum class Role : std::uint8_t {
  none,
  team,       ///< may read status and cancel its own jobs
  operator_,  ///< may do everything; NOLINT(readability-identifier-naming): a keyword otherwise
};

std::string_view to_string(Role role);

/// Authenticated caller of an admin request, identified by its bearer token.
struct Principal {
  std::string name;
  Role role = Role::none;
};

struct AdminRequest {
  std::string method;
  std::string path;   // without the query
  std::string query;  // without the question mark
  std::string body;
  Principal principal;
};

struct AdminReply {
  int status = 200;
  std::string content_type = "application/json";
  std::string body;
};

/// Handles admin requests. `reply` is invoked exactly once, on any thread.
class AdminHandler {
 public:
  AdminHandler() = default;
  AdminHandler(const AdminHandler&) = delete;
  AdminHandler& operator=(const AdminHandler&) = delete;
  virtual ~AdminHandler() = default;

  virtual void handle(AdminRequest request, std::function<void(AdminReply)> reply) = 0;
};

}  // namespace arbutusdale::gateway
