// Command-line parsing, help and completion, all driven by a table of verbs and one of options.
#include "options.hpp"

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <iterator>
#include <system_error>

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <getopt.h>

namespace arbutusdale::cli {
namespace {

constexpr std::size_t k_max_arguments = 64;
constexpr std::uint32_t k_max_record_limit = 1'000;

enum OptionKey : int {
  server = 1'000,
  token,
  output,
  help,
  yes,
  reason,
  limit,
  drain,
  undrain,
  cancel,
  remove_service,
};

tl::unexpected<Error> usage_error(std::string message) {
  return not_run(ErrorCode::invalid_argument, std::move(message));
}

bool accepts(const OptionInfo& option, std::string_view verb) {
  return option.verbs.empty() ||
         std::find(option.verbs.begin(), option.verbs.end(), verb) != option.verbs.end();
}

const OptionInfo* find_option(int key) {
  for (const OptionInfo& option : option_table()) {
    if (option.key == key) {
      return &option;
    }
  }
  return nullptr;
}

Result<void> set_limit(Options& options, std::string_view text) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), options.limit);
  if (error != std::errc{} || end != text.data() + text.size() || options.limit == 0 ||
      options.limit > k_max_record_limit) {
    return usage_error(
        fmt::format("--limit: '{}' is not allowed; expected 1 to {}", text, k_max_record_limit));
  }
  return {};
}

Result<void> set_output(Options& options, std::string_view text) {
  if (text != "json" && text != "text") {
    return usage_error(fmt::format("--output: '{}' is not allowed; expected text or json", text));
  }
  options.json = text == "json";
  return {};
}

Result<void> set_option(Options& options, int key, const char* value) {
  switch (key) {
    case OptionKey::server:
      options.server = value;
      break;
    case OptionKey::token:
      options.token = value;
      break;
    case OptionKey::output:
      return set_output(options, value);
    case OptionKey::help:
      options.help = true;
      break;
    case OptionKey::yes:
      options.yes = true;
      break;
    case OptionKey::reason:
      options.reason = value;
      break;
    case OptionKey::limit:
      return set_limit(options, value);
    case OptionKey::drain:
      options.drain_vms.emplace_back(value);
      break;
    case OptionKey::undrain:
      options.undrain_vms.emplace_back(value);
      break;
    case OptionKey::cancel:
      options.cancel_jobs.emplace_back(value);
      break;
    default:
      options.remove_services.emplace_back(value);
      break;
  }
  return {};
}

std::vector<option> getopt_table() {
  std::vector<option> table;
  for (const OptionInfo& info : option_table()) {
    const int has_argument = info.argument == nullptr ? no_argument : required_argument;
    table.push_back(option{info.name, has_argument, nullptr, info.key});
  }
  table.push_back(option{nullptr, 0, nullptr, 0});
  return table;
}

Result<void> check_verb(const Options& options, const std::vector<int>& keys) {
  const VerbInfo* verb = find_verb(options.verb);
  if (verb == nullptr) {
    return usage_error(fmt::format("unknown verb '{}'; see arbutusctl --help", options.verb));
  }
  for (const int key : keys) {
    const OptionInfo* option = find_option(key);
    if (option != nullptr && !accepts(*option, options.verb)) {
      return usage_error(fmt::format("--{} does not apply to '{}'", option->name, options.verb));
    }
  }
  const bool has_changes = !options.drain_vms.empty() || !options.undrain_vms.empty() ||
                           !options.cancel_jobs.empty() || !options.remove_services.empty();
  const std::size_t min_arguments = has_changes ? 0 : verb->min_arguments;
  const std::size_t count = options.arguments.size();
  if (!options.help && (count < min_arguments || count > verb->max_arguments)) {
    return usage_error(fmt::format("usage: arbutusctl {} {}", verb->name, verb->arguments));
  }
  return {};
}

