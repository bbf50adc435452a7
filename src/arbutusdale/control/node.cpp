// The node: connects the streams, membership, shards, plans and routing updates.
#include "arbutusdale/control/node.hpp"

#include <utility>

#include "context.hpp"
#include "incarnations.hpp"
#include "key_service.hpp"
#include "plan_executor.hpp"
#include "routing_feed.hpp"
#include "shard_manager.hpp"
#include "status.hpp"
#include "stream_handlers.hpp"
#include "vm_view.hpp"
#include <spdlog/spdlog.h>
#include <xxhash.h>

namespace arbutusdale::control {
namespace {

constexpr Duration k_load_interval = std::chrono::milliseconds{100};
constexpr Duration k_snapshot_request_interval = std::chrono::seconds{2};
constexpr std::size_t k_max_snapshot_bytes = 16'777'216;

std::string global_stream_name() {
  return "global";
}
std::string domain_stream_name(const std::string& domain) {
  return "domain/" + domain;
}

class NodeImpl final : public Node {
 public:
  NodeImpl(NodeOptions options, NodeEnvironment environment);

  void tick(TimePoint now) override;
  void propose_plan(state::PlanRequest request, PlanMade done) override;
  void decide_plan(const std::string& plan_id, proto::state::PlanDecided::Decision decision,
                   const std::string& actor, const std::string& reason,
                   PlanDecidedDone done) override;
  [[nodiscard]] std::string status_json() const override;
  [[nodiscard]] std::string record_json(std::size_t limit) const override;
  [[nodiscard]] const state::GlobalState& global() const override { return *m_global; }
  [[nodiscard]] const state::DomainState& domain() const override { return *m_domain; }
  void request_key(const routing::KeyedCall& call,
                   routing::KeyTable::DecisionCallback decided) override;
  void finish_key(const routing::KeyedCall& call, bool not_run, std::string answer) override;
  [[nodiscard]] std::vector<DomainEntry> domain_entries() const override;
  [[nodiscard]] Readiness readiness() const override;
  [[nodiscard]] NodeFigures figures() const override;
  void leave() override;
  [[nodiscard]] bool has_left() const override;

 private:
  [[nodiscard]] state::StreamOptions stream_options(const std::string& name) const;
  [[nodiscard]] peer::MembershipOptions membership_options() const;
  void receive(const proto::peer::PeerMessage& message);
  void send_snapshots(const std::string& to, const std::string& stream);
  void adopt_snapshot(const proto::peer::SnapshotReply& reply);
  void request_snapshots(TimePoint now);
  void fetch_vms(TimePoint now);
  void set_snapshot_ranks(TimePoint now);
  void exchange_load(TimePoint now);
  void propagate_changes(TimePoint now);

