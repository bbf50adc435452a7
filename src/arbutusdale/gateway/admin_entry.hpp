// Handler of the admin listener: authentication, health, metrics, and the admin handler's routes.
#pragma once

#include "arbutusdale/gateway/gateway.hpp"

#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include "http_server.hpp"

namespace arbutusdale::gateway {

class AdminEntry {
 public:
  /// `refresh` updates gauges before they are exposed.
  AdminEntry(const GatewayOptions& options, const GatewayParts& parts,
             std::function<void()> refresh);

  void handle(const std::shared_ptr<Exchange>& exchange);
  void set_ready(bool ready, const std::string& reason);

 private:
  [[nodiscard]] Principal authenticate(const HeaderList& headers) const;
  [[nodiscard]] Answer readiness() const;
  void call_handler(const std::shared_ptr<Exchange>& exchange, std::string path, std::string query);

  const std::vector<AdminToken> m_tokens;
  AdminHandler* const m_handler;
  observe::Registry* const m_registry;
  const std::function<void()> m_refresh;

  mutable std::mutex m_mutex;  // guards m_ready and m_reason; no other lock is taken under it
  bool m_ready = false;
  std::string m_reason = "starting";
};

}  // namespace arbutusdale::gateway
