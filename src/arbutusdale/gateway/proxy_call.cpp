// Attempts and answers of a call.
#include "proxy_call.hpp"

#include <algorithm>

#include "dispatcher.hpp"
#include <fmt/format.h>

namespace arbutusdale::gateway {
namespace {

using routing::AttemptResult;

// Answers up to this size are buffered until they are complete: a failed one can then still be
// retried, and the connection's thread is woken only once.
constexpr std::size_t k_max_buffered_answer_bytes = 65'536;
// Largest answer of unknown length that is sent to an HTTP/1.0 caller, which could not tell a
// truncated answer from a complete one.
constexpr std::size_t k_max_http_1_0_answer_bytes = 1'048'576;
// A target may take this many times its declared p99 without sending a byte.
constexpr int k_silence_factor = 20;

bool has_request_body(const Exchange& exchange) {
  const auto& method = exchange.method();
  return !exchange.body().empty() || method == "POST" || method == "PUT" || method == "PATCH";
}

double to_seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

bool has_no_body(int status) {
  return status == 204 || status == 304;
}

}  // namespace

ProxyCall::ProxyCall(Dispatcher& dispatcher, CallRequest request, const std::string* traceparent)
    : m_dispatcher(dispatcher),
      m_request(std::move(request)),
      m_start(dispatcher.now()),
      m_trace(dispatcher.tracer(), traceparent, m_request.service->config.name) {
  m_trace.queued();
}

routing::Call ProxyCall::router_call() const {
  return {m_request.service->config.name, m_request.team, m_request.idempotent, m_request.forwarded,
          m_request.deadline};
}

void ProxyCall::watch_caller(std::function<void()> on_disconnect) {
  m_request.exchange->watch_caller(std::move(on_disconnect));
}

void ProxyCall::refuse(const Error& error) {
  auto answer = problem(error);
  const int status = answer.head.status;
  conclude(error.verdict, status, {});
  m_request.exchange->respond(std::move(answer));
}

void ProxyCall::replay(Answer answer, Verdict verdict) {
  const int status = answer.head.status;
  conclude(verdict, status, {});
  m_request.exchange->respond(std::move(answer));
}

void ProxyCall::start_attempt(const routing::Assignment& assignment) {
  m_routed = true;
  m_request.service->metrics->attempt_started(to_seconds(assignment.queued), assignment.attempt > 1,
                                              assignment.to_peer);
  send(assignment);
}

void ProxyCall::forward_to(const std::string& address) {
  m_routed = false;
  routing::Assignment assignment;
  assignment.worker = address;
  assignment.address = address;
  assignment.to_peer = true;
  send(assignment);
}

void ProxyCall::send(const routing::Assignment& assignment) {
  m_assignment = assignment;
  m_head = {};
  m_has_head = false;
  m_buffering = false;
  m_stored_complete = true;
  m_body.clear();
  const Duration left = m_request.deadline - m_dispatcher.now();
  if (left <= Duration::zero()) {
    on_end({UpstreamResult::not_sent, {}, {}, "the deadline has passed"});
    return;
  }
  const auto& exchange = *m_request.exchange;
  UpstreamRequest request;
  request.address = assignment.address;
  request.method = exchange.method();
  request.target = m_request.target;
  request.headers = request_headers(assignment, left);
  const auto traceparent = m_trace.attempt_started(assignment.worker, assignment.attempt);
  if (!traceparent.empty()) {
    request.headers.push_back({std::string(k_trace_header), traceparent});
  }
  request.body = exchange.body();
  request.has_body = has_request_body(exchange);
  // A retry avoids pooled connections, one of which may have stopped responding.
  request.fresh_connection = !m_request.idempotent || assignment.attempt > 1;
  request.timeout = left;
  request.silence = silence_limit(left);
  m_dispatcher.upstream().start(std::move(request), shared_from_this());
}

/// Ending a silent attempt early helps only when the call may be sent again; other calls wait for
/// their deadline.
Duration ProxyCall::silence_limit(Duration left) const {
  if (!m_request.idempotent) {
    return left;
  }
  return std::max(m_dispatcher.options().min_silence,
                  k_silence_factor * m_request.service->config.p99_target);
}

HeaderList ProxyCall::request_headers(const routing::Assignment& assignment, Duration left) const {
  HeaderList headers;
  headers.reserve(m_request.headers.size() + 4);
  const bool traced = m_dispatcher.tracer() != nullptr;
  for (const auto& field : m_request.headers) {
    if (!same_name(field.name, k_timeout_header) &&
        !(traced && same_name(field.name, k_trace_header))) {
      headers.push_back(field);
    }
  }
  const auto left_ms = std::chrono::duration_cast<std::chrono::milliseconds>(left).count();
  headers.push_back({std::string(k_timeout_header), std::to_string(std::max<long>(1, left_ms))});
  headers.push_back({"Via", "1.1 arbutusdale"});
  if (assignment.to_peer) {
    headers.push_back({std::string(k_hop_header), m_dispatcher.options().fleet_token});
  }
  return headers;
}

/// Failed answers are buffered because the router may decide on a retry.
bool ProxyCall::must_buffer(std::optional<std::uint64_t> length) const {
  return m_head.status >= 500 || m_head.status == 429 || has_no_body(m_head.status) ||
         m_request.exchange->method() == "HEAD" ||
         (length && *length <= k_max_buffered_answer_bytes) ||
         (!length && m_request.exchange->is_http_1_0());
}

SinkResult ProxyCall::on_head(int status, HeaderList headers, std::optional<std::uint64_t> length) {
  m_head.status = status;
  // The verdict of a peer is forwarded; a target cannot set one.
  const auto* verdict = find_header(headers, k_verdict_header);
  m_head.headers = end_to_end_headers(headers);
  if (m_assignment.to_peer && verdict != nullptr) {
    m_head.headers.push_back({std::string(k_verdict_header), *verdict});
  }
  m_length = length;
  m_has_head = true;
  m_buffering = must_buffer(length);
  return m_buffering ? SinkResult::taken : begin_stream();
}

SinkResult ProxyCall::begin_stream() {
  m_buffering = false;
  m_streaming = true;
  // The transfer keeps this call alive, and only the transfer can be paused.
  m_request.exchange->begin_stream(
      m_head, m_length,
      [&upstream = m_dispatcher.upstream(), id = m_transfer] { upstream.resume(id); });
  return SinkResult::taken;
}

SinkResult ProxyCall::on_data(std::string_view data) {
  if (m_buffering) {
    return buffer_data(data);
  }
  switch (m_request.exchange->write(data)) {
    case WriteResult::full:
      return SinkResult::pause;
    case WriteResult::disconnected:
      return SinkResult::abandon;
    case WriteResult::taken:
      break;
  }
  if (m_key_permitted && m_stored_complete) {
    m_stored_complete = m_body.size() + data.size() <= k_max_buffered_answer_bytes;
    m_body = m_stored_complete ? m_body.append(data) : std::string();
  }
  return SinkResult::taken;
}

SinkResult ProxyCall::buffer_data(std::string_view data) {
  const bool http_1_0 = m_request.exchange->is_http_1_0() && !m_length;
  const std::size_t limit = http_1_0 ? k_max_http_1_0_answer_bytes : k_max_buffered_answer_bytes;
  if (m_body.size() + data.size() <= limit) {
    m_body.append(data);
    return SinkResult::taken;
  }
  if (http_1_0) {
    return SinkResult::abandon;
  }
  begin_stream();
  m_request.exchange->write(m_body);
  m_body.clear();
  m_stored_complete = false;
  return on_data(data);
}

bool ProxyCall::peer_refused() const {
  const auto* verdict = find_header(m_head.headers, k_verdict_header);
  return verdict != nullptr && *verdict == to_string(Verdict::not_run);
}

/// A 503 or 429 from a target does not prove that the request was not executed, so it counts as
/// `refused`, which the router may retry, only for idempotent calls. A peer states its verdict.
AttemptResult ProxyCall::attempt_result(const UpstreamEnd& end) const {
  switch (end.result) {
    case UpstreamResult::not_sent:
      return AttemptResult::not_sent;
    case UpstreamResult::lost:
      return AttemptResult::connection_lost;
    case UpstreamResult::timed_out:
      return AttemptResult::timed_out;
    case UpstreamResult::abandoned:
      // The caller disconnected; this says nothing about the target.
      return AttemptResult::answered;
    case UpstreamResult::complete:
      break;
  }
  const bool refusal = m_head.status == 503 || m_head.status == 429;
  if (refusal && (m_assignment.to_peer ? peer_refused() : m_request.idempotent)) {
    return AttemptResult::refused;
  }
  return m_head.status >= 500 ? AttemptResult::server_error : AttemptResult::answered;
}

void ProxyCall::on_end(const UpstreamEnd& end) {
  m_trace.attempt_ended(end, m_head.status);
  routing::Completion completion;
  const auto result = attempt_result(end);
  if (m_routed) {
    completion = m_dispatcher.finish_attempt(m_assignment.call, {result, end.total}, m_streaming);
    if (completion.next == routing::NextStep::retry) {
      return;
    }
  } else {
    // A keyed call that does not reach its home domain is not sent, but an earlier one with the
    // same key may have run there.
    completion.verdict =
        end.result == UpstreamResult::complete ? Verdict::answered : Verdict::may_have_run;
  }
  if (end.result == UpstreamResult::complete) {
    finish_answered(completion.verdict);
  } else {
    finish_failed(end, completion.verdict);
  }
}

void ProxyCall::finish_answered(Verdict verdict) {
  // An answer of a target means `answered`, whatever its status; a peer may state another verdict.
  if (!m_assignment.to_peer) {
    verdict = Verdict::answered;
  } else if (peer_refused()) {
    verdict = Verdict::not_run;
  }
  auto& exchange = *m_request.exchange;
  std::string stored;
  if (m_key_permitted && m_stored_complete && m_body.size() <= k_max_buffered_answer_bytes) {
    stored = encode_answer({m_head, m_body});
  }
  conclude(verdict, m_head.status, std::move(stored));
  if (m_streaming) {
    exchange.end_stream(true);
  } else if (exchange.method() == "HEAD") {
    exchange.begin_stream(m_head, m_length, nullptr);
    exchange.end_stream(true);
  } else {
    exchange.respond({m_head, std::move(m_body)});
  }
}

void ProxyCall::finish_failed(const UpstreamEnd& end, Verdict verdict) {
  if (m_streaming) {
    conclude(Verdict::may_have_run, m_head.status, {});
    m_request.exchange->end_stream(false);
    return;
  }
  if (end.result == UpstreamResult::abandoned) {
    refuse({ErrorCode::connection_lost, Verdict::may_have_run, "the answer cannot be passed on"});
    return;
  }
  const auto code = end.result == UpstreamResult::timed_out  ? ErrorCode::deadline_exceeded
                    : end.result == UpstreamResult::not_sent ? ErrorCode::unavailable
                                                             : ErrorCode::connection_lost;
  refuse({code, verdict, fmt::format("the target did not answer: {}", end.message)});
}

/// Called before the end of the answer is sent, so that the key table and the metrics are up to
/// date when the caller has the whole answer.
void ProxyCall::conclude(Verdict verdict, int status, std::string stored_answer) {
  if (m_concluded) {
    return;
  }
  m_concluded = true;
  m_request.service->metrics->call_ended(verdict, status, to_seconds(m_dispatcher.now() - m_start));
  m_trace.ended(status, std::string(to_string(verdict)));
  if (m_key_permitted) {
    m_dispatcher.keys()->finish(*m_request.keyed, verdict == Verdict::not_run,
                                std::move(stored_answer));
  }
}

}  // namespace arbutusdale::gateway