void add_environment(Options& options) {
  const auto read_variable = [](std::string& value, const char* name) {
    const char* text = std::getenv(name);
    if (value.empty() && text != nullptr) {
      value = text;
    }
  };
  read_variable(options.server, "ARBUTUSDALE_SERVER");
  read_variable(options.token, "ARBUTUSDALE_TOKEN");
  while (options.server.ends_with('/')) {
    options.server.pop_back();
  }
}

Result<void> check_server(const Options& options) {
  const bool is_local = options.help || options.verb == "validate" || options.verb == "keygen" ||
                        options.verb == "completion" || options.verb == "story";
  if (is_local) {
    return {};
  }
  if (options.server.empty()) {
    return usage_error("no server given; use --server http://HOST:PORT or ARBUTUSDALE_SERVER");
  }
  if (!options.server.starts_with("http://") && !options.server.starts_with("https://")) {
    return usage_error(
        fmt::format("--server: '{}' is not allowed; expected http://HOST:PORT", options.server));
  }
  return {};
}

std::string option_help(std::string_view verb) {
  std::string text;
  for (const OptionInfo& option : option_table()) {
    if (accepts(option, verb)) {
      const std::string name = fmt::format("--{}{}{}", option.name, option.argument ? " " : "",
                                           option.argument ? option.argument : "");
      text += fmt::format("  {:<24} {}\n", name, option.help);
    }
  }
  return text;
}

}  // namespace

const std::vector<OptionInfo>& option_table() {
  static const std::vector<OptionInfo> k_table{
      {"server",
       OptionKey::server,
       "URL",
       {},
       "admin listener, http://HOST:PORT (ARBUTUSDALE_SERVER)"},
      {"token", OptionKey::token, "TOKEN", {}, "bearer token (ARBUTUSDALE_TOKEN)"},
      {"output", OptionKey::output, "FORMAT", {}, "text or json; default text"},
      {"help", OptionKey::help, nullptr, {}, "print this help"},
      {"yes", OptionKey::yes, nullptr, {"plan", "drain", "cancel"}, "confirm the plan immediately"},
      {"reason", OptionKey::reason, "TEXT", {"confirm", "reject"}, "reason stored in the record"},
      {"limit", OptionKey::limit, "N", {"record"}, "newest entries to print; default 20"},
      {"drain", OptionKey::drain, "VM", {"plan"}, "also drain a VM; may be repeated"},
      {"undrain",
       OptionKey::undrain,
       "VM",
       {"plan"},
       "also end the drain of a VM; may be repeated"},
      {"cancel", OptionKey::cancel, "JOB", {"plan"}, "also cancel a job; may be repeated"},
      {"remove-service",
       OptionKey::remove_service,
       "NAME",
       {"plan"},
       "also remove a service; may be repeated"},
  };
  return k_table;
}

const std::vector<VerbInfo>& verb_table() {
  static const std::vector<VerbInfo> k_table{
      {"plan", "FILE...", 1, k_max_arguments,
       "Creates a plan from declaration files and prints it. Nothing changes until it is "
       "confirmed."},
      {"confirm", "ID", 1, 1,
       "Confirms a plan. It is refused if an object it depends on has changed."},
      {"reject", "ID", 1, 1, "Rejects a plan."},
      {"status", "", 0, 0, "Prints the state of the fleet and of its failure domains."},
      {"record", "", 0, 0, "Prints the newest plans with their decisions and outcomes."},
      {"drain", "VM", 1, 1, "Creates a plan that drains a VM."},
      {"cancel", "JOB", 1, 1, "Creates a plan that cancels a job."},
      {"story", "JOB [FILE...]", 1, k_max_arguments,
       "Prints the events of one job from logs of arbutusdale-entry; without files, from standard "
       "input."},
      {"validate", "FILE...", 1, k_max_arguments, "Checks declaration files without a server."},
      {"keygen", "", 0, 0, "Prints a new CURVE key pair for the daemons of a fleet."},
      {"completion", "bash", 1, 1, "Prints the completion script of a shell."},
  };
  return k_table;
}

