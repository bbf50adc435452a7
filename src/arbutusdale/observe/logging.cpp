// Log setup with spdlog.
#include "arbutusdale/observe/logging.hpp"

#include <string_view>
#include <utility>

#include <nlohmann/json.hpp>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace arbutusdale::observe {
namespace {

/// Writes the message as a JSON string with its quotes.
class JsonMessageFlag final : public spdlog::custom_flag_formatter {
 public:
  void format(const spdlog::details::log_msg& message, const std::tm& /*time*/,
              spdlog::memory_buf_t& out) override {
    const nlohmann::json text(std::string(message.payload.data(), message.payload.size()));
    const std::string escaped = text.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
    out.append(escaped.data(), escaped.data() + escaped.size());
  }

  [[nodiscard]] std::unique_ptr<custom_flag_formatter> clone() const override {
    return std::make_unique<JsonMessageFlag>();
  }
};

}  // namespace

std::unique_ptr<spdlog::formatter> make_log_formatter(bool json) {
  auto formatter = std::make_unique<spdlog::pattern_formatter>(spdlog::pattern_time_type::utc);
  if (json) {
    formatter->add_flag<JsonMessageFlag>('J').set_pattern(
        R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l","message":%J})");
  } else {
    formatter->set_pattern("%Y-%m-%dT%H:%M:%S.%eZ %l %v");
  }
  return formatter;
}

bool setup_logging(const LogOptions& options) {
  const auto level = spdlog::level::from_str(options.level);
  // from_str returns "off" for every unknown name.
  if (level == spdlog::level::off && options.level != "off") {
    return false;
  }
  auto logger = std::make_shared<spdlog::logger>("arbutusdale",
                                                 std::make_shared<spdlog::sinks::stderr_sink_mt>());
  logger->set_formatter(make_log_formatter(options.json));
  logger->set_level(level);
  logger->flush_on(spdlog::level::warn);
  spdlog::set_default_logger(std::move(logger));
  return true;
}

}  // namespace arbutusdale::observe
