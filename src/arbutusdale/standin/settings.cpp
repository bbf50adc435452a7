// Flags and JSON settings of arbutus-standin.
#include "settings.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <fstream>
#include <functional>
#include <sstream>
#include <string_view>
#include <system_error>
#include <vector>

#include <getopt.h>
#include <nlohmann/json.hpp>

namespace arbutusdale::standin {
namespace {

using Json = nlohmann::json;

Result<void> invalid(const std::string& message) {
  return not_run(ErrorCode::invalid_argument, message);
}

template <typename Number>
Result<void> parse_into(const std::string& text, Number& target) {
  Number value{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size()) {
    return invalid("\"" + text + "\" is not a number in range");
  }
  target = value;
  return {};
}

Result<void> parse_ms(const std::string& text, Duration& target) {
  std::uint32_t value = 0;
  auto parsed = parse_into(text, value);
  target = std::chrono::milliseconds{value};
  return parsed;
}

Result<void> parse_interference(const std::string& text, StandinOptions& options) {
  const std::size_t split = text.find('=');
  if (split == std::string::npos) {
    return invalid("\"" + text + "\" is not CLASS=FACTOR");
  }
  return parse_into(text.substr(split + 1), options.interference[text.substr(0, split)]);
}

Result<void> parse_domains(const std::string& text, StandinOptions& options) {
  std::vector<std::string> domains;
  std::istringstream list(text);
  for (std::string name; std::getline(list, name, ',');) {
    domains.push_back(name);
  }
  if (domains.empty()) {
    return invalid("no failure domain is named");
  }
  options.domains = domains;
  return {};
}

struct Flag {
  const char* name;
  const char* help;
  std::function<Result<void>(const std::string&, StandinOptions&)> apply;
};

/// Flag that stores a number in a member of the options.
template <typename Number>
Flag number_flag(const char* name, const char* help, Number StandinOptions::*member) {
  return {name, help, [member](const std::string& text, StandinOptions& options) {
            return parse_into(text, options.*member);
          }};
}

Flag duration_flag(const char* name, const char* help, Duration StandinOptions::*member) {
  return {name, help, [member](const std::string& text, StandinOptions& options) {
            return parse_ms(text, options.*member);
          }};
}

template <typename Number>
Flag capacity_flag(const char* name, const char* help, Number Resources::*member) {
  return {name, help, [member](const std::string& text, StandinOptions& options) {
            return parse_into(text, options.capacity.*member);
          }};
}

template <typename Number>
Flag log_flag(const char* name, const char* help, Number LogModelOptions::*member) {
  return {name, help, [member](const std::string& text, StandinOptions& options) {
            return parse_into(text, options.log.*member);
          }};
}

std::vector<Flag> make_flags() {
  using Options = StandinOptions;
  return {
      {"domains", "failure domains, separated by commas", parse_domains},
      number_flag("vms-per-domain", "VMs of each failure domain", &Options::vms_per_domain),
      number_flag("vms-per-rack", "VMs of each rack", &Options::vms_per_rack),
      capacity_flag("cpu-millis", "thousandths of processors per VM", &Resources::cpu_millis),
      capacity_flag("memory-mib", "memory per VM", &Resources::memory_mib),
      number_flag("accelerator-vms", "VMs per domain that have accelerators",
                  &Options::accelerator_vms),
      number_flag("accelerators", "accelerators per VM that has any", &Options::accelerators),
      number_flag("platform-port", "platform port of the first domain; 0 takes free ports",
                  &Options::platform_port),
      number_flag("agent-base-port", "agent port of the first VM", &Options::agent_base_port),
      number_flag("target-base-port", "target port of the first VM", &Options::target_base_port),
      {"service", "name of the service in reports",
       [](const std::string& text, Options& options) {
         options.service = text;
         return Result<void>{};
       }},
      duration_flag("service-ms", "mean service time", &Options::service_time),
      number_flag("service-variation", "share of the service time that varies, 0 to 1",
                  &Options::service_variation),
      number_flag("slots", "concurrent requests per target", &Options::slots),
      number_flag("connections", "connections per target", &Options::connections),
      number_flag("target-threads", "threads that serve targets", &Options::target_threads),
      {"interference", "CLASS=FACTOR, growth of the service time at full load of the job class",
       parse_interference},
      log_flag("log-appends-per-second", "limit over all streams",
               &LogModelOptions::appends_per_second),
      log_flag("log-burst", "appends accepted at once", &LogModelOptions::append_burst),
      log_flag("log-retained", "records kept per stream", &LogModelOptions::retained_records),
      duration_flag("list-lag-ms", "lag of the VM list", &Options::list_lag),
      duration_flag("report-lag-ms", "age of usage and service metrics", &Options::report_lag),
      duration_flag("stop-delay-ms", "time a task takes to stop", &Options::stop_delay),
      number_flag("seed", "seed of all random numbers", &Options::seed),
  };
}

const std::vector<Flag>& flags() {
  static const std::vector<Flag> k_flags = make_flags();
  return k_flags;
}

VmOptions parse_vm(const Json& item) {
  VmOptions vm;
  vm.id = item.at("id").get<std::string>();
  vm.domain = item.at("domain").get<std::string>();
  vm.rack = item.value("rack", "");
  vm.capacity.cpu_millis = item.at("cpu_millis").get<std::uint64_t>();
  vm.capacity.memory_mib = item.at("memory_mib").get<std::uint64_t>();
  vm.capacity.accelerators = item.value("accelerators", 0U);
  return vm;
}

std::string text_of(const Json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

Result<void> apply_member(const std::string& name, const Json& value, StandinOptions& options) {
  if (name == "vms") {
    for (const Json& item : value) {
      options.vms.push_back(parse_vm(item));
    }
    return {};
  }
  if (name == "interference") {
    options.interference = value.get<std::map<std::string, double>>();
    return {};
  }
  std::string flag_name = name;
  std::replace(flag_name.begin(), flag_name.end(), '_', '-');
  for (const Flag& flag : flags()) {
    if (flag.name == flag_name) {
      return flag.apply(text_of(value), options);
    }
  }
  return invalid("unknown setting \"" + name + "\"");
}

Result<void> read_config(const std::string& file, StandinOptions& options) {
  std::ifstream stream(file);
  if (!stream) {
    return invalid("cannot read " + file);
  }
  std::ostringstream text;
  text << stream.rdbuf();
  return apply_json(text.str(), options);
}

}  // namespace

std::string usage() {
  std::string text = "Usage: arbutus-standin [--config FILE] [--FLAG VALUE]...\n";
  for (const Flag& flag : flags()) {
    text += std::string("  --") + flag.name + "  " + flag.help + "\n";
  }
  return text;
}

Result<void> apply_json(const std::string& text, StandinOptions& options) {
  try {
    const Json document = Json::parse(text, nullptr, true, true);
    for (const auto& [name, value] : document.items()) {
      auto applied = apply_member(name, value, options);
      if (!applied) {
        return invalid(name + ": " + applied.error().message);
      }
    }
    return {};
  } catch (const Json::exception& error) {
    return invalid(error.what());
  }
}

Result<StandinOptions> parse_settings(int argc, char** argv) {
  constexpr int k_first_flag = 1'000;  // above all character codes, which denote short flags
  constexpr int k_config = 1;
  constexpr int k_help = 2;
  std::vector<option> long_options{{"config", required_argument, nullptr, k_config},
                                   {"help", no_argument, nullptr, k_help}};
  for (std::size_t i = 0; i < flags().size(); ++i) {
    long_options.push_back(
        {flags()[i].name, required_argument, nullptr, k_first_flag + static_cast<int>(i)});
  }
  long_options.push_back({});
  StandinOptions options;
  optind = 1;
  for (int code = 0; (code = getopt_long(argc, argv, "", long_options.data(), nullptr)) != -1;) {
    if (code == k_help || code == '?') {
      return not_run(ErrorCode::not_found, usage());
    }
    const std::string value = optarg;
    const auto applied =
        code == k_config
            ? read_config(value, options)
            : flags()[static_cast<std::size_t>(code - k_first_flag)].apply(value, options);
    if (!applied) {
      return tl::unexpected<Error>(applied.error());
    }
  }
  return options;
}

}  // namespace arbutusdale::standin
