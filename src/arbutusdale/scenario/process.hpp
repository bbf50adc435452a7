// One daemon process of a scenario: its node, and fakes of the interfaces that the node uses.
#pragma once

#include "arbutusdale/backplane/backplane.hpp"
#include "arbutusdale/control/node.hpp"
#include "arbutusdale/peer/peer.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "event_queue.hpp"
#include "frontend.hpp"

namespace arbutusdale::scenario {

class World;

/// One run of a daemon; a restart creates a new Process. Everything that arrives passes through
/// `deliver`, which drops it when the process is dead and defers it while the process is paused.
class Process {
 public:
  Process(World& world, control::NodeOptions options);
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  ~Process();

  void start();
  void kill();
  void pause();
  void resume();

  /// Runs `event` after `delay` if the process is still alive then.
  void deliver(Duration delay, std::function<void()> event);

  [[nodiscard]] bool alive() const { return m_alive; }
  [[nodiscard]] bool paused() const { return m_paused; }
  [[nodiscard]] const std::string& daemon() const { return m_options.daemon; }
  [[nodiscard]] const std::string& domain() const { return m_options.domain; }
  [[nodiscard]] control::Node& node() { return *m_node; }
  [[nodiscard]] const control::Node& node() const { return *m_node; }
  [[nodiscard]] Frontend& frontend() { return *m_frontend; }
  void receive(const proto::peer::PeerMessage& message);

 private:
  class FakeLog;
  class FakeVmList;
  class FakeAgents;
  class FakePeers;

  void tick();

  World& m_world;
  control::NodeOptions m_options;
  std::unique_ptr<FakeLog> m_log;
  std::unique_ptr<FakeVmList> m_vm_list;
  std::unique_ptr<FakeAgents> m_agents;
  std::unique_ptr<FakePeers> m_peers;
  std::unique_ptr<Frontend> m_frontend;
  std::unique_ptr<control::Node> m_node;
  std::shared_ptr<Process*> m_self;              // events hold a weak reference
  std::deque<std::function<void()>> m_deferred;  // arrived while paused
  bool m_alive = false;
  bool m_paused = false;
};

}  // namespace arbutusdale::scenario
