// Router of one daemon: passes each call to the router of its service and collects the results.
#include "arbutusdale/routing/request_router.hpp"

#include "arbutusdale/core/enum_names.hpp"

#include <algorithm>
#include <iterator>
#include <map>
#include <set>
#include <unordered_map>

#include "service_router.hpp"

namespace arbutusdale::routing {
namespace {

constexpr EnumNames<Policy, 4> k_policy_names{{
    {Policy::slot_share, "slot_share"},
    {Policy::round_robin, "round_robin"},
    {Policy::random, "random"},
    {Policy::least_in_flight, "least_in_flight"},
}};

constexpr EnumNames<AttemptResult, 6> k_result_names{{
    {AttemptResult::answered, "answered"},
    {AttemptResult::server_error, "server_error"},
    {AttemptResult::refused, "refused"},
    {AttemptResult::not_sent, "not_sent"},
    {AttemptResult::connection_lost, "connection_lost"},
    {AttemptResult::timed_out, "timed_out"},
}};

class RouterImpl final : public RequestRouter {
 public:
  explicit RouterImpl(RouterOptions options) : m_options{std::move(options)} {}

  void set_services(const std::vector<ServiceConfig>& services,
                    const std::vector<TeamConfig>& teams) override;
  void set_targets(const std::string& service, const std::vector<TargetInfo>& targets,
                   TimePoint now) override;
  void set_peers(const std::string& service, const std::vector<PeerInfo>& own_domain,
                 const std::vector<PeerInfo>& other_domains, TimePoint now) override;
  [[nodiscard]] std::string match(std::string_view path) const override;
  Result<CallId> submit(const Call& call, TimePoint now) override;
  std::vector<Assignment> take_assignments(TimePoint now) override;
  std::vector<DroppedCall> take_dropped(TimePoint now) override;
  Completion finish_attempt(CallId call, const AttemptOutcome& outcome, TimePoint now) override;
  void cancel(CallId call, TimePoint now) override;
  [[nodiscard]] TimePoint next_wakeup() const override;
  [[nodiscard]] std::vector<ServiceStats> stats() const override;

 private:
  // Services are numbered; the low 16 bits of a call id are the number of its service.
  static constexpr CallId k_max_services = 1 << 16;

  ServiceRouter* router_of(CallId call);
  ServiceRouter* router_of(const std::string& service);
  void run_due(TimePoint now);
  void collect_and_reschedule(std::uint32_t number);
  void collect(ServiceRouter& router);
  void remove_unlisted(const std::set<std::string>& listed);

