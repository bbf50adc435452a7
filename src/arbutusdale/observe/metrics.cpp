// Metrics registry and histograms on Boost.Histogram.
#include "arbutusdale/observe/metrics.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <mutex>
#include <string_view>

#include <boost/histogram.hpp>
#include <fmt/format.h>

namespace arbutusdale::observe {
namespace {

namespace bh = boost::histogram;

constexpr double k_lowest_seconds = 1e-6;
constexpr double k_highest_seconds = 1e3;
constexpr int k_decades = 9;
// 100 buckets per decade bound the error of a quantile to 2.4%.
constexpr int k_buckets_per_decade = 100;
constexpr int k_buckets = k_decades * k_buckets_per_decade;
// The exposition merges buckets to 5 per decade to keep a scrape small.
constexpr int k_buckets_per_exposed_bucket = 20;

using Axis = bh::axis::regular<double, bh::axis::transform::log>;
using Storage = bh::dense_storage<bh::accumulators::thread_safe<std::uint64_t>>;
using Buckets = bh::histogram<std::tuple<Axis>, Storage>;

class LogarithmicHistogram final : public Histogram {
 public:
  void record(double seconds) override {
    // The logarithm is undefined for zero or less; such values count as below the lowest edge.
    m_buckets(seconds > 0 ? seconds : k_lowest_seconds / 2);
    m_count.fetch_add(1, std::memory_order_relaxed);
    add_sum(seconds);
  }

  [[nodiscard]] double quantile(double q) const override {
    std::uint64_t total = 0;
    for (int i = -1; i <= k_buckets; ++i) {
      total += bucket_count(i);
    }
    if (total == 0) {
      return 0;
    }
    const double rank = std::ceil(std::clamp(q, 0.0, 1.0) * static_cast<double>(total));
    const auto target_rank = std::max<std::uint64_t>(1, static_cast<std::uint64_t>(rank));
    std::uint64_t cumulative_count = 0;
    for (int i = -1; i < k_buckets; ++i) {
      cumulative_count += bucket_count(i);
      if (cumulative_count >= target_rank) {
        return upper_edge(i);
      }
    }
    return k_highest_seconds;
  }

  [[nodiscard]] std::uint64_t count() const override {
    return m_count.load(std::memory_order_relaxed);
  }

  void merge(const Histogram& other) override {
    const auto& other_histogram = dynamic_cast<const LogarithmicHistogram&>(other);
    auto& counts = bh::unsafe_access::storage(m_buckets);
    const auto& other_counts = bh::unsafe_access::storage(other_histogram.m_buckets);
    for (std::size_t i = 0; i < counts.size(); ++i) {
      counts[i].fetch_add(other_counts[i].load(), std::memory_order_relaxed);
    }
    m_count.fetch_add(other_histogram.count(), std::memory_order_relaxed);
    add_sum(other_histogram.m_sum.load(std::memory_order_relaxed));
  }

  void expose(std::string& out, std::string_view name, const std::string& labels) const {
    const std::string_view comma = labels.empty() ? "" : ",";
    std::uint64_t cumulative_count = bucket_count(-1);
    for (int i = 0; i < k_buckets; ++i) {
      cumulative_count += bucket_count(i);
      if ((i + 1) % k_buckets_per_exposed_bucket == 0) {
        out += fmt::format("{}_bucket{{{}{}le=\"{:.6g}\"}} {}\n", name, labels, comma,
                           upper_edge(i), cumulative_count);
      }
    }
    cumulative_count += bucket_count(k_buckets);
    out += fmt::format("{}_bucket{{{}{}le=\"+Inf\"}} {}\n", name, labels, comma, cumulative_count);
    const std::string braces = labels.empty() ? "" : "{" + labels + "}";
    out += fmt::format("{}_sum{} {:.9g}\n", name, braces, m_sum.load(std::memory_order_relaxed));
    out += fmt::format("{}_count{} {}\n", name, braces, cumulative_count);
  }

 private:
  /// Count of a bucket; index -1 is the bucket below the lowest edge, k_buckets the one above the
  /// highest. The storage is used directly here and in `merge`: GCC 12 reports a false
  /// maybe-uninitialized in Boost.Histogram's own functions when the sanitizers are on.
  [[nodiscard]] std::uint64_t bucket_count(std::ptrdiff_t index) const {
    return bh::unsafe_access::storage(m_buckets)[static_cast<std::size_t>(index + 1)].load();
  }
  [[nodiscard]] double upper_edge(int index) const { return m_buckets.axis().value(index + 1); }

