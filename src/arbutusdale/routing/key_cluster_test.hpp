// Several key tables of one failure domain, connected by an in-memory network that can lose,
// duplicate and reorder messages, and by a model of the domain's stream, which each daemon reads
// with a delay.
#pragma once

#include "arbutusdale/core/random.hpp"
#include "arbutusdale/routing/key_table.hpp"

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace arbutusdale::routing::testing {

/// Record of the stream. Its offset is its index plus one; the offset of a claim is its term.
struct StreamRecord {
  enum class Kind { joined, ended, claimed, released } kind = Kind::joined;
  std::string daemon;
  std::uint64_t incarnation = 0;
  std::uint32_t shard = 0;
};

/// State after a prefix of the stream.
struct StreamView {
  std::map<std::pair<std::string, std::uint64_t>, bool> alive;  // every incarnation that joined
  std::vector<KeyTable::ShardOwner> shards;
  std::vector<std::uint64_t> holders;  // incarnation of each shard's holder, 0 without one
};

/// One run of a daemon.
struct Process {
  std::string name;
  std::uint64_t incarnation = 0;
  std::unique_ptr<KeyTable> table;
  std::size_t read = 0;  // number of records read
  bool joined = false;   // has read its own join record
  bool paused = false;
};

/// Daemons, network and stream under one clock.
class Cluster {
 public:
  explicit Cluster(std::uint32_t shards, std::uint64_t seed) : m_shards{shards}, m_random{seed} {}

  void start(const std::string& name) {
    auto& process = m_processes[name];
    process = std::make_unique<Process>();
    process->name = name;
    process->incarnation = ++m_incarnations;
    KeyOptions options;
    options.daemon = name;
    options.incarnation = process->incarnation;
    process->table = make_key_table(options, [this](const auto& to, auto message) {
      m_messages.emplace_back(to, std::move(message));
    });
    stream.push_back({StreamRecord::Kind::joined, name, process->incarnation, 0});
  }

  void kill(const std::string& name) { m_processes.erase(name); }

  void end(const std::string& name, std::uint64_t incarnation) {
    stream.push_back({StreamRecord::Kind::ended, name, incarnation, 0});
  }

  /// Claims a shard that has no holder, for a process that has read the whole stream; false
  /// otherwise.
  bool claim(const std::string& name, std::uint32_t shard) {
    auto& process = *m_processes.at(name);
    if (process.read != stream.size() || view(stream.size()).holders[shard] != 0) {
      return false;
    }
    stream.push_back({StreamRecord::Kind::claimed, name, process.incarnation, shard});
    read(name, stream.size());
    return true;
  }

  /// Releases a shard if the process holds it according to the stream.
  void release(const std::string& name, std::uint32_t shard) {
    const auto incarnation = m_processes.at(name)->incarnation;
    if (view(stream.size()).holders[shard] == incarnation) {
      stream.push_back({StreamRecord::Kind::released, name, incarnation, shard});
    }
  }

  /// Lets a process read the first `until` records; it restarts when its incarnation has ended.
  void read(const std::string& name, std::size_t until) {
    auto& process = *m_processes.at(name);
    while (process.read < until) {
      const auto& record = stream[process.read++];
      const bool own = record.daemon == name && record.incarnation == process.incarnation;
      if (own && record.kind == StreamRecord::Kind::ended) {
        start(name);
        return;
      }
      process.joined = process.joined || (own && record.kind == StreamRecord::Kind::joined);
      apply(process, record, own);
    }
  }

  void read_all() {
    for (const auto& name : names()) {
      read(name, stream.size());
    }
  }

  /// Takes one message, drawn at random; false when there is none. `lost` is the probability that
  /// it is not delivered, `repeated` that it stays in the network and may be delivered again.
  bool deliver(double lost = 0.0, double repeated = 0.0) {
    if (m_messages.empty()) {
      return false;
    }
    std::swap(m_messages[random_index(m_random, m_messages.size())], m_messages.back());
    auto [to, message] = m_messages.back();
    if (random_unit(m_random) >= repeated) {
      m_messages.pop_back();
    }
    const auto found = m_processes.find(to);
    if (random_unit(m_random) >= lost && found != m_processes.end() && !found->second->paused) {
      found->second->table->receive(message, now);
    }
    return true;
  }

  void drop_messages() { m_messages.clear(); }

  void deliver_all() {
    while (deliver()) {
    }
  }

  void advance(Duration step) {
    now += step;
    for (const auto& [name, process] : m_processes) {
      if (!process->paused) {
        process->table->tick(now);
      }
    }
  }

  /// Lets all daemons read, deliver and tick for `rounds` of 200 ms.
  void settle(int rounds = 20) {
    for (int i = 0; i < rounds; ++i) {
      read_all();
      deliver_all();
      advance(std::chrono::milliseconds{200});
      deliver_all();
    }
  }

  [[nodiscard]] std::vector<std::string> names() const {
    std::vector<std::string> names;
    for (const auto& [name, process] : m_processes) {
      names.push_back(name);
    }
    return names;
  }
  [[nodiscard]] bool has(const std::string& name) const { return m_processes.contains(name); }
  Process& process(const std::string& name) { return *m_processes.at(name); }
  KeyTable& table(const std::string& name) { return *m_processes.at(name)->table; }
  Random& random() { return m_random; }

  [[nodiscard]] StreamView view(std::size_t until) const {
    StreamView view;
    view.shards.resize(m_shards);
    view.holders.resize(m_shards);
    for (std::size_t i = 0; i < until; ++i) {
      const auto& record = stream[i];
      if (record.kind == StreamRecord::Kind::claimed) {
        view.shards[record.shard] = {record.daemon, i + 1};
        view.holders[record.shard] = record.incarnation;
        continue;
      }
      if (record.kind == StreamRecord::Kind::released) {
        view.holders[record.shard] = 0;
        view.shards[record.shard].daemon.clear();
        continue;
      }
      const bool ended = record.kind == StreamRecord::Kind::ended;
      view.alive[{record.daemon, record.incarnation}] = !ended;
      for (std::uint32_t shard = 0; ended && shard < m_shards; ++shard) {
        if (view.holders[shard] == record.incarnation) {
          view.holders[shard] = 0;
          view.shards[shard].daemon.clear();
        }
      }
    }
    return view;
  }

  TimePoint now{std::chrono::seconds{1}};
  std::vector<StreamRecord> stream;

 private:
  void apply(Process& process, const StreamRecord& record, bool own) const {
    const auto current = view(process.read);
    process.table->set_shard_owners(current.shards, now);
    std::vector<std::string> live;
    std::vector<PriorIncarnation> previous;
    for (const auto& [incarnation, alive] : current.alive) {
      if (incarnation.second == process.incarnation) {
        continue;
      }
      previous.push_back({incarnation.first, "", alive, incarnation.second});
      if (alive) {
        live.push_back(incarnation.first);
      }
    }
    process.table->set_live_daemons(live);
    if (own && record.kind == StreamRecord::Kind::claimed) {
      process.table->begin_term(record.shard, process.read, previous, now);
    }
  }

  std::uint32_t m_shards;
  Random m_random;
  std::uint64_t m_incarnations = 0;
  std::map<std::string, std::unique_ptr<Process>> m_processes;
  std::vector<std::pair<std::string, proto::peer::PeerMessage>> m_messages;
};

}  // namespace arbutusdale::routing::testing
