// Tests the membership over a simulated network with a fake clock.
#include "arbutusdale/core/random.hpp"
#include "arbutusdale/peer/peer.hpp"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "contacts.hpp"
#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::peer;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration k_step = milliseconds{100};

struct Daemon;

/// Simulated network. Delivers messages after one step and drops those that `cut` selects.
struct Fabric {
  struct Packet {
    std::string to;
    proto::peer::PeerMessage message;
  };

  FakeClock clock;
  std::map<std::string, Daemon*> daemons;  // by address
  std::deque<Packet> packets;
  std::function<bool(const std::string& from, const std::string& to)> cut;

  void run(Duration duration);
};

struct Daemon final : PeerNetwork {
  Daemon(Fabric& owner, MembershipOptions settings) : fabric(owner), options(settings) {
    membership = make_membership(settings, *this, fabric.clock);
    fabric.daemons[options.peer_address] = this;
  }
  ~Daemon() override { fabric.daemons.erase(options.peer_address); }

  void send(const std::string& address, const proto::peer::PeerMessage& message) override {
    if (!fabric.cut || !fabric.cut(options.domain, address)) {
      fabric.packets.push_back({address, message});
    }
  }
  void on_message(Handler /*handler*/) override {}

  [[nodiscard]] std::vector<Member> live() const { return membership->live(fabric.clock.now()); }

  Fabric& fabric;
  MembershipOptions options;
  std::unique_ptr<Membership> membership;
};

void Fabric::run(Duration duration) {
  for (Duration passed{}; passed < duration; passed += k_step) {
    clock.advance(k_step);
    std::deque<Packet> arriving;
    arriving.swap(packets);
    for (const Packet& packet : arriving) {
      const auto found = daemons.find(packet.to);
      if (found != daemons.end()) {
        found->second->membership->receive(packet.message, clock.now());
      }
    }
    for (const auto& [address, daemon] : daemons) {
      daemon->membership->tick(clock.now());
    }
  }
}

MembershipOptions settings(const std::string& domain, int number, std::uint64_t incarnation = 1) {
  MembershipOptions options;
  options.daemon = domain + "-d" + std::to_string(number);
  options.incarnation = incarnation;
  options.domain = domain;
  options.peer_address = domain + ":" + std::to_string(number);
  options.caller_address = "caller-" + options.peer_address;
  options.seed = std::hash<std::string>{}(options.daemon);
  return options;
}

std::vector<std::unique_ptr<Daemon>> make_daemons(Fabric& fabric, int domains, int per_domain) {
  std::vector<std::unique_ptr<Daemon>> daemons;
  for (int domain = 0; domain < domains; ++domain) {
    const std::string name = "dom-" + std::to_string(10 + domain);
    for (int i = 0; i < per_domain; ++i) {
      auto options = settings(name, i);
      options.seeds = {name + ":0", name + ":1", "dom-10:0",
                       "dom-" + std::to_string(10 + (domain + 1) % domains) + ":0"};
      daemons.push_back(std::make_unique<Daemon>(fabric, options));
    }
  }
  return daemons;
}

SelfReport ready_report(std::uint64_t version) {
  SelfReport report;
  report.ready = true;
  report.config_version = version;
  return report;
}

std::size_t live_in_domain(const Daemon& daemon) {
  const auto live = daemon.live();
  return static_cast<std::size_t>(
      std::count_if(live.begin(), live.end(),
                    [&](const Member& member) { return member.domain == daemon.options.domain; }));
}

const Member* find(const std::vector<Member>& members, const std::string& daemon) {
  for (const Member& member : members) {
    if (member.daemon == daemon) {
      return &member;
    }
  }
  return nullptr;
}

}  // namespace

