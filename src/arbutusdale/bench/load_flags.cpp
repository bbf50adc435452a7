// Parses the command-line flags of the load programs.
#include "load_flags.hpp"

#include "arbutusdale/gateway/headers.hpp"

#include <array>
#include <charconv>

#include <fmt/format.h>
#include <getopt.h>

namespace arbutusdale::bench {
namespace {

// Upper bounds, so that a mistyped flag does not overload the machine.
constexpr double k_max_rate = 100'000;          // calls per second
constexpr std::uint64_t k_max_seconds = 3'600;  // reported time, warm-up and timeout
constexpr std::uint64_t k_max_body_bytes = 1 << 24;
constexpr std::uint64_t k_max_calls = 100'000'000;
constexpr std::uint64_t k_max_open = 20'000;

std::optional<double> parse_rate(std::string_view text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size() || !(value > 0) ||
      value > k_max_rate) {
    return std::nullopt;
  }
  return value;
}

std::optional<std::uint64_t> parse_bounded(std::string_view text, std::uint64_t low,
                                           std::uint64_t high) {
  const auto value = gateway::parse_number(text);
  return value && *value >= low && *value <= high ? value : std::nullopt;
}

bool set_field(LoadStream& stream, std::string_view name, std::string_view value) {
  if (value.empty()) {
    return false;
  }
  if (name == "team") {
    stream.team = value;
  } else if (name == "path") {
    stream.path = value;
    return value.front() == '/';
  } else if (name == "method") {
    stream.method = value;
  } else if (name == "rate") {
    const auto rate = parse_rate(value);
    stream.rate = rate.value_or(0);
    return rate.has_value();
  } else if (name == "body") {
    const auto size = parse_bounded(value, 0, k_max_body_bytes);
    stream.body_bytes = size.value_or(0);
    return size.has_value();
  } else {
    return false;
  }
  return true;
}

bool set_flag(LoadFlags& flags, int flag, const char* text) {
  auto& load = flags.load;
  const auto number = [text](auto& out, std::uint64_t low, std::uint64_t high) {
    const auto value = parse_bounded(text, low, high);
    if (value) {
      out = static_cast<std::remove_reference_t<decltype(out)>>(*value);
    }
    return value.has_value();
  };
  const auto duration = [&number](Duration& out, auto unit, std::uint64_t low, std::uint64_t high) {
    std::uint64_t count = 0;
    const bool valid = number(count, low, high);
    out = valid ? Duration{unit * static_cast<std::int64_t>(count)} : out;
    return valid;
  };
  switch (flag) {
    case 'a':
      load.address = text;
      return !load.address.empty();
    case 's': {
      auto stream = parse_stream(text);
      if (stream) {
        load.streams.push_back(std::move(*stream));
      }
      return stream.has_value();
    }
    case 'S':
      return number(load.seed, 0, UINT64_MAX);
    case 't':
      return duration(load.duration, std::chrono::seconds{1}, 1, k_max_seconds);
    case 'w':
      return duration(load.warm_up, std::chrono::seconds{1}, 0, k_max_seconds);
    case 'T':
      return duration(load.timeout, std::chrono::milliseconds{1}, 1, k_max_seconds * 1'000);
    case 'n':
      return number(load.max_calls, 1, k_max_calls);
    case 'o':
      return number(load.max_open, 1, k_max_open);
    case 'c':
      return number(load.max_connections, 1, k_max_open);
    case 'j':
      flags.json = true;
      return true;
    case 'h':
      flags.help = true;
      return true;
    default:
      return false;
  }
}

constexpr std::array<option, 12> k_options{{{"address", required_argument, nullptr, 'a'},
                                            {"stream", required_argument, nullptr, 's'},
                                            {"seed", required_argument, nullptr, 'S'},
                                            {"seconds", required_argument, nullptr, 't'},
                                            {"warm-up", required_argument, nullptr, 'w'},
                                            {"timeout-ms", required_argument, nullptr, 'T'},
                                            {"max-calls", required_argument, nullptr, 'n'},
                                            {"max-open", required_argument, nullptr, 'o'},
                                            {"connections", required_argument, nullptr, 'c'},
                                            {"json", no_argument, nullptr, 'j'},
                                            {"help", no_argument, nullptr, 'h'},
                                            {nullptr, 0, nullptr, 0}}};

}  // namespace

std::optional<LoadStream> parse_stream(std::string_view text) {
  LoadStream stream;
  while (!text.empty()) {
    const auto comma = std::min(text.find(','), text.size());
    const auto part = text.substr(0, comma);
    const auto equals = part.find('=');
    if (equals == std::string_view::npos ||
        !set_field(stream, part.substr(0, equals), part.substr(equals + 1))) {
      return std::nullopt;
    }
    text.remove_prefix(std::min(comma + 1, text.size()));
  }
  return stream;
}

std::optional<LoadFlags> parse_load_flags(int argc, char** argv, std::string& error) {
  LoadFlags flags;
  int flag = 0;
  optind = 1;
  while ((flag = getopt_long(argc, argv, "", k_options.data(), nullptr)) != -1) {
    if (!set_flag(flags, flag, optarg)) {
      error =
          flag == '?' ? "unknown flag or missing value" : fmt::format("wrong value \"{}\"", optarg);
      return std::nullopt;
    }
  }
  if (optind < argc) {
    error = fmt::format("unexpected argument \"{}\"", argv[optind]);
    return std::nullopt;
  }
  if (flags.load.streams.empty()) {
    flags.load.streams.emplace_back();
  }
  return flags;
}

std::string load_usage() {
  return "Usage: arbutus-load [flags]\n"
         "  --address HOST:PORT  callers' listener of an entry VM\n"
         "  --stream SPEC        team=NAME,path=/P,method=M,rate=CALLS_PER_S,body=BYTES; "
         "repeatable\n"
         "  --seed N             seed of the arrival times\n"
         "  --seconds N          seconds of load that are reported\n"
         "  --warm-up N          seconds of load before these, not reported\n"
         "  --timeout-ms N       longest wait for an answer\n"
         "  --max-calls N        upper bound on the number of calls\n"
         "  --max-open N         calls open at once; further ones are skipped and counted\n"
         "  --connections N      connections at once\n"
         "  --json               JSON instead of a table\n"
         "Latencies count from the intended send time. Exit status 2: wrong flags.\n";
}

}  // namespace arbutusdale::bench
