// Parser of the scenario language.
#include "script.hpp"

#include <charconv>
#include <map>
#include <sstream>

namespace arbutusdale::scenario {
namespace {

constexpr std::uint64_t k_mib_per_gib = 1'024;
constexpr std::uint64_t k_max_number = 1'000'000;
constexpr std::uint64_t k_max_seconds = 3'600;

using Words = std::vector<std::string>;

/// Parses the statements of one file and stops at the first error.
class Parser {
 public:
  explicit Parser(std::string file) : m_file(std::move(file)) {}

  Result<Script> parse(const std::string& text);

 private:
  using Attributes = std::map<std::string, std::string>;

  void statement(const Words& words);
  void topology(const Words& words);
  void declare(const Words& words);
  void declare_job(const Words& words);
  void load(const Words& words);
  void at(const Words& words);
  void at_inject(const Words& words, TimedAction& action);
  void expect(const Words& words);
  void finish();

  Attributes attributes(const Words& words, std::size_t from,
                        std::initializer_list<const char*> allowed);
  std::uint64_t number(const std::string& text, const char* what,
                       std::uint64_t largest = k_max_number);
  double share(const std::string& text, const char* what);
  Duration seconds(const std::string& text);
  void fail(const std::string& message);
  bool need(const Words& words, std::size_t count, const char* form);

