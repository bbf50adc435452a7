// Handler of the caller listener: validates requests and creates calls from them.
#pragma once

#include <memory>

#include "dispatcher.hpp"
#include "http_server.hpp"

namespace arbutusdale::gateway {

class CallerEntry {
 public:
  explicit CallerEntry(Dispatcher& dispatcher) : m_dispatcher(dispatcher) {}

  void handle(const std::shared_ptr<Exchange>& exchange);

 private:
  [[nodiscard]] bool is_forwarded(const HeaderList& headers) const;
  [[nodiscard]] std::string team_of(const HeaderList& headers) const;
  [[nodiscard]] Result<TimePoint> deadline_of(const HeaderList& headers,
                                              Duration service_timeout) const;
  void route_keyed(const std::shared_ptr<ProxyCall>& call, const routing::KeyedCall& keyed,
                   bool forwarded);
  void request_key_decision(const std::shared_ptr<ProxyCall>& call,
                            const routing::KeyedCall& keyed);
  static void decide(Dispatcher& dispatcher, const std::shared_ptr<ProxyCall>& call,
                     const routing::KeyResult& answer);

  Dispatcher& m_dispatcher;
};

}  // namespace arbutusdale::gateway
