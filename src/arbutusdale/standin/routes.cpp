// Routes of the platform and of the agents.
#include "arbutusdale/backplane/http_backplane.hpp"

#include <charconv>
#include <optional>
#include <utility>

#include "world.hpp"

namespace arbutusdale::standin {
namespace {

using proto::platform::AgentReply;

constexpr unsigned k_bad_request = 400;
constexpr unsigned k_not_found = 404;
constexpr unsigned k_payload_too_large = 413;
constexpr unsigned k_unavailable = 503;

std::uint64_t number(const std::string& text, std::uint64_t fallback) {
  std::uint64_t value = fallback;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

HttpAnswer status_answer(unsigned status, std::string text) {
  HttpAnswer answer;
  answer.status = status;
  answer.body = std::move(text);
  return answer;
}

HttpAnswer json_answer(std::string text) {
  HttpAnswer answer;
  answer.type = "application/json";
  answer.body = std::move(text);
  return answer;
}

template <typename Message>
HttpAnswer message_answer(const Message& message) {
  HttpAnswer answer;
  answer.type = backplane::k_protobuf_type;
  answer.body = message.SerializeAsString();
  return answer;
}

/// Status 503 means that nothing was done; a lost response is a connection reset.
HttpAnswer error_answer(const Error& error) {
  if (error.verdict != Verdict::not_run) {
    HttpAnswer answer;
    answer.ending = Ending::reset;
    return answer;
  }
  const bool too_large = error.code == ErrorCode::too_large;
  return status_answer(too_large ? k_payload_too_large : k_unavailable, error.message);
}

/// Returns the part of `path` between a prefix and a suffix; empty if the path does not match.
std::optional<std::string> between(const std::string& path, const std::string& prefix,
                                   const std::string& suffix) {
  if (path.size() <= prefix.size() + suffix.size() || !path.starts_with(prefix) ||
      !path.ends_with(suffix)) {
    return std::nullopt;
  }
  return path.substr(prefix.size(), path.size() - prefix.size() - suffix.size());
}

HttpAnswer append(World& world, const std::string& stream, const Exchange& exchange) {
  proto::platform::AppendRequest request;
  if (!request.ParseFromString(exchange.body)) {
    return status_answer(k_bad_request, "body is not an AppendRequest");
  }
  const auto offset = world.log.append(stream, request.payload(), world.now());
  if (!offset) {
    return error_answer(offset.error());
  }
  proto::platform::AppendReply reply;
  reply.set_offset(*offset);
  return message_answer(reply);
}

HttpAnswer read(World& world, const std::string& stream, const Exchange& exchange) {
  constexpr std::uint64_t k_default_limit = 1'000;
  const auto limit = number(exchange.argument("limit"), k_default_limit);
  const auto reply = world.log.read(stream, number(exchange.argument("from"), 0),
                                    static_cast<std::uint32_t>(limit));
  return reply ? message_answer(*reply) : error_answer(reply.error());
}

HttpAnswer list_vms(World& world) {
  const auto reply = world.list.fetch(world.now());
  return reply ? message_answer(*reply) : error_answer(reply.error());
}

HttpAnswer executions(World& world, const Exchange& exchange) {
  const std::string key = exchange.argument("key");
  const std::uint64_t count =
      key.empty() ? world.observer.executions_of_request(exchange.argument("request_id"))
                  : world.observer.executions_of_key(key);
  return status_answer(200, std::to_string(count));
}

HttpAnswer platform_answer(World& world, const Exchange& exchange) {
  const bool post = exchange.method == "POST";
  const std::lock_guard lock(world.mutex);
  if (!post && exchange.path == "/vms") {
    return list_vms(world);
  }
  if (!post && exchange.path == "/observer") {
    return json_answer(world.observer.to_json());
  }
  if (!post && exchange.path == "/executions") {
    return executions(world, exchange);
  }
  if (const auto stream = between(exchange.path, "/log/", "/append"); post && stream) {
    return append(world, *stream, exchange);
  }
  if (const auto stream = between(exchange.path, "/log/", ""); !post && stream) {
    return read(world, *stream, exchange);
  }
  return status_answer(k_not_found, "no such route");
}

template <typename Request>
using Command = AgentReply (AgentModel::*)(const Request&, TimePoint);

template <typename Request>
HttpAnswer run_command(World& world, AgentModel& agent, const std::string& body,
                       Command<Request> command) {
  Request request;
  if (!request.ParseFromString(body)) {
    return status_answer(k_bad_request, "body is not the message of this command");
  }
  return message_answer((agent.*command)(request, world.now()));
}

HttpAnswer agent_answer(World& world, AgentModel& agent, const std::string& command,
                        const Exchange& exchange) {
  const std::string& body = exchange.body;
  if (exchange.method != "POST") {
    return command == "report" ? message_answer(agent.report(world.now()))
                               : status_answer(k_not_found, "no such route");
  }
  if (command == "acquire") {
    return run_command(world, agent, body, &AgentModel::acquire);
  }
  if (command == "renew") {
    return run_command(world, agent, body, &AgentModel::renew);
  }
  if (command == "start") {
    return run_command(world, agent, body, &AgentModel::start);
  }
  if (command == "checkpoint") {
    return run_command(world, agent, body, &AgentModel::checkpoint);
  }
  if (command == "throttle") {
    return run_command(world, agent, body, &AgentModel::throttle);
  }
  if (command == "stop") {
    return run_command(world, agent, body, &AgentModel::stop);
  }
  if (command == "acknowledge") {
    return run_command(world, agent, body, &AgentModel::acknowledge);
  }
  return status_answer(k_not_found, "no such route");
}

}  // namespace

void handle_platform(World& world, HttpLoop& loop, Exchange& exchange) {
  if (exchange.method == "POST" && exchange.path == "/fault") {
    const auto applied = apply_fault(world, loop, exchange.body);
    loop.answer(exchange.id, applied ? status_answer(200, "ok\n")
                                     : status_answer(k_bad_request, applied.error().message));
    return;
  }
  HttpAnswer answer = platform_answer(world, exchange);
  Duration delay{};
  if (exchange.path.starts_with("/log/")) {
    const std::lock_guard lock(world.mutex);
    delay = world.log.faults().delay;
  }
  if (delay == Duration{}) {
    loop.answer(exchange.id, std::move(answer));
    return;
  }
  loop.after(delay, [&loop, id = exchange.id, answer = std::move(answer)]() mutable {
    loop.answer(id, std::move(answer));
  });
}

void handle_agent(World& world, HttpLoop& loop, VmNode& node, Exchange& exchange) {
  const std::string prefix = "/agent/" + node.vm.id() + "/";
  const auto command = between(exchange.path, prefix, "");
  if (!command) {
    loop.answer(exchange.id, status_answer(k_not_found, "no such worker at this address"));
    return;
  }
  const std::lock_guard lock(world.mutex);
  HttpAnswer answer;
  if (node.agent->faults().unreachable) {
    answer.ending = Ending::silent;
  } else {
    answer = agent_answer(world, *node.agent, *command, exchange);
    answer.ending = node.agent->faults().lose_answers ? Ending::reset : Ending::complete;
  }
  loop.answer(exchange.id, std::move(answer));
}

}  // namespace arbutusdale::standin
