// Fakes of the node's interfaces, backed by the models of the world.
#include "process.hpp"

#include <algorithm>
#include <utility>

#include "world.hpp"

namespace arbutusdale::scenario {
namespace {

constexpr Duration k_tick = std::chrono::milliseconds{50};
constexpr Duration k_call_timeout = std::chrono::seconds{1};

std::string step_of(const proto::state::Record& record) {
  const auto* field = record.GetDescriptor()->FindFieldByNumber(record.body_case());
  return field == nullptr ? "append" : "append " + field->name();
}

}  // namespace

/// The log as one process reaches it.
class Process::FakeLog final : public backplane::Log {
 public:
  FakeLog(World& world, Process& process) : m_world(world), m_process(process) {}

  void append(const std::string& stream, std::string payload,
              backplane::Completion<std::uint64_t> done) override {
    proto::state::Batch batch;
    batch.ParseFromString(payload);
    for (const auto& record : batch.records()) {
      m_world.step(step_of(record), m_process.daemon());
    }
    travel([this, stream, payload = std::move(payload), done = std::move(done)]() mutable {
      answer(m_world.log().append(stream, std::move(payload), m_world.queue().now()),
             std::move(done));
    });
  }

  void read(const std::string& stream, std::uint64_t from, std::uint32_t limit,
            backplane::Completion<proto::platform::ReadReply> done) override {
    travel([this, stream, from, limit, done = std::move(done)]() mutable {
      answer(m_world.log().read(stream, from, limit), std::move(done));
    });
  }

 private:
  [[nodiscard]] bool cut() const {
    return m_world.links().domains_cut_from_platform.contains(m_process.domain());
  }

  /// A request over a cut link is lost without an answer; the node's own timeout handles it.
  void travel(std::function<void()> arrive) {
    if (!m_process.alive() || cut()) {
      return;
    }
    m_world.queue().after(m_world.links().to_platform, std::move(arrive));
  }

  template <typename T>
  void answer(Result<T> result, backplane::Completion<T> done) {
    if (cut()) {
      return;
    }
    const bool lost = !result && result.error().verdict == Verdict::may_have_run;
    const Duration delay = m_world.links().to_platform + m_world.log().faults().delay +
                           (lost ? k_call_timeout : Duration{});
    m_process.deliver(delay,
                      [result = std::move(result), done = std::move(done)] { done(result); });
  }

  World& m_world;
  Process& m_process;
};

class Process::FakeVmList final : public backplane::VmList {
 public:
  FakeVmList(World& world, Process& process) : m_world(world), m_process(process) {}

  void fetch(backplane::Completion<proto::platform::VmListReply> done) override {
    if (m_world.links().domains_cut_from_platform.contains(m_process.domain())) {
      m_process.deliver(k_call_timeout, [done = std::move(done)] {
        done(not_run(ErrorCode::unavailable, "no route to the platform"));
      });
      return;
    }
    auto reply = m_world.vm_list().fetch(m_world.queue().now());
    m_process.deliver(m_world.links().to_platform * 2,
                      [reply = std::move(reply), done = std::move(done)] { done(reply); });
  }

 private:
  World& m_world;
  Process& m_process;
};

/// The agents as one process reaches them.
class Process::FakeAgents final : public backplane::WorkerAgents {
 public:
  FakeAgents(World& world, Process& process) : m_world(world), m_process(process) {}

  void acquire(const backplane::AgentAddress& agent, const proto::platform::AcquireRequest& request,
               Reply done) override {
    call("acquire", agent, std::move(done),
         [request](auto& model, TimePoint now) { return model.acquire(request, now); });
  }
  void renew(const backplane::AgentAddress& agent, const proto::platform::RenewRequest& request,
             Reply done) override {
    call("renew", agent, std::move(done),
         [request](auto& model, TimePoint now) { return model.renew(request, now); });
  }
  void report(const backplane::AgentAddress& agent, Reply done) override {
    call("report", agent, std::move(done),
         [](auto& model, TimePoint now) { return model.report(now); });
  }
  void start(const backplane::AgentAddress& agent, const proto::platform::StartRequest& request,
             Reply done) override {
    if (m_process.alive() && m_process.node().global().is_cancelled(request.job())) {
      m_world.breach(m_process.daemon() + " starts a task of the cancelled job " + request.job());
    }
    call("start", agent, std::move(done),
         [request](auto& model, TimePoint now) { return model.start(request, now); });
  }
  void checkpoint(const backplane::AgentAddress& agent,
                  const proto::platform::AttemptRequest& request, Reply done) override {
    call("checkpoint", agent, std::move(done),
         [request](auto& model, TimePoint now) { return model.checkpoint(request, now); });
  }
  void throttle(const backplane::AgentAddress& agent,
                const proto::platform::AttemptRequest& request, Reply done) override {
    call("throttle", agent, std::move(done),
         [request](auto& model, TimePoint now) { return model.throttle(request, now); });
  }
  void stop(const backplane::AgentAddress& agent, const proto::platform::AttemptRequest& request,
            Reply done) override {
    call("stop", agent, std::move(done),
         [request](auto& model, TimePoint now) { return model.stop(request, now); });
  }
  void acknowledge(const backplane::AgentAddress& agent,
                   const proto::platform::AcknowledgeRequest& request, Reply done) override {
    call("acknowledge", agent, std::move(done),
         [request](auto& model, TimePoint now) { return model.acknowledge(request, now); });
  }

