// Abstract interfaces to the platform: the log service, the VM list and the workers' agents.
// All calls are asynchronous. Each completion is invoked exactly once, on the control thread.
#pragma once

#include "arbutusdale/core/resources.hpp"
#include "arbutusdale/core/verdict.hpp"
#include "arbutusdale/platform.pb.h"

#include <cstdint>
#include <functional>
#include <string>

namespace arbutusdale::backplane {

/// Receives the outcome of a call.
template <typename T>
using Completion = std::function<void(Result<T>)>;

/// Client of the append-only log service. Entries are addressed by stream and offset. Retention is
/// finite, and the service can be unavailable.
class Log {
 public:
  Log() = default;
  Log(const Log&) = delete;
  Log& operator=(const Log&) = delete;
  virtual ~Log() = default;

  /// Appends one entry and returns its offset. After an error with the verdict `may_have_run`, the
  /// caller must read the stream to find out whether the entry was stored.
  virtual void append(const std::string& stream, std::string payload,
                      Completion<std::uint64_t> done) = 0;

  /// Reads up to `limit` entries, starting at offset `from`. If `from` is below the first retained
  /// offset, the entries start at the reply's `first_offset`; the caller must check for this gap.
  virtual void read(const std::string& stream, std::uint64_t from, std::uint32_t limit,
                    Completion<proto::platform::ReadReply> done) = 0;
};

/// Client of the list of live and leaving VMs. The list lags behind the actual state.
class VmList {
 public:
  VmList() = default;
  VmList(const VmList&) = delete;
  VmList& operator=(const VmList&) = delete;
  virtual ~VmList() = default;

  virtual void fetch(Completion<proto::platform::VmListReply> done) = 0;
};

/// Address of a worker's agent.
struct AgentAddress {
  std::string worker;   // VM id
  std::string address;  // host:port
};

/// Client of the agents that run tasks on workers. `start` and `stop` are idempotent by (job, task,
/// attempt, token).
class WorkerAgents {
 public:
  using Reply = Completion<proto::platform::AgentReply>;

  WorkerAgents() = default;
  WorkerAgents(const WorkerAgents&) = delete;
  WorkerAgents& operator=(const WorkerAgents&) = delete;
  virtual ~WorkerAgents() = default;

  virtual void acquire(const AgentAddress& agent, const proto::platform::AcquireRequest& request,
                       Reply done) = 0;
  virtual void renew(const AgentAddress& agent, const proto::platform::RenewRequest& request,
                     Reply done) = 0;
  virtual void report(const AgentAddress& agent, Reply done) = 0;
  virtual void start(const AgentAddress& agent, const proto::platform::StartRequest& request,
                     Reply done) = 0;
  virtual void checkpoint(const AgentAddress& agent, const proto::platform::AttemptRequest& request,
                          Reply done) = 0;
  virtual void throttle(const AgentAddress& agent, const proto::platform::AttemptRequest& request,
                        Reply done) = 0;
  virtual void stop(const AgentAddress& agent, const proto::platform::AttemptRequest& request,
                    Reply done) = 0;
  virtual void acknowledge(const AgentAddress& agent,
                           const proto::platform::AcknowledgeRequest& request, Reply done) = 0;
};

/// Conversions between the protobuf message and the type used for arithmetic.
Resources from_proto(const proto::platform::Resources& amount);
proto::platform::Resources to_proto(const Resources& amount);

}  // namespace arbutusdale::backplane
