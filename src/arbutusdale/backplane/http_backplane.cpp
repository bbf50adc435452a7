// HTTP clients of the platform's log service, VM list and worker agents.
#include "arbutusdale/backplane/http_backplane.hpp"

#include <utility>

#include <curl/curl.h>

namespace arbutusdale::backplane {
namespace {

std::string percent_encode(const std::string& text) {
  char* encoded = curl_easy_escape(nullptr, text.data(), static_cast<int>(text.size()));
  if (encoded == nullptr) {
    return {};
  }
  std::string result(encoded);
  curl_free(encoded);
  return result;
}

/// Parses the body of a response. A malformed body does not show whether the request took effect,
/// so the verdict is `may_have_run`.
template <typename Message>
Result<Message> parse(Result<std::string> body) {
  if (!body) {
    return tl::unexpected<Error>(std::move(body.error()));
  }
  Message message;
  if (!message.ParseFromString(*body)) {
    return may_have_run(ErrorCode::internal, "answer of the platform is not a valid message");
  }
  return message;
}

class HttpLog final : public Log {
 public:
  HttpLog(HttpEngine& engine, std::string address, Duration timeout)
      : m_engine(engine), m_address(std::move(address)), m_timeout(timeout) {}

  void append(const std::string& stream, std::string payload,
              Completion<std::uint64_t> done) override {
    proto::platform::AppendRequest request;
    request.set_payload(std::move(payload));
    HttpCall call;
    call.url = stream_url(stream) + "/append";
    call.body = request.SerializeAsString();
    call.timeout = m_timeout;
    call.fresh_connection = true;
    call.done = [done = std::move(done)](Result<std::string> body) {
      const auto reply = parse<proto::platform::AppendReply>(std::move(body));
      if (reply) {
        done(reply->offset());
      } else {
        done(tl::unexpected<Error>(reply.error()));
      }
    };
    m_engine.submit(std::move(call));
  }

  void read(const std::string& stream, std::uint64_t from, std::uint32_t limit,
            Completion<proto::platform::ReadReply> done) override {
    HttpCall call;
    call.url =
        stream_url(stream) + "?from=" + std::to_string(from) + "&limit=" + std::to_string(limit);
    call.timeout = m_timeout;
    call.is_repeatable = true;
    call.done = [done = std::move(done)](Result<std::string> body) {
      done(parse<proto::platform::ReadReply>(std::move(body)));
    };
    m_engine.submit(std::move(call));
  }

 private:
  [[nodiscard]] std::string stream_url(const std::string& stream) const {
    return "http://" + m_address + "/log/" + percent_encode(stream);
  }

  HttpEngine& m_engine;
  std::string m_address;
  Duration m_timeout;
};

class HttpVmList final : public VmList {
 public:
  HttpVmList(HttpEngine& engine, std::string address, Duration timeout)
      : m_engine(engine), m_address(std::move(address)), m_timeout(timeout) {}

  void fetch(Completion<proto::platform::VmListReply> done) override {
    HttpCall call;
    call.url = "http://" + m_address + "/vms";
    call.timeout = m_timeout;
    call.is_repeatable = true;
    call.done = [done = std::move(done)](Result<std::string> body) {
      done(parse<proto::platform::VmListReply>(std::move(body)));
    };
    m_engine.submit(std::move(call));
  }

 private:
  HttpEngine& m_engine;
  std::string m_address;
  Duration m_timeout;
};

class HttpWorkerAgents final : public WorkerAgents {
 public:
  HttpWorkerAgents(HttpEngine& engine, Duration timeout) : m_engine(engine), m_timeout(timeout) {}

  void acquire(const AgentAddress& agent, const proto::platform::AcquireRequest& request,
               Reply done) override {
    post(agent, "acquire", request, done);
  }
  void renew(const AgentAddress& agent, const proto::platform::RenewRequest& request,
             Reply done) override {
    post(agent, "renew", request, done);
  }
  void report(const AgentAddress& agent, Reply done) override {
    HttpCall call = make_call(agent, "report", std::move(done));
    call.is_repeatable = true;
    m_engine.submit(std::move(call));
  }
  void start(const AgentAddress& agent, const proto::platform::StartRequest& request,
             Reply done) override {
    HttpCall call = make_call(agent, "start", std::move(done));
    call.body = request.SerializeAsString();
    call.fresh_connection = true;
    m_engine.submit(std::move(call));
  }
  void checkpoint(const AgentAddress& agent, const proto::platform::AttemptRequest& request,
                  Reply done) override {
    post(agent, "checkpoint", request, done);
  }
  void throttle(const AgentAddress& agent, const proto::platform::AttemptRequest& request,
                Reply done) override {
    post(agent, "throttle", request, done);
  }
  void stop(const AgentAddress& agent, const proto::platform::AttemptRequest& request,
            Reply done) override {
    post(agent, "stop", request, done);
  }
  void acknowledge(const AgentAddress& agent, const proto::platform::AcknowledgeRequest& request,
                   Reply done) override {
    post(agent, "acknowledge", request, done);
  }

 private:
  /// Commands are never repeated: a copy may take effect after a later command, and a refusal of
  /// the second copy would hide that the first was carried out.
  template <typename Message>
  void post(const AgentAddress& agent, const char* command, const Message& request, Reply done) {
    HttpCall call = make_call(agent, command, std::move(done));
    call.body = request.SerializeAsString();
    m_engine.submit(std::move(call));
  }

  [[nodiscard]] HttpCall make_call(const AgentAddress& agent, const char* command,
                                   Reply done) const {
    HttpCall call;
    call.url = "http://" + agent.address + "/agent/" + percent_encode(agent.worker) + "/" + command;
    call.timeout = m_timeout;
    call.done = [done = std::move(done)](Result<std::string> response) {
      done(parse<proto::platform::AgentReply>(std::move(response)));
    };
    return call;
  }

  HttpEngine& m_engine;
  Duration m_timeout;
};

}  // namespace

std::unique_ptr<Log> make_http_log(HttpEngine& engine, std::string address, Duration timeout) {
  return std::make_unique<HttpLog>(engine, std::move(address), timeout);
}

std::unique_ptr<VmList> make_http_vm_list(HttpEngine& engine, std::string address,
                                          Duration timeout) {
  return std::make_unique<HttpVmList>(engine, std::move(address), timeout);
}

std::unique_ptr<WorkerAgents> make_http_worker_agents(HttpEngine& engine, Duration timeout) {
  return std::make_unique<HttpWorkerAgents>(engine, timeout);
}

}  // namespace arbutusdale::backplane
