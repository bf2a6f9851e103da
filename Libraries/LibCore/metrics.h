#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace sassafrasbay {

/// Registry of counters, gauges and latency histograms. Thread-safe.
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /// `labels` is written verbatim between braces, for example `outcome="answered"`.
  void Count(std::string_view name, std::string_view labels = {}, std::uint64_t amount = 1);
  void SetGauge(std::string_view name, std::string_view labels, double value);
  /// Records a duration in milliseconds in a Boost.Histogram with a logarithmic axis.
  void Observe(std::string_view name, std::string_view labels, double milliseconds);

  std::uint64_t CounterValue(std::string_view name, std::string_view labels = {}) const;

  /// Renders all metrics in the text exposition format, sorted by name.
  std::string Render() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace sassafrasbay