  std::string m_file;
  std::size_t m_line = 0;
  std::string m_error;  // first error, empty while there is none
  Script m_script;
};

void Parser::fail(const std::string& message) {
  if (m_error.empty()) {
    m_error = m_file + ":" + std::to_string(m_line) + ": " + message;
  }
}

bool Parser::need(const Words& words, std::size_t count, const char* form) {
  if (words.size() < count) {
    fail(std::string("expected: ") + form);
  }
  return words.size() >= count;
}

std::uint64_t Parser::number(const std::string& text, const char* what, std::uint64_t largest) {
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  if (parsed.ec != std::errc{} || parsed.ptr != end || value > largest) {
    fail(std::string(what) + " '" + text + "': expected a whole number up to " +
         std::to_string(largest));
  }
  return value;
}

double Parser::share(const std::string& text, const char* what) {
  double value = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  if (parsed.ec != std::errc{} || parsed.ptr != end || value < 0 || value > 1) {
    fail(std::string(what) + " '" + text + "': expected a number from 0 to 1");
  }
  return value;
}

Duration Parser::seconds(const std::string& text) {
  if (text.empty() || text.back() != 's') {
    fail("time '" + text + "': expected whole seconds such as 10s");
    return {};
  }
  return std::chrono::seconds{number(text.substr(0, text.size() - 1), "time", k_max_seconds)};
}

Parser::Attributes Parser::attributes(const Words& words, std::size_t from,
                                      std::initializer_list<const char*> allowed) {
  Attributes found;
  for (std::size_t i = from; i < words.size(); ++i) {
    const auto equals = words[i].find('=');
    const auto name = words[i].substr(0, equals);
    bool known = false;
    std::string list;
    for (const auto* candidate : allowed) {
      known = known || name == candidate;
      list += std::string(list.empty() ? "" : ", ") + candidate;
    }
    if (equals == std::string::npos || !known) {
      fail("'" + words[i] + "': expected NAME=VALUE with a name of " + list);
      continue;
    }
    found[name] = words[i].substr(equals + 1);
  }
  return found;
}

void Parser::topology(const Words& words) {
  auto& topology = m_script.topology;
  for (const auto& [name, value] :
       attributes(words, 1, {"domains", "daemons", "workers", "cpu", "memory_gib", "shards"})) {
    if (name == "domains") {
      topology.domains.clear();
      std::stringstream list(value);
      for (std::string domain; std::getline(list, domain, ',');) {
        topology.domains.push_back(domain);
      }
    } else if (name == "daemons") {
      topology.daemons_per_domain = static_cast<std::uint32_t>(number(value, "daemons", 10));
    } else if (name == "workers") {
      topology.workers_per_domain = static_cast<std::uint32_t>(number(value, "workers", 100));
    } else if (name == "cpu") {
      topology.worker.cpu_millis = number(value, "cpu", 1'000) * 1'000;
    } else if (name == "memory_gib") {
      topology.worker.memory_mib = number(value, "memory_gib", 10'000) * k_mib_per_gib;
    } else {
      topology.shards = static_cast<std::uint32_t>(number(value, "shards", 16));
    }
  }
}

void Parser::declare(const Words& words) {
  if (!need(words, 3, "declare service|job NAME [NAME=VALUE]...")) {
    return;
  }
  if (words[1] == "job") {
    declare_job(words);
    return;
  }
  if (words[1] != "service") {
    fail("'" + words[1] + "': expected service or job");
    return;
  }
  auto* service = m_script.declaration.declaration.add_services();
  service->set_name(words[2]);
  service->set_team("default");
  service->set_path_prefix("/" + words[2]);
  service->set_slots(8);
  service->set_connections(64);
  for (const auto& [name, value] : attributes(words, 3, {"slots", "timeout_ms"})) {
    const auto amount = static_cast<std::uint32_t>(number(value, name.c_str()));
    name == "slots" ? service->set_slots(amount) : service->set_timeout_ms(amount);
  }
}

void Parser::declare_job(const Words& words) {
  auto* job = m_script.declaration.declaration.add_jobs();
  job->set_name(words[2]);
  job->set_team("default");
  job->set_job_class(words[2]);
  job->set_tasks(1);
  job->set_expected_ms(1'000);
  job->mutable_resources()->set_cpu_millis(1'000);
  job->mutable_resources()->set_memory_mib(k_mib_per_gib);
  for (const auto& [name, value] :
       attributes(words, 3, {"tasks", "cpu", "memory_gib", "seconds", "checkpoint", "urgent"})) {
    if (name == "checkpoint" || name == "urgent") {
      if (value != "yes" && value != "no") {
        fail(std::string(name).append(" '").append(value).append("': expected yes or no"));
      }
      name == "urgent" ? job->set_urgent(value == "yes") : job->set_checkpoint(value == "yes");
      continue;
    }
    const auto amount = number(value, name.c_str());
    if (name == "tasks") {
      job->set_tasks(static_cast<std::uint32_t>(amount));
    } else if (name == "cpu") {
      job->mutable_resources()->set_cpu_millis(amount * 1'000);
    } else if (name == "memory_gib") {
      job->mutable_resources()->set_memory_mib(amount * k_mib_per_gib);
    } else {
      job->set_expected_ms(amount * 1'000);
    }
  }
}

void Parser::load(const Words& words) {
  if (!need(words, 2, "load SERVICE rate=N [keyed=SHARE] [from=Ns] [until=Ns]")) {
    return;
  }
  LoadStatement load;
  load.service = words[1];
  for (const auto& [name, value] : attributes(words, 2, {"rate", "keyed", "from", "until"})) {
    if (name == "rate") {
      load.rate = static_cast<double>(number(value, "rate", 10'000));
    } else if (name == "keyed") {
      load.keyed = share(value, "keyed");
    } else {
      (name == "from" ? load.from : load.until) = seconds(value);
    }
  }
  if (load.rate <= 0) {
    fail("rate: expected at least 1 a second");
  }
  m_script.loads.push_back(load);
}

void Parser::at(const Words& words) {
  if (!need(words, 4, "at Ns inject FAULT|drain VM|cancel JOB|restart DAEMON ...")) {
    return;
  }
  TimedAction action;
  action.at = seconds(words[1]);
  action.subject = words[3];
  if (words[2] == "inject") {
    at_inject(words, action);
  } else if (words[2] == "drain") {
    action.kind = TimedAction::Kind::drain;
  } else if (words[2] == "cancel") {
    action.kind = TimedAction::Kind::cancel;
  } else if (words[2] == "restart") {
    action.kind = TimedAction::Kind::restart;
    for (const auto& [name, value] : attributes(words, 4, {"away"})) {
      action.away = seconds(value);
    }
  } else {
    fail("'" + words[2] + "': expected inject, drain, cancel or restart");
  }
  m_script.actions.push_back(action);
}

void Parser::at_inject(const Words& words, TimedAction& action) {
  const auto fault = fault_from_name(words[3]);
  if (!fault) {
    std::string list;
    for (const auto known : all_faults()) {
      list += (list.empty() ? "" : ", ") + std::string(to_string(known));
    }
    fail("fault '" + words[3] + "': expected one of " + list);
    return;
  }
  action.injection.fault = *fault;
  for (std::size_t i = 4; i + 1 < words.size(); i += 2) {
    if (words[i] == "on") {
      action.injection.subject = words[i + 1];
    } else if (words[i] == "for") {
      action.injection.length = seconds(words[i + 1]);
    } else {
      fail("'" + words[i] + "': expected on SUBJECT or for Ns");
    }
  }
  if (words.size() % 2 != 0) {
    fail("'" + words.back() + "': expected on SUBJECT or for Ns");
  }
}

void Parser::expect(const Words& words) {
  if (!need(words, 2, "expect invariants|finished JOB N|answered >= SHARE")) {
    return;
  }
  Expectation expectation;
  expectation.line = m_line;
  if (words[1] == "invariants") {
    expectation.kind = Expectation::Kind::invariants;
  } else if (words[1] == "finished" && need(words, 4, "expect finished JOB N")) {
    expectation.kind = Expectation::Kind::finished;
    expectation.job = words[2];
    expectation.tasks = number(words[3], "tasks");
  } else if (words[1] == "answered" && need(words, 4, "expect answered >= SHARE")) {
    expectation.kind = Expectation::Kind::answered;
    expectation.share = share(words[3], "share");
  } else {
    fail("'" + words[1] + "': expected invariants, finished or answered");
  }
  m_script.expectations.push_back(expectation);
}

void Parser::statement(const Words& words) {
  const auto& verb = words.front();
  if (verb == "seed" && need(words, 2, "seed N")) {
    m_script.seed = number(words[1], "seed", UINT64_MAX);
  } else if (verb == "topology") {
    topology(words);
  } else if (verb == "declare") {
    declare(words);
  } else if (verb == "load") {
    load(words);
  } else if (verb == "at") {
    at(words);
  } else if (verb == "run" && need(words, 2, "run Ns")) {
    m_script.length = seconds(words[1]);
  } else if (verb == "expect") {
    expect(words);
  } else {
    fail("'" + verb + "': expected seed, topology, declare, load, at, run or expect");
  }
}

void Parser::finish() {
  auto& declaration = m_script.declaration.declaration;
  m_script.declaration.actor = "operator";
  for (const auto& name : m_script.topology.domains) {
    auto* domain = declaration.add_domains();
    domain->set_name(name);
    domain->set_shards(m_script.topology.shards);
    domain->set_weight(1);
  }
  auto* team = declaration.add_teams();
  team->set_name("default");
  team->set_request_weight(1);
  team->mutable_quota()->set_cpu_millis(k_max_number);
  team->mutable_quota()->set_memory_mib(k_max_number);
  if (m_script.expectations.empty()) {
    fail("a scenario needs at least one expect statement");
  }
}

Result<Script> Parser::parse(const std::string& text) {
  std::stringstream lines(text);
  for (std::string line; std::getline(lines, line) && m_error.empty();) {
    ++m_line;
    std::stringstream stream(line);
    Words words;
    for (std::string word; stream >> word;) {
      words.push_back(word);
    }
    if (words.empty() || words.front().starts_with('#')) {
      continue;
    }
    statement(words);
  }
  finish();
  if (!m_error.empty()) {
    return not_run(ErrorCode::invalid_argument, m_error);
  }
  return m_script;
}

}  // namespace

Result<Script> parse_script(const std::string& file, const std::string& text) {
  return Parser(file).parse(text);
}

}  // namespace arbutusdale::scenario
