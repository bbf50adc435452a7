// Converts declaration files to the `Declaration` message.
#include "arbutusdale/declare/declare.hpp"

#include <map>
#include <utility>

#include "field_reader.hpp"
#include <fmt/format.h>

namespace arbutusdale::declare {
namespace {

using proto::state::Declaration;

constexpr std::uint64_t k_max_shards = 16;
constexpr std::uint64_t k_default_shards = 4;
constexpr std::uint64_t k_max_weight = 1'000;
constexpr std::uint64_t k_max_slots = 4'096;
constexpr std::uint64_t k_max_connections = 4'096;
constexpr std::uint64_t k_default_connections = 64;
constexpr std::uint64_t k_max_timeout_ms = 3'600'000;
constexpr std::uint64_t k_max_queue = 100'000;
constexpr std::uint64_t k_default_queue = 200;
constexpr std::uint64_t k_max_tasks = 1'000'000;
constexpr std::uint64_t k_max_expected_ms = 2'592'000'000;  // 30 days
constexpr std::uint64_t k_max_priority = 9;
constexpr std::uint64_t k_default_priority = 4;
constexpr std::uint64_t k_max_tries = 100;
constexpr std::uint64_t k_default_tries = 4;

const TextRule& path_rule() {
  static const TextRule k_rule{
      k_max_path_chars, "a path that starts with '/' and has no blank, '?' or '#'",
      [](std::string_view text) {
        return text.starts_with('/') && text.find_first_of(" \t\r\n?#") == std::string_view::npos;
      }};
  return k_rule;
}

const TextRule& command_rule() {
  static const TextRule k_rule{k_max_command_chars, "", nullptr};
  return k_rule;
}

/// File and field path of each declared object, over all files, by kind and name.
using Locations = std::map<std::pair<std::string, std::string>, std::string>;

/// Parses one file and adds its objects to the declaration.
class FileParser {
 public:
  FileParser(const std::string& file, Declaration& out, Locations& locations)
      : m_errors(file), m_out(out), m_locations(locations) {}

  Result<void> parse(std::string_view text);

 private:
  void read_file(const Json& root);
  void read_domain(FieldReader& reader);
  void read_team(FieldReader& reader);
  void read_service(FieldReader& reader);
  void read_job(FieldReader& reader);
  std::string read_name(FieldReader& reader, const std::string& kind);
  void record_location(const std::string& kind, const std::string& name, const std::string& path);

