// HTTP clients of the platform. Request and response bodies are messages of platform.proto.
//
//   POST /log/STREAM/append            AppendRequest -> AppendReply; STREAM is percent-encoded
//   GET  /log/STREAM?from=N&limit=M    -> ReadReply
//   GET  /vms                          -> VmListReply
//
// At the address of each worker's agent:
//
//   POST /agent/WORKER/acquire         AcquireRequest -> AgentReply
//   POST /agent/WORKER/renew           RenewRequest -> AgentReply
//   POST /agent/WORKER/start           StartRequest -> AgentReply
//   POST /agent/WORKER/checkpoint      AttemptRequest -> AgentReply; same for throttle and stop
//   POST /agent/WORKER/acknowledge     AcknowledgeRequest -> AgentReply
//   GET  /agent/WORKER/report          -> AgentReply
//
// A response with status 200 carries the reply. 4xx and 503 mean that nothing was done.
#pragma once

#include "arbutusdale/backplane/backplane.hpp"
#include "arbutusdale/backplane/http_engine.hpp"

#include <memory>
#include <string>

namespace arbutusdale::backplane {

inline constexpr Duration k_log_timeout = std::chrono::seconds{2};
inline constexpr Duration k_vm_list_timeout = std::chrono::seconds{2};
inline constexpr Duration k_agent_timeout = std::chrono::seconds{1};

/// Content type of request and response bodies.
inline constexpr const char* k_protobuf_type = "application/x-protobuf";

/// `address` is host:port of the platform. The engine must outlive the client.
std::unique_ptr<Log> make_http_log(HttpEngine& engine, std::string address,
                                   Duration timeout = k_log_timeout);

std::unique_ptr<VmList> make_http_vm_list(HttpEngine& engine, std::string address,
                                          Duration timeout = k_vm_list_timeout);

std::unique_ptr<WorkerAgents> make_http_worker_agents(HttpEngine& engine,
                                                      Duration timeout = k_agent_timeout);

}  // namespace arbutusdale::backplane