// Guards against daemons that discover only their seeds, failure domains that no link reaches, and
// traffic above the budget of 20 KB/s per daemon, in a fleet of 260 daemons.
Test(membership, meshes_260_daemons_within_the_budget, .timeout = 120) {
  constexpr int k_domains = 32;
  constexpr int k_per_domain = 8;
  constexpr double k_budget_bytes_per_second = 20'000;
  Fabric fabric;
  auto daemons = make_daemons(fabric, k_domains, k_per_domain);
  for (int i = 0; i < 4; ++i) {
    auto options = settings("dom-10", k_per_domain + i);
    options.seeds = {"dom-10:0"};
    daemons.push_back(std::make_unique<Daemon>(fabric, options));
  }
  Random random(7);
  std::vector<std::uint64_t> bytes_before;
  const auto run_loaded = [&](int steps) {
    for (int step = 0; step < steps; ++step) {
      for (const auto& daemon : daemons) {
        SelfReport report = ready_report(5);
        for (int service = 0; service < 20; ++service) {
          auto& load = report.loads.emplace_back();
          load.set_service("service-" + std::to_string(service));
          load.set_queued(static_cast<std::uint32_t>(random_index(random, 1'000)));
        }
        daemon->membership->set_self(report);
      }
      fabric.run(k_step);
    }
  };
  run_loaded(200);
  std::transform(daemons.begin(), daemons.end(), std::back_inserter(bytes_before),
                 [](const auto& daemon) { return daemon->membership->bytes_sent(); });
  constexpr int k_measured_steps = 100;
  run_loaded(k_measured_steps);
  const double measured_s = std::chrono::duration<double>(k_step * k_measured_steps).count();
  double worst = 0;
  double total = 0;
  for (std::size_t i = 0; i < daemons.size(); ++i) {
    const auto bytes = daemons[i]->membership->bytes_sent() - bytes_before[i];
    worst = std::max(worst, static_cast<double>(bytes) / measured_s);
    total += static_cast<double>(bytes) / measured_s;
    const bool first_domain = daemons[i]->options.domain == "dom-10";
    cr_assert_eq(live_in_domain(*daemons[i]), first_domain ? 11U : 7U);
    cr_assert_eq(daemons[i]->membership->domain_versions().size(), k_domains);
    cr_assert_eq(daemons[i]->membership->highest_version(), 5U);
  }
  cr_log_info("bytes/s per daemon: worst %.0f, mean %.0f", worst,
              total / static_cast<double>(daemons.size()));
  cr_assert_lt(worst, k_budget_bytes_per_second);
}

// Guards against a dead daemon that is still reported as live, or removed from the known daemons as
// soon as it is suspected.
Test(membership, silent_daemons_are_not_live_but_known) {
  Fabric fabric;
  auto daemons = make_daemons(fabric, 1, 3);
  fabric.run(seconds{5});
  cr_assert_eq(daemons[0]->live().size(), 2U);
  daemons.pop_back();
  fabric.run(seconds{2});
  cr_assert_eq(daemons[0]->live().size(), 2U);
  fabric.run(seconds{2});
  cr_assert_eq(daemons[0]->live().size(), 1U);
  cr_assert_eq(daemons[0]->membership->known().size(), 2U);
}

// Guards against delayed heartbeats of a previous incarnation that overwrite newer state, and
// against a restart that goes unnoticed.
Test(membership, lower_incarnations_are_ignored) {
  Fabric fabric;
  const Daemon receiver(fabric, settings("dom-10", 0));
  const auto heartbeat = [](std::uint64_t incarnation, std::uint64_t version) {
    proto::peer::PeerMessage message;
    message.set_from("dom-10-d1");
    message.set_incarnation(incarnation);
    message.mutable_heartbeat()->set_domain("dom-10");
    message.mutable_heartbeat()->set_peer_address("dom-10:1");
    message.mutable_heartbeat()->set_config_version(version);
    return message;
  };
  const auto now = fabric.clock.now();
  receiver.membership->receive(heartbeat(2, 9), now);
  receiver.membership->receive(heartbeat(1, 4), now);
  cr_assert_eq(receiver.live()[0].incarnation, 2U);
  cr_assert_eq(receiver.live()[0].config_version, 9U);
  receiver.membership->receive(heartbeat(3, 1), now);
  cr_assert_eq(receiver.live()[0].incarnation, 3U);
  cr_assert_eq(receiver.live()[0].config_version, 1U);
  cr_assert_eq(receiver.membership->highest_version(), 9U);
}

// Guards against accepting heartbeats without a sender, with the receiver as sender, or with a
// sender that differs from the daemon in the heartbeat.
Test(membership, malformed_heartbeats_are_ignored) {
  Fabric fabric;
  const Daemon receiver(fabric, settings("dom-10", 0));
  proto::peer::PeerMessage message;
  message.mutable_heartbeat()->set_domain("dom-10");
  receiver.membership->receive(message, fabric.clock.now());
  message.set_from("dom-10-d0");
  receiver.membership->receive(message, fabric.clock.now());
  message.set_from("dom-10-d1");
  message.mutable_heartbeat()->set_daemon("dom-10-d2");
  receiver.membership->receive(message, fabric.clock.now());
  cr_assert(receiver.membership->known().empty());
}

// Guards against assigning work to a daemon that has announced that it is leaving.
Test(membership, leaving_daemons_are_not_live) {
  Fabric fabric;
  auto daemons = make_daemons(fabric, 1, 2);
  fabric.run(seconds{5});
  SelfReport report = ready_report(1);
  report.leaving = true;
  daemons[1]->membership->set_self(report);
  fabric.run(k_step * 2);
  cr_assert(daemons[0]->live().empty());
  cr_assert(daemons[0]->membership->known()[0].leaving);
}

// Guards against loads that reach peers in the failure domain late, and against load deltas sent to
// other failure domains.
Test(membership, load_deltas_stay_inside_the_domain) {
  Fabric fabric;
  auto daemons = make_daemons(fabric, 2, 2);
  fabric.run(seconds{5});
  std::map<std::string, int> deltas;
  const auto watch = [&] {
    for (const auto& packet : fabric.packets) {
      if (packet.message.heartbeat().load_delta()) {
        ++deltas[packet.to];
      }
    }
  };
  for (std::uint32_t step = 1; step <= 20; ++step) {
    SelfReport report;
    report.loads.emplace_back().set_service("quotes");
    report.loads.back().set_idle_slots(std::min(step, 10U));
    daemons[0]->membership->set_self(report);
    fabric.run(k_step);
    watch();
  }
  cr_assert_eq(deltas.size(), 1U);
  // One delta per 100 ms while the load changes in the first second, except where the regular
  // heartbeat carries the change.
  cr_assert_geq(deltas[daemons[1]->options.peer_address], 8);
  cr_assert_leq(deltas[daemons[1]->options.peer_address], 10);
  const auto members = daemons[1]->live();
  const Member* sender = find(members, "dom-10-d0");
  cr_assert_eq(sender->loads[0].idle_slots(), 10U);
}

// Guards against daemons with different seeds that never discover each other.
Test(membership, replaced_daemons_find_each_other) {
  Fabric fabric;
  auto daemons = make_daemons(fabric, 1, 2);
  fabric.run(seconds{5});
  auto options = settings("dom-10", 7);
  options.seeds = {"dom-10:0"};
  const Daemon first(fabric, options);
  options = settings("dom-10", 8);
  options.seeds = {"dom-10:1"};
  const Daemon second(fabric, options);
  fabric.run(seconds{10});
  cr_assert_eq(first.live().size(), 3U);
  cr_assert_eq(second.live().size(), 3U);
}

// Guards against a domain version that is announced before all daemons of the domain have applied
// it, against versions that do not propagate across several failure domains, and against versions
// that decrease.
Test(membership, versions_pass_between_domains_and_never_revert) {
  Fabric fabric;
  auto daemons = make_daemons(fabric, 8, 2);
  for (const auto& daemon : daemons) {
    daemon->membership->set_self(ready_report(3));
  }
  fabric.run(seconds{20});
  daemons[0]->membership->set_self(ready_report(4));
  fabric.run(seconds{10});
  const Daemon& far = *daemons[8];
  const auto version_of = [&](const std::string& domain) {
    for (const auto& version : far.membership->domain_versions()) {
      if (version.domain() == domain) {
        return version.version();
      }
    }
    return std::uint64_t{0};
  };
  cr_assert_eq(version_of("dom-10"), 3U);
  cr_assert_eq(far.membership->highest_version(), 4U);
  daemons[1]->membership->set_self(ready_report(4));
  fabric.run(seconds{10});
  cr_assert_eq(version_of("dom-10"), 4U);
  daemons[1]->membership->set_self(ready_report(2));
  fabric.run(seconds{10});
  cr_assert_eq(version_of("dom-10"), 4U);
}

// Guards against failure domains that do not reconnect after a partition of one hour.
Test(membership, heals_after_an_hour_of_partition, .timeout = 60) {
  Fabric fabric;
  auto daemons = make_daemons(fabric, 2, 2);
  fabric.run(seconds{5});
  cr_assert_eq(daemons[0]->live().size(), 3U);
  fabric.cut = [](const std::string& from, const std::string& to) {
    return to.substr(0, from.size()) != from;
  };
  fabric.run(seconds{3'600});
  cr_assert_eq(daemons[0]->live().size(), 1U);
  fabric.cut = nullptr;
  fabric.run(seconds{25});
  cr_assert_eq(daemons[0]->live().size(), 3U);
}

// Guards against a round-trip time that includes how long the peer held the heartbeat.
Test(membership, measures_the_round_trip) {
  Fabric fabric;
  auto daemons = make_daemons(fabric, 1, 2);
  fabric.run(seconds{10});
  // Each direction takes one step of the simulated network.
  cr_assert(daemons[0]->live()[0].round_trip == 2 * k_step);
}

// Guards against a failure domain that is not linked to its neighbours in the ring.
Test(contacts, links_follow_the_ring) {
  const std::vector<std::string> domains{"a", "b", "c", "d", "e", "f"};
  std::set<std::string> linked;
  for (const std::string& domain : linked_domains("a", "d1", domains)) {
    linked.insert(domain);
  }
  cr_assert_eq(linked.size(), 4U);
  cr_assert(linked.contains("b") && linked.contains("f"));
  cr_assert(linked_domains("a", "d1", {"a"}).empty());
  cr_assert_eq(linked_domains("a", "d1", {"a", "b"}).size(), 1U);
}