  RouterOptions m_options;
  std::map<std::uint32_t, std::unique_ptr<ServiceRouter>> m_routers;  // by number
  std::unordered_map<std::string, std::uint32_t> m_numbers;    // by name of a declared service
  std::map<std::string, std::string, std::less<>> m_prefixes;  // service name by path prefix
  std::unordered_map<std::uint32_t, TimePoint> m_due_of;
  std::set<std::pair<TimePoint, std::uint32_t>> m_due;  // next due time of each service
  std::vector<Assignment> m_assignments;
  std::vector<DroppedCall> m_dropped;
  std::uint32_t m_last_number = 0;
  CallId m_last_call = 0;
  TimePoint m_now{};
};

ServiceRouter* RouterImpl::router_of(CallId call) {
  const auto found = m_routers.find(static_cast<std::uint32_t>(call % k_max_services));
  return found == m_routers.end() ? nullptr : found->second.get();
}

ServiceRouter* RouterImpl::router_of(const std::string& service) {
  const auto found = m_numbers.find(service);
  return found == m_numbers.end() ? nullptr : m_routers.at(found->second).get();
}

void RouterImpl::set_services(const std::vector<ServiceConfig>& services,
                              const std::vector<TeamConfig>& teams) {
  std::set<std::string> listed;
  m_prefixes.clear();
  for (const auto& config : services) {
    listed.insert(config.name);
    m_prefixes[config.path_prefix] = config.name;
    auto* router = router_of(config.name);
    if (router == nullptr) {
      do {
        m_last_number = (m_last_number + 1) % k_max_services;
      } while (m_routers.contains(m_last_number));
      m_numbers[config.name] = m_last_number;
      auto& slot = m_routers[m_last_number];
      slot = std::make_unique<ServiceRouter>(config, m_options);
      router = slot.get();
    }
    router->set_config(config, teams);
  }
  remove_unlisted(listed);
}

// A removed service keeps its number and its router until its calls in flight have ended.
void RouterImpl::remove_unlisted(const std::set<std::string>& listed) {
  for (const auto& [number, router] : m_routers) {
    const auto found = m_numbers.find(router->name());
    if (listed.contains(router->name()) || found == m_numbers.end() || found->second != number) {
      continue;
    }
    router->close(m_now);
    m_numbers.erase(found);
    collect_and_reschedule(number);
  }
  for (auto it = m_routers.begin(); it != m_routers.end();) {
    const auto found = m_numbers.find(it->second->name());
    const bool is_declared = found != m_numbers.end() && found->second == it->first;
    if (is_declared || !it->second->empty()) {
      ++it;
      continue;
    }
    m_due.erase({m_due_of[it->first], it->first});
    m_due_of.erase(it->first);
    it = m_routers.erase(it);
  }
}

void RouterImpl::set_targets(const std::string& service, const std::vector<TargetInfo>& targets,
                             TimePoint now) {
  m_now = now;
  if (auto* router = router_of(service)) {
    router->set_targets(targets, now);
    router->advance(now);
    collect_and_reschedule(m_numbers.at(service));
  }
}

void RouterImpl::set_peers(const std::string& service, const std::vector<PeerInfo>& own_domain,
                           const std::vector<PeerInfo>& other_domains, TimePoint now) {
  m_now = now;
  if (auto* router = router_of(service)) {
    router->set_peers(own_domain, other_domains, now);
    router->advance(now);
    collect_and_reschedule(m_numbers.at(service));
  }
}

std::string RouterImpl::match(std::string_view path) const {
  path = path.substr(0, path.find('?'));
  for (std::size_t length = path.size();; --length) {
    // A prefix matches whole path segments: "/fit" matches "/fit" and "/fit/x", but not "/fitting".
    const bool at_segment =
        length == path.size() || path[length] == '/' || (length > 0 && path[length - 1] == '/');
    if (at_segment) {
      const auto found = m_prefixes.find(path.substr(0, length));
      if (found != m_prefixes.end()) {
        return found->second;
      }
    }
    if (length == 0) {
      return {};
    }
  }
}

Result<CallId> RouterImpl::submit(const Call& call, TimePoint now) {
  m_now = now;
  const auto number = m_numbers.find(call.service);
  if (number == m_numbers.end()) {
    return not_run(ErrorCode::not_found, "no such service");
  }
  const CallId id = ++m_last_call * k_max_services + number->second;
  auto admitted = m_routers.at(number->second)->submit(id, call, now);
  collect_and_reschedule(number->second);
  if (!admitted) {
    return tl::unexpected<Error>(std::move(admitted.error()));
  }
  return id;
}

void RouterImpl::collect(ServiceRouter& router) {
  std::ranges::move(router.take_assignments(), std::back_inserter(m_assignments));
  std::ranges::move(router.take_dropped(), std::back_inserter(m_dropped));
}

void RouterImpl::collect_and_reschedule(std::uint32_t number) {
  auto& router = *m_routers.at(number);
  if (router.has_output()) {
    collect(router);
  }
  const TimePoint due = router.next_due();
  const auto [known, is_new] = m_due_of.try_emplace(number, due);
  if (!is_new && known->second == due) {
    return;
  }
  m_due.erase({known->second, number});
  known->second = due;
  m_due.emplace(due, number);
}

void RouterImpl::run_due(TimePoint now) {
  m_now = now;
  while (!m_due.empty() && m_due.begin()->first <= now) {
    const std::uint32_t number = m_due.begin()->second;
    m_routers.at(number)->advance(now);
    collect_and_reschedule(number);
  }
}

std::vector<Assignment> RouterImpl::take_assignments(TimePoint now) {
  run_due(now);
  return std::exchange(m_assignments, {});
}

std::vector<DroppedCall> RouterImpl::take_dropped(TimePoint now) {
  run_due(now);
  return std::exchange(m_dropped, {});
}

Completion RouterImpl::finish_attempt(CallId call, const AttemptOutcome& outcome, TimePoint now) {
  m_now = now;
  auto* router = router_of(call);
  if (router == nullptr) {
    return Completion{NextStep::finish, Verdict::may_have_run};
  }
  const auto completion = router->finish_attempt(call, outcome, now);
  collect_and_reschedule(static_cast<std::uint32_t>(call % k_max_services));
  return completion;
}

void RouterImpl::cancel(CallId call, TimePoint now) {
  m_now = now;
  if (auto* router = router_of(call)) {
    router->cancel(call, now);
    collect_and_reschedule(static_cast<std::uint32_t>(call % k_max_services));
  }
}

TimePoint RouterImpl::next_wakeup() const {
  if (!m_assignments.empty() || !m_dropped.empty()) {
    return m_now;
  }
  return m_due.empty() ? TimePoint::max() : m_due.begin()->first;
}

std::vector<ServiceStats> RouterImpl::stats() const {
  std::vector<ServiceStats> stats;
  for (const auto& [number, router] : m_routers) {
    stats.push_back(router->stats());
  }
  return stats;
}

}  // namespace

std::string_view to_string(Policy policy) {
  return enum_name(k_policy_names, policy);
}

std::string_view to_string(AttemptResult result) {
  return enum_name(k_result_names, result);
}

std::unique_ptr<RequestRouter> make_request_router(RouterOptions options) {
  return std::make_unique<RouterImpl>(std::move(options));
}

}  // namespace arbutusdale::routing