 private:
  using Command =
      std::function<proto::platform::AgentReply(standin::AgentModel& model, TimePoint now)>;

  [[nodiscard]] bool cut() const {
    return m_world.links().daemons_cut_from_agents.contains(m_process.daemon());
  }

  void call(const char* name, const backplane::AgentAddress& agent, Reply done, Command command) {
    if (!m_process.alive()) {
      return;
    }
    m_world.step(std::string("agent ") + name, m_process.daemon());
    if (cut()) {
      fail(Verdict::not_run, std::move(done));
      return;
    }
    m_world.queue().after(m_world.links().in_domain,
                          [this, worker = agent.worker, done = std::move(done),
                           command = std::move(command)] { arrive(worker, done, command); });
  }

  void arrive(const std::string& worker, const Reply& done, const Command& command) {
    auto* model = m_world.agent(worker);
    if (model == nullptr || !model->is_reachable()) {
      fail(Verdict::not_run, done);
      return;
    }
    m_world.advance_agents();
    auto reply = command(*model, m_world.queue().now());
    if (cut() || model->faults().lose_answers) {
      fail(Verdict::may_have_run, done);
      return;
    }
    m_process.deliver(m_world.links().in_domain, [reply = std::move(reply), done] { done(reply); });
  }

  void fail(Verdict verdict, Reply done) {
    m_process.deliver(k_call_timeout, [verdict, done = std::move(done)] {
      done(tl::unexpected<Error>(
          Error{ErrorCode::unavailable, verdict, "the agent did not answer"}));
    });
  }

  World& m_world;
  Process& m_process;
};

class Process::FakePeers final : public peer::PeerNetwork {
 public:
  FakePeers(World& world, Process& process) : m_world(world), m_process(process) {}

  void send(const std::string& address, const proto::peer::PeerMessage& message) override {
    if (m_process.alive()) {
      m_world.send_peer(m_process, address, message);
    }
  }
  void on_message(Handler handler) override { m_handler = std::move(handler); }
  void receive(const proto::peer::PeerMessage& message) { m_handler(message); }

 private:
  World& m_world;
  Process& m_process;
  Handler m_handler;
};

Process::Process(World& world, control::NodeOptions options)
    : m_world(world),
      m_options(std::move(options)),
      m_log(std::make_unique<FakeLog>(world, *this)),
      m_vm_list(std::make_unique<FakeVmList>(world, *this)),
      m_agents(std::make_unique<FakeAgents>(world, *this)),
      m_peers(std::make_unique<FakePeers>(world, *this)),
      m_frontend(std::make_unique<Frontend>(world, *this)),
      m_self(std::make_shared<Process*>(this)) {
  m_node = control::make_node(
      m_options, control::NodeEnvironment{*m_log, *m_vm_list, *m_agents, *m_peers, *m_frontend,
                                          world.queue().clock()});
}

Process::~Process() = default;

void Process::start() {
  m_alive = true;
  tick();
}

void Process::kill() {
  m_alive = false;
  m_deferred.clear();
}

void Process::pause() {
  m_paused = true;
}

void Process::resume() {
  m_paused = false;
  auto deferred = std::exchange(m_deferred, {});
  for (auto& event : deferred) {
    deliver(Duration{}, std::move(event));
  }
}

void Process::deliver(Duration delay, std::function<void()> event) {
  const std::weak_ptr<Process*> self = m_self;
  m_world.queue().after(delay, [self, event = std::move(event)]() mutable {
    const auto locked = self.lock();
    if (!locked || !(*locked)->m_alive) {
      return;
    }
    Process& process = **locked;
    if (process.m_paused) {
      process.m_deferred.push_back(std::move(event));
      return;
    }
    event();
  });
}

void Process::tick() {
  m_node->tick(m_world.queue().now());
  m_frontend->pump();
  deliver(k_tick, [this] { tick(); });
}

void Process::receive(const proto::peer::PeerMessage& message) {
  m_peers->receive(message);
}

}  // namespace arbutusdale::scenario