const VerbInfo* find_verb(std::string_view name) {
  const auto& table = verb_table();
  const auto it = std::find_if(table.begin(), table.end(),
                               [name](const VerbInfo& verb) { return verb.name == name; });
  return it == table.end() ? nullptr : &*it;
}

Result<Options> parse_options(int argc, char** argv) {
  const std::vector<option> table = getopt_table();
  Options options;
  std::vector<int> keys;
  optind = 0;  // resets getopt, which may have parsed another command line before
  opterr = 0;
  int key = 0;
  while ((key = getopt_long(argc, argv, ":h", table.data(), nullptr)) != -1) {
    if (key == '?' || key == ':') {
      const std::string option = argv[optind - 1];
      return usage_error(key == ':' ? option + " needs a value" : "unknown option " + option);
    }
    key = key == 'h' ? static_cast<int>(OptionKey::help) : key;
    keys.push_back(key);
    if (auto set = set_option(options, key, optarg); !set) {
      return tl::unexpected<Error>(set.error());
    }
  }
  if (optind < argc) {
    options.verb = argv[optind];
    options.arguments.assign(argv + optind + 1, argv + argc);
  }
  if (options.verb.empty()) {
    return options.help ? Result<Options>(options)
                        : usage_error("no verb given; see arbutusctl --help");
  }
  add_environment(options);
  for (const auto& checked : {check_verb(options, keys), check_server(options)}) {
    if (!checked) {
      return tl::unexpected<Error>(checked.error());
    }
  }
  return options;
}

std::string help_text(const std::string& verb) {
  const VerbInfo* info = find_verb(verb);
  if (info != nullptr) {
    return fmt::format("Usage: arbutusctl {} [OPTION]... {}\n\n{}\n\nOptions:\n{}", info->name,
                       info->arguments, info->help, option_help(info->name));
  }
  std::string text = "Usage: arbutusctl VERB [OPTION]... [ARGUMENT]...\n\nVerbs:\n";
  for (const VerbInfo& each : verb_table()) {
    text +=
        fmt::format("  {:<18} {}\n", fmt::format("{} {}", each.name, each.arguments), each.help);
  }
  text += "\nOptions of all verbs:\n" + option_help("");
  text +=
      "\nExit status: 0 done; 1 refused or failed; 2 wrong usage; 3 server unreachable, a change "
      "may have taken effect.\n";
  return text;
}

std::string bash_completion() {
  std::vector<std::string> verbs;
  std::string cases;
  for (const VerbInfo& verb : verb_table()) {
    verbs.emplace_back(verb.name);
    std::vector<std::string> words;
    for (const OptionInfo& option : option_table()) {
      if (accepts(option, verb.name)) {
        words.push_back(fmt::format("--{}", option.name));
      }
    }
    cases += fmt::format("    {}) words=\"{}\" ;;\n", verb.name, fmt::join(words, " "));
  }
  return fmt::format(R"(_arbutusctl() {{
  local current="${{COMP_WORDS[COMP_CWORD]}}" previous="${{COMP_WORDS[COMP_CWORD-1]}}" verb="" words="" word
  for word in "${{COMP_WORDS[@]:1:COMP_CWORD-1}}"; do
    case "$word" in {}) verb="$word"; break ;; esac
  done
  case "$previous" in
    --output) COMPREPLY=($(compgen -W "text json" -- "$current")); return ;;
    completion) COMPREPLY=($(compgen -W "bash" -- "$current")); return ;;
  esac
  case "$verb" in
    "") words="{} --help" ;;
{}  esac
  case "$verb:$current" in
    plan:[!-]*|plan:|story:[!-]*|story:|validate:[!-]*|validate:) COMPREPLY=($(compgen -f -- "$current")) ;;
    *) COMPREPLY=($(compgen -W "$words" -- "$current")) ;;
  esac
}}
complete -o filenames -F _arbutusctl arbutusctl
)",
                     fmt::join(verbs, "|"), fmt::join(verbs, " "), cases);
}

}  // namespace arbutusdale::cli
