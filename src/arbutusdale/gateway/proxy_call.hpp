// Lifecycle of one call: from the caller's exchange through attempts at targets to its answer.
#pragma once

#include "arbutusdale/core/clock.hpp"
#include "arbutusdale/routing/key_table.hpp"
#include "arbutusdale/routing/request_router.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "call_trace.hpp"
#include "http_server.hpp"
#include "upstream.hpp"

namespace arbutusdale::gateway {

class Dispatcher;
struct Service;

/// A validated request, as CallerEntry creates it.
struct CallRequest {
  std::shared_ptr<Exchange> exchange;
  std::shared_ptr<const Service> service;
  std::string target;  // path and query
  std::string team;
  HeaderList headers;  // end-to-end fields
  bool idempotent = false;
  bool forwarded = false;
  std::optional<routing::KeyedCall> keyed;  // only when this daemon's KeyGate permits the call
  TimePoint deadline{};
};

class ProxyCall final : public TransferSink, public std::enable_shared_from_this<ProxyCall> {
 public:
  ProxyCall(Dispatcher& dispatcher, CallRequest request, const std::string* traceparent);

  [[nodiscard]] routing::Call router_call() const;
  /// True between an assignment and the end of its attempt. Guarded by the dispatcher's mutex.
  [[nodiscard]] bool in_flight() const { return m_in_flight; }
  void set_in_flight(bool value) { m_in_flight = value; }

  void watch_caller(std::function<void()> on_disconnect);
  /// Records that the key was permitted, so that `KeyGate::finish` must be called at the end.
  void permit_key() { m_key_permitted = true; }

  /// Ends the call with an error, without a further attempt.
  void refuse(const Error& error);
  /// Ends the call with a stored or locally built answer, without sending it to a target.
  void replay(Answer answer, Verdict verdict);
  void start_attempt(const routing::Assignment& assignment);
  /// Sends the call once to the daemon that decides its key, bypassing the router.
  void forward_to(const std::string& address);

  void on_start(std::uint64_t id) override { m_transfer = id; }
  SinkResult on_head(int status, HeaderList headers, std::optional<std::uint64_t> length) override;
  SinkResult on_data(std::string_view data) override;
  void on_end(const UpstreamEnd& end) override;

 private:
  void send(const routing::Assignment& assignment);
  [[nodiscard]] HeaderList request_headers(const routing::Assignment& assignment,
                                           Duration left) const;
  [[nodiscard]] Duration silence_limit(Duration left) const;
  [[nodiscard]] bool must_buffer(std::optional<std::uint64_t> length) const;
  SinkResult begin_stream();
  SinkResult buffer_data(std::string_view data);
  [[nodiscard]] routing::AttemptResult attempt_result(const UpstreamEnd& end) const;
  [[nodiscard]] bool peer_refused() const;
  void finish_answered(Verdict verdict);
  void finish_failed(const UpstreamEnd& end, Verdict verdict);
  void conclude(Verdict verdict, int status, std::string stored_answer);

  Dispatcher& m_dispatcher;
  const CallRequest m_request;
  const TimePoint m_start;
  bool m_in_flight = false;  // guarded by the dispatcher's mutex

  // Used by one thread at a time: attempts do not overlap, and the dispatcher's mutex orders the
  // end of one before the start of the next.
  CallTrace m_trace;
  routing::Assignment m_assignment;
  bool m_routed = false;  // the router must be told the end of the attempt
  bool m_key_permitted = false;
  bool m_concluded = false;
  std::uint64_t m_transfer = 0;

  // Answer of the current attempt.
  AnswerHead m_head;
  std::optional<std::uint64_t> m_length;
  bool m_has_head = false;
  bool m_buffering = false;
  bool m_streaming = false;
  bool m_stored_complete = true;  // m_body holds the whole answer so far
  std::string m_body;             // buffered answer, or the copy stored in the key table
};

}  // namespace arbutusdale::gateway