  NodeOptions m_options;
  NodeEnvironment m_environment;
  std::uint64_t m_incarnation;
  std::unique_ptr<state::GlobalState> m_global = state::make_global_state();
  std::unique_ptr<state::DomainState> m_domain;
  GlobalHandler m_global_handler;
  DomainHandler m_domain_handler;
  std::unique_ptr<state::Stream> m_global_stream;
  std::unique_ptr<state::Stream> m_domain_stream;
  std::unique_ptr<peer::Membership> m_membership;
  Context m_context;
  VmView m_vms;
  KeyService m_keys;
  ShardManager m_shards;
  Incarnations m_incarnations;
  PlanExecutor m_plans;
  RoutingFeed m_routing;
  // Expires with the node; late callbacks check it.
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
  TimePoint m_now{};  // time of the current tick, for callbacks between ticks
  TimePoint m_next_vm_fetch{};
  TimePoint m_next_load{};
  TimePoint m_next_snapshot_request{};
  std::uint64_t m_last_version = 0;        // configuration version last sent to the router
  std::uint64_t m_last_global_offset = 0;  // stream offsets last passed on to the runners
  std::uint64_t m_last_domain_offset = 0;
  std::uint64_t m_plan_sequence = 0;
  bool m_fetching_vms = false;
  bool m_vms_changed = false;
  bool m_leaving = false;
};

NodeImpl::NodeImpl(NodeOptions options, NodeEnvironment environment)
    : m_options(std::move(options)),
      m_environment(environment),
      m_incarnation(m_options.incarnation),
      m_domain(state::make_domain_state(m_options.domain)),
      m_global_handler(*m_global),
      m_domain_handler(*m_domain),
      m_global_stream(state::make_stream(stream_options(global_stream_name()), m_environment.log,
                                         m_environment.clock, m_global_handler)),
      m_domain_stream(state::make_stream(stream_options(domain_stream_name(m_options.domain)),
                                         m_environment.log, m_environment.clock, m_domain_handler)),
      m_membership(
          peer::make_membership(membership_options(), m_environment.peers, m_environment.clock)),
      m_context{m_options,        m_environment,    *m_global,     *m_domain,
                *m_global_stream, *m_domain_stream, *m_membership, m_incarnation},
      m_vms(m_options.domain),
      m_keys(m_context),
      m_shards(m_context, m_vms,
               [this](std::uint32_t shard, std::uint64_t term, std::uint64_t previous) {
                 m_keys.begin_term(shard, term, previous, m_now);
               }),
      m_incarnations(m_context),
      m_plans(m_context, m_shards),
      m_routing(m_context, m_vms) {
  m_domain_handler.on_joined([this](const proto::state::DaemonJoined& joined) {
    m_incarnations.on_joined_record(joined, m_now);
  });
  m_environment.peers.on_message(
      [this](const proto::peer::PeerMessage& message) { receive(message); });
}

state::StreamOptions NodeImpl::stream_options(const std::string& name) const {
  state::StreamOptions options;
  options.name = name;
  options.writer = m_options.daemon + "@" + std::to_string(m_options.incarnation);
  options.poll_interval = m_options.log_poll_interval;
  options.commit_interval = m_options.commit_interval;
  options.snapshot_every_records = m_options.snapshot_every_records;
  options.seed = m_options.seed;
  return options;
}

peer::MembershipOptions NodeImpl::membership_options() const {
  peer::MembershipOptions options;
  options.daemon = m_options.daemon;
  options.incarnation = m_options.incarnation;
  options.domain = m_options.domain;
  options.peer_address = m_options.peer_address;
  options.caller_address = m_options.caller_address;
  options.seeds = m_options.seeds;
  options.suspect_after = m_options.suspect_after;
  options.seed = m_options.seed;
  return options;
}

void NodeImpl::tick(TimePoint now) {
  m_now = now;
  m_global_stream->tick(now);
  m_domain_stream->tick(now);
  exchange_load(now);
  m_membership->tick(now);
  fetch_vms(now);
  request_snapshots(now);
  m_incarnations.tick(now);
  propagate_changes(now);
  m_shards.tick(now, m_incarnations.joined());
  m_keys.tick(now, m_shards.shards());
  m_plans.tick(now);
}

void NodeImpl::propagate_changes(TimePoint now) {
  const auto global = m_global_stream->stats().next_offset;
  const auto domain = m_domain_stream->stats().next_offset;
  if (m_vms_changed || m_global->version() != m_last_version) {
    m_routing.refresh();
  }
  if (m_vms_changed) {
    m_shards.vms_changed(now);
  }
  if (global != m_last_global_offset || domain != m_last_domain_offset) {
    m_shards.state_changed(now);
  }
  m_vms_changed = false;
  m_last_version = m_global->version();
  m_last_global_offset = global;
  m_last_domain_offset = domain;
}

void NodeImpl::exchange_load(TimePoint now) {
  if (now < m_next_load) {
    return;
  }
  m_next_load = now + k_load_interval;
  peer::SelfReport report;
  report.config_version = m_global->version();
  report.domain_offset = m_domain_stream->stats().next_offset;
  report.loads = m_routing.exchange_load(now);
  report.leaving = m_leaving;
  report.ready = readiness().ready;
  m_membership->set_self(report);
  set_snapshot_ranks(now);
  if (m_membership->highest_version() > m_global->version()) {
    m_global_stream->poll_now();
  }
}

void NodeImpl::set_snapshot_ranks(TimePoint now) {
  const auto live = live_in_domain(m_context, now);
  std::uint32_t rank = 0;
  for (const auto& daemon : live) {
    if (daemon == m_options.daemon) {
      break;
    }
    ++rank;
  }
  m_domain_stream->set_snapshot_rank(rank);
  // Each failure domain has a daemon of rank 0, so several daemons may write a snapshot of
  // `global`; duplicate snapshots are harmless.
  m_global_stream->set_snapshot_rank(rank);
}

void NodeImpl::fetch_vms(TimePoint now) {
  if (m_fetching_vms || now < m_next_vm_fetch) {
    return;
  }
  m_fetching_vms = true;
  m_next_vm_fetch = now + m_options.vm_list_interval;
  const std::weak_ptr<bool> alive = m_alive;
  m_environment.vm_list.fetch([this, alive](const Result<proto::platform::VmListReply>& reply) {
    if (alive.expired()) {
      return;
    }
    m_fetching_vms = false;
    if (!reply) {
      return;
    }
    // An unchanged list is passed on too: the runners measure absence over successive lists.
    m_vms.update(*reply, m_now);
    m_vms_changed = true;
  });
}

void NodeImpl::receive(const proto::peer::PeerMessage& message) {
  switch (message.body_case()) {
    case proto::peer::PeerMessage::kHeartbeat:
      m_membership->receive(message, m_now);
      return;
    case proto::peer::PeerMessage::kSnapshotRequest:
      send_snapshots(message.from(), message.snapshot_request().stream());
      return;
    case proto::peer::PeerMessage::kSnapshotReply:
      adopt_snapshot(message.snapshot_reply());
      return;
    default:
      m_keys.receive(message, m_now);
      return;
  }
}

void NodeImpl::request_snapshots(TimePoint now) {
  if (now < m_next_snapshot_request) {
    return;
  }
  m_next_snapshot_request = now + k_snapshot_request_interval;
  for (auto* stream : {m_global_stream.get(), m_domain_stream.get()}) {
    const auto& stats = stream->stats();
    if (stats.caught_up || (stats.log_reachable && !stats.gap)) {
      continue;
    }
    for (const auto& member : m_membership->live(now)) {
      if (member.domain != m_options.domain || !member.ready) {
        continue;
      }
      proto::peer::PeerMessage message;
      message.set_from(m_options.daemon);
      message.set_incarnation(m_incarnation);
      message.mutable_snapshot_request()->set_stream(stream == m_global_stream.get()
                                                         ? global_stream_name()
                                                         : domain_stream_name(m_options.domain));
      m_environment.peers.send(member.peer_address, message);
      break;
    }
  }
}

void NodeImpl::send_snapshots(const std::string& to, const std::string& stream) {
  const bool is_global = stream == global_stream_name();
  if (!is_global && stream != domain_stream_name(m_options.domain)) {
    return;
  }
  const auto& stats = is_global ? m_global_stream->stats() : m_domain_stream->stats();
  if (!stats.caught_up) {
    return;
  }
  proto::peer::PeerMessage message;
  message.set_from(m_options.daemon);
  message.set_incarnation(m_incarnation);
  auto* reply = message.mutable_snapshot_reply();
  reply->set_stream(stream);
  reply->set_covered_offset(stats.next_offset);
  reply->set_data(is_global ? m_global_handler.save_snapshot() : m_domain_handler.save_snapshot());
  if (reply->data().size() > k_max_snapshot_bytes) {
    return;
  }
  reply->set_checksum(XXH64(reply->data().data(), reply->data().size(), 0));
  for (const auto& member : m_membership->known()) {
    if (member.daemon == to) {
      m_environment.peers.send(member.peer_address, message);
    }
  }
}

void NodeImpl::adopt_snapshot(const proto::peer::SnapshotReply& reply) {
  if (XXH64(reply.data().data(), reply.data().size(), 0) != reply.checksum()) {
    return;
  }
  const bool is_global = reply.stream() == global_stream_name();
  auto& stream = is_global ? *m_global_stream : *m_domain_stream;
  if (stream.stats().caught_up || reply.covered_offset() <= stream.stats().next_offset) {
    return;
  }
  const auto adopted = stream.install_snapshot(reply.covered_offset(), reply.data());
  if (!adopted) {
    spdlog::warn("snapshot of {} from a peer was refused: {}", reply.stream(),
                 adopted.error().message);
    return;
  }
  spdlog::info("took a snapshot of {} up to offset {} from a peer", reply.stream(),
               reply.covered_offset());
}

void NodeImpl::propose_plan(state::PlanRequest request, PlanMade done) {
  request.id = m_options.daemon + "-" + std::to_string(m_incarnation) + "-" +
               std::to_string(++m_plan_sequence);
  if (!can_propose(m_global_stream->stats())) {
    done(not_run(ErrorCode::unavailable, "the log is not reachable; no plan can be made now"));
    return;
  }
  auto plan = state::make_plan(request, *m_global, m_vms.facts());
  if (!plan) {
    done(tl::unexpected<Error>(plan.error()));
    return;
  }
  proto::state::Record record;
  *record.mutable_plan_proposed()->mutable_plan() = *plan;
  m_global_stream->propose(std::move(record), true,
                           [plan = *plan, done = std::move(done)](Result<std::uint64_t> result) {
                             if (!result) {
                               done(tl::unexpected<Error>(result.error()));
                               return;
                             }
                             done(plan);
                           });
}

void NodeImpl::decide_plan(const std::string& plan_id, proto::state::PlanDecided::Decision decision,
                           const std::string& actor, const std::string& reason,
                           PlanDecidedDone done) {
  if (m_global->plan(plan_id) == nullptr) {
    done(not_run(ErrorCode::not_found, "no plan has the id '" + plan_id + "'"));
    return;
  }
  if (!can_propose(m_global_stream->stats())) {
    done(not_run(ErrorCode::unavailable, "the log is not reachable; no plan can be decided now"));
    return;
  }
  proto::state::Record record;
  auto* decided = record.mutable_plan_decided();
  decided->set_plan_id(plan_id);
  decided->set_decision(decision);
  decided->set_actor(actor);
  decided->set_reason(reason);
  m_global_stream->propose(
      std::move(record), true,
      [this, plan_id, done = std::move(done)](const Result<std::uint64_t>& result) {
        const auto* entry = m_global->plan(plan_id);
        if (!result || entry == nullptr) {
          done(result ? not_run(ErrorCode::not_found, "the plan is no longer kept")
                      : tl::unexpected<Error>(result.error()));
          return;
        }
        done(*entry);
      });
}

std::string NodeImpl::status_json() const {
  return make_status_json(m_context, m_shards, m_vms, readiness(), m_now);
}

std::string NodeImpl::record_json(std::size_t limit) const {
  return make_record_json(m_context, limit);
}

void NodeImpl::request_key(const routing::KeyedCall& call,
                           routing::KeyTable::DecisionCallback decided) {
  m_keys.table().request(call, m_now, std::move(decided));
}

void NodeImpl::finish_key(const routing::KeyedCall& call, bool not_run, std::string answer) {
  m_keys.table().finish(call, not_run, std::move(answer), m_now);
}

std::vector<DomainEntry> NodeImpl::domain_entries() const {
  std::vector<DomainEntry> entries;
  const auto live = m_membership->live(m_now);
  for (const auto& domain : m_global->declaration().domains()) {
    DomainEntry entry{domain.name(), {}};
    for (const auto& member : live) {
      if (member.domain == domain.name() && member.ready) {
        entry.caller_address = member.caller_address;
        break;
      }
    }
    entries.push_back(std::move(entry));
  }
  return entries;
}

Readiness NodeImpl::readiness() const {
  if (m_leaving) {
    return {false, "leaving"};
  }
  for (const auto* stream : {m_global_stream.get(), m_domain_stream.get()}) {
    const auto& stats = stream->stats();
    if (!stats.stopped_reason.empty()) {
      return {false, "stream stopped: " + stats.stopped_reason};
    }
    if (!stats.caught_up) {
      return {false, stats.log_reachable ? "still reading the log"
                                         : "the log is not reachable and no peer gave a snapshot"};
    }
  }
  if (m_membership->highest_version() > m_global->version()) {
    return {false, "a peer has a newer configuration version"};
  }
  if (!m_vms.has_received_vms()) {
    return {false, "no VM list yet"};
  }
  return {true, {}};
}

NodeFigures NodeImpl::figures() const {
  NodeFigures figures;
  figures.shards_held = static_cast<std::uint32_t>(m_shards.held().size());
  figures.batch = m_shards.totals();
  figures.global = m_global_stream->stats();
  figures.domain = m_domain_stream->stats();
  figures.config_version = m_global->version();
  figures.peer_bytes_sent = m_membership->bytes_sent();
  figures.live_peers = static_cast<std::uint32_t>(m_membership->live(m_now).size());
  return figures;
}

void NodeImpl::leave() {
  if (m_leaving) {
    return;
  }
  m_leaving = true;
  m_keys.table().hand_over(m_now);
  m_shards.release_all();
  m_incarnations.leave();
  m_next_load = TimePoint{};
}

bool NodeImpl::has_left() const {
  return m_leaving && !m_incarnations.joined();
}

}  // namespace

std::unique_ptr<Node> make_node(NodeOptions options, NodeEnvironment environment) {
  return std::make_unique<NodeImpl>(std::move(options), environment);
}

}  // namespace arbutusdale::control