  void add_sum(double seconds) {
    double expected = m_sum.load(std::memory_order_relaxed);
    while (!m_sum.compare_exchange_weak(expected, expected + seconds, std::memory_order_relaxed)) {
    }
  }

  Buckets m_buckets{std::make_tuple(Axis(k_buckets, k_lowest_seconds, k_highest_seconds))};
  std::atomic<std::uint64_t> m_count{0};
  std::atomic<double> m_sum{0};
};

std::string escape_label(std::string_view value) {
  std::string out;
  for (const char c : value) {
    if (c == '\\' || c == '"') {
      out += '\\';
      out += c;
    } else if (c == '\n') {
      out += "\\n";
    } else {
      out += c;
    }
  }
  return out;
}

std::string escape_help(std::string_view text) {
  std::string out;
  for (const char c : text) {
    if (c == '\n') {
      out += "\\n";
      continue;
    }
    if (c == '\\') {
      out += '\\';
    }
    out += c;
  }
  return out;
}

std::string format_labels(const Labels& labels) {
  std::string out;
  for (const auto& [name, value] : labels) {
    if (!out.empty()) {
      out += ',';
    }
    out += fmt::format("{}=\"{}\"", name, escape_label(value));
  }
  return out;
}

std::string format_series(std::string_view name, const std::string& labels) {
  return labels.empty() ? std::string(name) : fmt::format("{}{{{}}}", name, labels);
}

/// The metrics of one name, by formatted labels.
template <typename Metric>
struct Family {
  std::string help;
  std::map<std::string, std::unique_ptr<Metric>> members;
};

template <typename Metric>
using Families = std::map<std::string, Family<Metric>>;

template <typename Metric>
Metric& find_or_create(Families<Metric>& families, const std::string& name, const std::string& help,
                       const Labels& labels) {
  auto& family = families[name];
  if (family.help.empty()) {
    family.help = help;
  }
  auto& member = family.members[format_labels(labels)];
  if (!member) {
    member = std::make_unique<Metric>();
  }
  return *member;
}

template <typename Metric>
void expose_header(std::string& out, const std::string& name, const Family<Metric>& family,
                   std::string_view type) {
  out += fmt::format("# HELP {} {}\n# TYPE {} {}\n", name, escape_help(family.help), name, type);
}

class DefaultRegistry final : public Registry {
 public:
  Counter& counter(const std::string& name, const std::string& help,
                   const Labels& labels) override {
    const std::lock_guard lock(m_mutex);
    return find_or_create(m_counters, name, help, labels);
  }

  Gauge& gauge(const std::string& name, const std::string& help, const Labels& labels) override {
    const std::lock_guard lock(m_mutex);
    return find_or_create(m_gauges, name, help, labels);
  }

  Histogram& histogram(const std::string& name, const std::string& help,
                       const Labels& labels) override {
    const std::lock_guard lock(m_mutex);
    return find_or_create(m_histograms, name, help, labels);
  }

  [[nodiscard]] std::string expose() const override {
    const std::lock_guard lock(m_mutex);
    std::string out;
    for (const auto& [name, family] : m_counters) {
      expose_header(out, name, family, "counter");
      for (const auto& [labels, metric] : family.members) {
        out += fmt::format("{} {}\n", format_series(name, labels), metric->value());
      }
    }
    for (const auto& [name, family] : m_gauges) {
      expose_header(out, name, family, "gauge");
      for (const auto& [labels, metric] : family.members) {
        out += fmt::format("{} {:.9g}\n", format_series(name, labels), metric->value());
      }
    }
    for (const auto& [name, family] : m_histograms) {
      expose_header(out, name, family, "histogram");
      for (const auto& [labels, metric] : family.members) {
        metric->expose(out, name, labels);
      }
    }
    return out;
  }

 private:
  mutable std::mutex m_mutex;  // guards the maps; the metrics themselves are atomic
  Families<Counter> m_counters;
  Families<Gauge> m_gauges;
  Families<LogarithmicHistogram> m_histograms;
};

}  // namespace

std::unique_ptr<Histogram> make_histogram() {
  return std::make_unique<LogarithmicHistogram>();
}

std::unique_ptr<Registry> make_registry() {
  return std::make_unique<DefaultRegistry>();
}

}  // namespace arbutusdale::observe
