// Trace contexts and the background export as OTLP/HTTP JSON.
#include "arbutusdale/observe/trace.hpp"

#include "arbutusdale/core/random.hpp"

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

#include "trace_json.hpp"
#include <curl/curl.h>
#include <fmt/format.h>

namespace arbutusdale::observe {
namespace {

constexpr std::size_t k_trace_id_digits = 32;
constexpr std::size_t k_span_id_digits = 16;
// version "-" trace id "-" span id "-" flags, as specified by W3C Trace Context level 1.
constexpr std::size_t k_traceparent_bytes = 55;
constexpr std::size_t k_max_batch_spans = 512;
constexpr auto k_export_interval = std::chrono::seconds{1};
constexpr long k_export_timeout_ms = 2'000;

bool is_hex(std::string_view text) {
  return std::all_of(text.begin(), text.end(),
                     [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
}

bool is_all_zeros(std::string_view text) {
  return text.find_first_not_of('0') == std::string_view::npos;
}

std::size_t discard_body(char* /*data*/, std::size_t size, std::size_t count, void* /*context*/) {
  return size * count;
}

/// Posts one document; false when the collector did not accept it.
bool post_json(CURL* easy, const std::string& url, const std::string& body) {
  curl_easy_reset(easy);
  curl_slist* headers = curl_slist_append(nullptr, "Content-Type: application/json");
  headers = curl_slist_append(headers, "Expect:");
  curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body.data());
  curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(body.size()));
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, k_export_timeout_ms);
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, discard_body);
  const CURLcode code = curl_easy_perform(easy);
  long status = 0;
  curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
  curl_slist_free_all(headers);
  return code == CURLE_OK && status >= 200 && status < 300;
}

class ExportingTracer final : public Tracer {
 public:
  explicit ExportingTracer(TracerOptions options)
      : m_options(std::move(options)), m_random(m_options.seed) {
    if (!m_options.collector_url.empty()) {
      curl_global_init(CURL_GLOBAL_DEFAULT);
      m_exporter = std::thread([this] { run_exporter(); });
    }
  }

  ~ExportingTracer() override {
    if (!m_exporter.joinable()) {
      return;
    }
    {
      const std::lock_guard lock(m_mutex);
      m_stopping = true;
    }
    m_wakeup.notify_one();
    m_exporter.join();
  }

  ExportingTracer(const ExportingTracer&) = delete;
  ExportingTracer& operator=(const ExportingTracer&) = delete;

  TraceContext begin(const std::optional<TraceContext>& parent) override {
    const std::lock_guard lock(m_random_mutex);
    if (parent) {
      return {parent->trace_id, random_hex64(), parent->sampled};
    }
    std::string trace_id = random_hex64() + random_hex64();
    return {std::move(trace_id), random_hex64(), true};
  }

  void end(Span span) override {
    if (m_options.collector_url.empty() || !span.context.sampled) {
      return;
    }
    const std::lock_guard lock(m_mutex);
    if (m_buffer.size() >= m_options.max_buffered) {
      m_dropped.fetch_add(1, std::memory_order_relaxed);
      return;
    }
    m_buffer.push_back(std::move(span));
    if (m_buffer.size() == k_max_batch_spans) {
      m_wakeup.notify_one();
    }
  }

  [[nodiscard]] std::uint64_t dropped() const override {
    return m_dropped.load(std::memory_order_relaxed);
  }

 private:
  /// Never all zeros, which the format reserves for "invalid".
  std::string random_hex64() {
    const std::uint64_t value = m_random();
    return fmt::format("{:016x}", value == 0 ? 1 : value);
  }

  void run_exporter() {
    CURL* easy = curl_easy_init();
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
      m_wakeup.wait_for(lock, k_export_interval,
                        [this] { return m_stopping || m_buffer.size() >= k_max_batch_spans; });
      while (!m_buffer.empty()) {
        if (!export_batch(easy, lock)) {
          break;
        }
      }
    }
    // Spans that cannot be exported before shutdown count as dropped.
    m_dropped.fetch_add(m_buffer.size(), std::memory_order_relaxed);
    curl_easy_cleanup(easy);
  }

  /// Sends the oldest spans with the lock released; false when the collector did not accept them.
  bool export_batch(CURL* easy, std::unique_lock<std::mutex>& lock) {
    const auto count = std::min(m_buffer.size(), k_max_batch_spans);
    const auto last = m_buffer.begin() + static_cast<std::ptrdiff_t>(count);
    std::vector<Span> batch(std::make_move_iterator(m_buffer.begin()),
                            std::make_move_iterator(last));
    m_buffer.erase(m_buffer.begin(), last);
    lock.unlock();
    const bool sent =
        post_json(easy, m_options.collector_url, otlp_json(m_options.service_name, batch));
    if (!sent) {
      m_dropped.fetch_add(batch.size(), std::memory_order_relaxed);
    }
    lock.lock();
    return sent;
  }

  const TracerOptions m_options;
  std::mutex m_random_mutex;
  Random m_random;
  std::mutex m_mutex;  // guards m_buffer and m_stopping
  std::condition_variable m_wakeup;
  std::deque<Span> m_buffer;  // at most m_options.max_buffered
  bool m_stopping = false;
  std::atomic<std::uint64_t> m_dropped{0};
  std::thread m_exporter;
};

}  // namespace

std::optional<TraceContext> parse_traceparent(std::string_view header) {
  if (header.size() < k_traceparent_bytes || header[2] != '-' || header[35] != '-' ||
      header[52] != '-') {
    return std::nullopt;
  }
  const auto version = header.substr(0, 2);
  const auto trace_id = header.substr(3, k_trace_id_digits);
  const auto span_id = header.substr(36, k_span_id_digits);
  const auto flags = header.substr(53, 2);
  // Later versions may append fields after a dash; version 00 has exactly four fields.
  const bool has_v00_length = header.size() == k_traceparent_bytes;
  if (version == "ff" ||
      (version == "00" ? !has_v00_length : !has_v00_length && header[55] != '-')) {
    return std::nullopt;
  }
  if (!is_hex(version) || !is_hex(trace_id) || !is_hex(span_id) || !is_hex(flags) ||
      is_all_zeros(trace_id) || is_all_zeros(span_id)) {
    return std::nullopt;
  }
  const char low_digit = flags[1];
  const int flag_bits = low_digit <= '9' ? low_digit - '0' : low_digit - 'a' + 10;
  return TraceContext{std::string(trace_id), std::string(span_id), (flag_bits & 1) != 0};
}

std::string format_traceparent(const TraceContext& context) {
  return fmt::format("00-{}-{}-{}", context.trace_id, context.span_id,
                     context.sampled ? "01" : "00");
}

std::unique_ptr<Tracer> make_tracer(TracerOptions options) {
  return std::make_unique<ExportingTracer>(std::move(options));
}

}  // namespace arbutusdale::observe
