// Handlers that apply the records of the global and the domain stream to their states.
#pragma once

#include "arbutusdale/state/domain_state.hpp"
#include "arbutusdale/state/global_state.hpp"
#include "arbutusdale/state/stream.hpp"

#include <functional>
#include <string>
#include <utility>

namespace arbutusdale::control {

class GlobalHandler final : public state::StreamHandler {
 public:
  explicit GlobalHandler(state::GlobalState& state) : m_state(state) {}

  Result<void> apply(std::uint64_t offset, const proto::state::Record& record) override {
    return m_state.apply(offset, record);
  }
  std::string save_snapshot() override { return m_state.snapshot().SerializeAsString(); }
  Result<void> load_snapshot(const std::string& data) override {
    proto::state::GlobalSnapshot snapshot;
    if (!snapshot.ParseFromString(data)) {
      return not_run(ErrorCode::invalid_argument, "global snapshot cannot be decoded");
    }
    m_state.restore(snapshot);
    return {};
  }

 private:
  state::GlobalState& m_state;
};

class DomainHandler final : public state::StreamHandler {
 public:
  using Joined = std::function<void(const proto::state::DaemonJoined&)>;

  explicit DomainHandler(state::DomainState& state) : m_state(state) {}

  void on_joined(Joined handler) { m_joined = std::move(handler); }

  Result<void> apply(std::uint64_t offset, const proto::state::Record& record) override {
    auto applied = m_state.apply(offset, record);
    if (applied && record.has_daemon_joined() && m_joined) {
      m_joined(record.daemon_joined());
    }
    return applied;
  }
  std::string save_snapshot() override { return m_state.snapshot().SerializeAsString(); }
  Result<void> load_snapshot(const std::string& data) override {
    proto::state::DomainSnapshot snapshot;
    if (!snapshot.ParseFromString(data)) {
      return not_run(ErrorCode::invalid_argument, "domain snapshot cannot be decoded");
    }
    m_state.restore(snapshot);
    return {};
  }

 private:
  state::DomainState& m_state;
  Joined m_joined;
};

}  // namespace arbutusdale::control
