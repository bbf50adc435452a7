// Measures the traffic, CPU time and memory of the membership as a function of the number of
// daemons.
#include "arbutusdale/peer/peer.hpp"

#include <map>
#include <memory>
#include <string>

#include "measure.hpp"

namespace arbutusdale::capacity {
namespace {

constexpr int k_daemons_per_domain = 8;
constexpr int k_simulated_seconds = 20;
constexpr double k_us_per_second = 1e6;

/// Delivers messages synchronously and counts the bytes sent.
class CountingNetwork final : public peer::PeerNetwork {
 public:
  using Table = std::map<std::string, Handler>;

  CountingNetwork(Table& table, std::string address)
      : m_table(table), m_address(std::move(address)) {}

  void send(const std::string& address, const proto::peer::PeerMessage& message) override {
    m_bytes += message.ByteSizeLong();
    const auto receiver = m_table.find(address);
    if (receiver != m_table.end()) {
      receiver->second(message);
    }
  }
  void on_message(Handler handler) override { m_table[m_address] = std::move(handler); }
  [[nodiscard]] std::uint64_t bytes() const { return m_bytes; }

 private:
  Table& m_table;
  std::string m_address;
  std::uint64_t m_bytes = 0;
};

/// Cost per daemon.
struct Cost {
  double bytes_per_second = 0;
  double cpu_us_per_second = 0;
  double heap = 0;
};

Cost run(int daemons) {
  FakeClock clock;
  CountingNetwork::Table table;
  std::vector<std::unique_ptr<CountingNetwork>> networks;
  std::vector<std::unique_ptr<peer::Membership>> members;
  std::vector<std::string> seeds;
  seeds.reserve(static_cast<std::size_t>(daemons));
  for (int i = 0; i < daemons; ++i) {
    seeds.push_back("10.0.0." + std::to_string(i) + ":8082");
  }
  const auto heap = heap_bytes();
  for (int i = 0; i < daemons; ++i) {
    const auto index = static_cast<std::size_t>(i);
    networks.push_back(std::make_unique<CountingNetwork>(table, seeds[index]));
    peer::MembershipOptions options;
    options.daemon = "entry-" + std::to_string(i);
    options.incarnation = 1;
    options.domain = "domain-" + std::to_string(i / k_daemons_per_domain);
    options.peer_address = seeds[index];
    options.caller_address = seeds[index];
    options.seeds = seeds;
    options.seed = static_cast<std::uint64_t>(i);
    members.push_back(peer::make_membership(options, *networks.back(), clock));
    networks.back()->on_message([&members, index, &clock](const auto& message) {
      members[index]->receive(message, clock.now());
    });
  }
  const auto tick = [&](int ticks) {
    for (int step = 0; step < ticks; ++step) {
      clock.advance(std::chrono::milliseconds{100});
      for (std::size_t i = 0; i < members.size(); ++i) {
        peer::SelfReport report;
        report.config_version = 7;
        report.ready = true;
        proto::peer::ServiceLoad load;
        load.set_service("orders");
        load.set_idle_slots(static_cast<std::uint32_t>(step % 5));
        report.loads.push_back(load);
        members[i]->set_self(report);
        members[i]->tick(clock.now());
      }
    }
  };
  tick(50);  // until each daemon knows all daemons that it is linked to
  std::uint64_t before = 0;
  for (const auto& network : networks) {
    before += network->bytes();
  }
  const auto begin = cpu_seconds();
  tick(k_simulated_seconds * 10);
  Cost cost;
  cost.cpu_us_per_second =
      (cpu_seconds() - begin) * k_us_per_second / k_simulated_seconds / daemons;
  std::uint64_t after = 0;
  for (const auto& network : networks) {
    after += network->bytes();
  }
  cost.bytes_per_second =
      static_cast<double>(after - before) / k_simulated_seconds / static_cast<double>(daemons);
  cost.heap = (static_cast<double>(heap_bytes()) - static_cast<double>(heap)) / daemons;
  return cost;
}

}  // namespace

std::vector<Row> measure_membership() {
  std::vector<Point> bytes;
  std::vector<Point> cpu;
  std::vector<Point> heap;
  for (const int daemons : {16, 64, 128, 256}) {
    const auto cost = run(daemons);
    bytes.push_back({static_cast<double>(daemons), cost.bytes_per_second});
    cpu.push_back({static_cast<double>(daemons), cost.cpu_us_per_second});
    heap.push_back({static_cast<double>(daemons), cost.heap});
  }
  return {make_row("membership: sent per daemon and second", "B/daemon", bytes),
          make_row("membership: processor time per daemon and second", "us/daemon", cpu),
          make_row("membership: memory per daemon", "B/daemon", heap)};
}

}  // namespace arbutusdale::capacity
