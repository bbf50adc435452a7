// Registry of counters, gauges and histograms, exported in the Prometheus text format.
#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace arbutusdale::observe {

using Labels = std::vector<std::pair<std::string, std::string>>;

/// Monotonic count.
class Counter {
 public:
  void add(std::uint64_t amount = 1) { m_value.fetch_add(amount, std::memory_order_relaxed); }
  [[nodiscard]] std::uint64_t value() const { return m_value.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::uint64_t> m_value{0};
};

/// Value that may rise and fall.
class Gauge {
 public:
  void set(double value) { m_value.store(value, std::memory_order_relaxed); }
  void add(double amount) { m_value.fetch_add(amount, std::memory_order_relaxed); }
  [[nodiscard]] double value() const { return m_value.load(std::memory_order_relaxed); }

 private:
  std::atomic<double> m_value{0};
};

/// Distribution of durations in seconds over logarithmic buckets (Boost.Histogram). Thread-safe.
class Histogram {
 public:
  Histogram() = default;
  Histogram(const Histogram&) = delete;
  Histogram& operator=(const Histogram&) = delete;
  virtual ~Histogram() = default;

  virtual void record(double seconds) = 0;
  /// Upper edge in seconds of the bucket that holds the quantile `q` in [0, 1]; 0 when empty.
  [[nodiscard]] virtual double quantile(double q) const = 0;
  [[nodiscard]] virtual std::uint64_t count() const = 0;
  /// Adds the counts of another histogram; both have the same buckets.
  virtual void merge(const Histogram& other) = 0;
};

std::unique_ptr<Histogram> make_histogram();

/// Owns all metrics of a process. References stay valid for the lifetime of the registry.
/// Thread-safe.
class Registry {
 public:
  Registry() = default;
  Registry(const Registry&) = delete;
  Registry& operator=(const Registry&) = delete;
  virtual ~Registry() = default;

  /// Returns the metric with this name and labels, creating it at the first call.
  virtual Counter& counter(const std::string& name, const std::string& help,
                           const Labels& labels = {}) = 0;
  virtual Gauge& gauge(const std::string& name, const std::string& help,
                       const Labels& labels = {}) = 0;
  virtual Histogram& histogram(const std::string& name, const std::string& help,
                               const Labels& labels = {}) = 0;

  /// All metrics in the Prometheus text exposition format 0.0.4.
  [[nodiscard]] virtual std::string expose() const = 0;
};

std::unique_ptr<Registry> make_registry();

}  // namespace arbutusdale::observe