  ParseErrors m_errors;
  Declaration& m_out;
  Locations& m_locations;
};

Result<void> FileParser::parse(std::string_view text) {
  if (text.size() > k_max_file_bytes) {
    return not_run(ErrorCode::too_large,
                   fmt::format("{}: the file has {} bytes; expected at most {}", m_errors.file(),
                               text.size(), k_max_file_bytes));
  }
  const auto root = parse_json(text, m_errors);
  if (root && m_errors.empty()) {
    read_file(*root);
  }
  if (!m_errors.empty()) {
    return not_run(ErrorCode::invalid_argument, m_errors.text());
  }
  return {};
}

void FileParser::read_file(const Json& root) {
  FieldReader reader(root, "", m_errors);
  const auto read_all = [&](const std::string& field, void (FileParser::*read)(FieldReader&)) {
    reader.list(field, [&](const Json& element, const std::string& path) {
      FieldReader object(element, path, m_errors);
      if (element.is_object()) {
        (this->*read)(object);
        object.finish();
      }
    });
  };
  read_all("domains", &FileParser::read_domain);
  read_all("teams", &FileParser::read_team);
  read_all("services", &FileParser::read_service);
  read_all("jobs", &FileParser::read_job);
  for (const auto& vm : reader.names("drains")) {
    record_location("drain", vm, reader.path_of("drains"));
    m_out.add_drains(vm);
  }
  reader.finish();
}

void FileParser::record_location(const std::string& kind, const std::string& name,
                                 const std::string& path) {
  const std::string location = m_errors.file() + " " + path;
  const auto [it, is_new] = m_locations.try_emplace({kind, name}, location);
  if (!is_new) {
    m_errors.add(path, fmt::format("{} \"{}\" is already declared in {}", kind, name, it->second));
  }
}

std::string FileParser::read_name(FieldReader& reader, const std::string& kind) {
  std::string name = reader.text("name", name_rule());
  if (!name.empty()) {
    record_location(kind, name, reader.path_of("name"));
  }
  return name;
}

void FileParser::read_domain(FieldReader& reader) {
  auto& domain = *m_out.add_domains();
  domain.set_name(read_name(reader, "domain"));
  domain.set_region(reader.text("region", name_rule()));
  domain.set_shards(reader.integer32("shards", {1, k_max_shards, k_default_shards}));
  domain.set_weight(reader.integer32("weight", {0, k_max_weight, 1}));
}

void FileParser::read_team(FieldReader& reader) {
  auto& team = *m_out.add_teams();
  team.set_name(read_name(reader, "team"));
  team.set_request_weight(reader.integer32("request_weight", {1, k_max_weight, 1}));
  team.set_batch_weight(reader.integer32("batch_weight", {1, k_max_weight, 1}));
  *team.mutable_quota() = reader.resources("quota", false);
}

void FileParser::read_service(FieldReader& reader) {
  auto& service = *m_out.add_services();
  service.set_name(read_name(reader, "service"));
  service.set_team(reader.text("team", name_rule()));
  service.set_path_prefix(reader.text("path_prefix", path_rule()));
  if (!service.path_prefix().empty()) {
    record_location("path_prefix", service.path_prefix(), reader.path_of("path_prefix"));
  }
  for (const auto& domain : reader.names("domains")) {
    service.add_domains(domain);
  }
  service.set_vm_prefix(reader.text("vm_prefix", name_rule(), false));
  service.set_slots(reader.integer32("slots", {1, k_max_slots, std::nullopt}));
  service.set_connections(
      reader.integer32("connections", {1, k_max_connections, k_default_connections}));
  service.set_p99_target_ms(reader.integer32("p99_target_ms", {1, k_max_timeout_ms, std::nullopt}));
  service.set_timeout_ms(reader.integer32("timeout_ms", {1, k_max_timeout_ms, std::nullopt}));
  service.set_queue_limit(reader.integer32("queue_limit", {1, k_max_queue, k_default_queue}));
  *service.mutable_reserve() = reader.resources("reserve", false);
  if (service.p99_target_ms() > service.timeout_ms()) {
    m_errors.add_invalid_value(
        reader.path_of("p99_target_ms"), service.p99_target_ms(),
        fmt::format("at most timeout_ms, which is {}", service.timeout_ms()));
  }
}

void FileParser::read_job(FieldReader& reader) {
  auto& job = *m_out.add_jobs();
  job.set_name(read_name(reader, "job"));
  job.set_team(reader.text("team", name_rule()));
  job.set_job_class(reader.text("job_class", name_rule(), false));
  if (job.job_class().empty()) {
    job.set_job_class(job.name());
  }
  job.set_tasks(reader.integer32("tasks", {1, k_max_tasks, std::nullopt}));
  *job.mutable_resources() = reader.resources("resources", true);
  job.set_expected_ms(reader.integer("expected_ms", {1, k_max_expected_ms, std::nullopt}));
  job.set_priority(reader.integer32("priority", {0, k_max_priority, k_default_priority}));
  job.set_urgent(reader.boolean("urgent"));
  job.set_checkpoint(reader.boolean("checkpoint"));
  job.set_command(reader.text("command", command_rule(), false));
  job.set_max_tries(reader.integer32("max_tries", {1, k_max_tries, k_default_tries}));
  for (const auto& domain : reader.names("domains")) {
    job.add_domains(domain);
  }
}

}  // namespace

Result<Declaration> parse_declaration(const std::string& file_name, std::string_view text) {
  Declaration declaration;
  Locations locations;
  if (auto parsed = FileParser(file_name, declaration, locations).parse(text); !parsed) {
    return tl::unexpected<Error>(parsed.error());
  }
  return declaration;
}

Result<Declaration> parse_declarations(const std::vector<SourceFile>& files) {
  if (files.size() > k_max_files) {
    return not_run(ErrorCode::too_large, fmt::format("{} files were given; expected at most {}",
                                                     files.size(), k_max_files));
  }
  Declaration declaration;
  Locations locations;
  std::string errors;
  for (const SourceFile& file : files) {
    if (auto parsed = FileParser(file.name, declaration, locations).parse(file.text); !parsed) {
      errors += (errors.empty() ? "" : "\n") + parsed.error().message;
    }
  }
  if (!errors.empty()) {
    return not_run(ErrorCode::invalid_argument, errors);
  }
  return declaration;
}

}  // namespace arbutusdale::declare
