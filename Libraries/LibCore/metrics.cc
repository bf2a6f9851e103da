#include "LibCore/metrics.h"

#include <algorithm>
#include <array>
#include <boost/histogram.hpp>
#include <charconv>
#include <cmath>
#include <functional>
#include <limits>
#include <map>
#include <variant>

namespace sassafrasbay {
namespace {

namespace histogram = boost::histogram;

// Ten buckets for each power of ten keep a quantile's error below 26%, which separates the target
// of 19 ms from its neighbours; the range extends from a loopback hop to the maximum usual
// deadline.
constexpr double kMinBucketMs = 0.1;
constexpr double kMaxBucketMs = 10000.0;
constexpr unsigned kBucketCount = 50;

constexpr std::string_view kInvalidUseMetric = "sassafrasbay_metrics_invalid_total";

using LatencyAxis = histogram::axis::regular<double, histogram::axis::transform::log>;
using LatencyHistogram =
    histogram::histogram<std::tuple<LatencyAxis>, histogram::dense_storage<std::uint64_t>>;

struct Counter {
  std::uint64_t value_ = 0;
};

struct Gauge {
  double value_ = 0;
};

struct Latency {
  LatencyHistogram buckets_{LatencyAxis(kBucketCount, kMinBucketMs, kMaxBucketMs)};
  double sum_ = 0;
};

template <typename T>
using Series = std::map<std::string, T, std::less<>>;  // Keyed by labels.

// The first use of a name sets its kind; the text format allows only one kind for each name.
using Family = std::variant<Series<Counter>, Series<Gauge>, Series<Latency>>;
using Families = std::map<std::string, Family, std::less<>>;

template <typename T>
T* FindOrAdd(Families& families, std::string_view name, std::string_view labels) {
  auto family = families.find(name);
  if (family == families.end()) {
    family = families.emplace(name, Series<T>{}).first;
  }
  auto* series = std::get_if<Series<T>>(&family->second);
  if (series == nullptr) {
    return nullptr;
  }
  auto entry = series->find(labels);
  if (entry == series->end()) {
    entry = series->try_emplace(std::string(labels)).first;
  }
  return &entry->second;
}

void CountInvalid(Families& families, std::string_view reason) {
  Counter* counter = FindOrAdd<Counter>(families, kInvalidUseMetric, reason);
  if (counter != nullptr) {
    ++counter->value_;
  }
}

constexpr std::string_view kKindConflict = "reason=\"kind\"";
constexpr std::string_view kNotFinite = "reason=\"not_finite\"";

template <typename T>
std::string FormatNumber(T value) {
  std::array<char, 32> buffer{};
  const auto end = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value).ptr;
  return {buffer.data(), end};
}

// Bounds such as 19.95262315 are rounded to six digits, which is far finer than a bucket.
std::string FormatBucketBound(double value) {
  if (std::isinf(value)) {
    return "+Inf";
  }
  std::array<char, 32> buffer{};
  const auto end = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value,
                                 std::chars_format::general, 6)
                       .ptr;
  return {buffer.data(), end};
}

void AppendSample(std::string& text, std::string_view name, std::string_view labels,
                  std::string_view value) {
  text += name;
  if (!labels.empty()) {
    text += '{';
    text += labels;
    text += '}';
  }
  text += ' ';
  text += value;
  text += '\n';
}

void AppendType(std::string& text, std::string_view name, std::string_view type) {
  text += "# TYPE ";
  text += name;
  text += ' ';
  text += type;
  text += '\n';
}

void AppendSeries(std::string& text, const std::string& name, const Series<Counter>& series) {
  AppendType(text, name, "counter");
  for (const auto& [labels, counter] : series) {
    AppendSample(text, name, labels, FormatNumber(counter.value_));
  }
}

void AppendSeries(std::string& text, const std::string& name, const Series<Gauge>& series) {
  AppendType(text, name, "gauge");
  for (const auto& [labels, gauge] : series) {
    AppendSample(text, name, labels, FormatNumber(gauge.value_));
  }
}

void AppendLatency(std::string& text, const std::string& name, const std::string& labels,
                   const Latency& latency) {
  const std::string prefix = labels.empty() ? "le=\"" : labels + ",le=\"";
  std::uint64_t total = 0;
  // The text format has cumulative buckets, so the underflow bin counts towards the first bound.
  for (const auto& bin : histogram::indexed(latency.buckets_, histogram::coverage::all)) {
    total += *bin;
    AppendSample(text, name + "_bucket", prefix + FormatBucketBound(bin.bin().upper()) + "\"",
                 FormatNumber(total));
  }
  AppendSample(text, name + "_sum", labels, FormatNumber(latency.sum_));
  AppendSample(text, name + "_count", labels, FormatNumber(total));
}

void AppendSeries(std::string& text, const std::string& name, const Series<Latency>& series) {
  AppendType(text, name, "histogram");
  for (const auto& [labels, latency] : series) {
    AppendLatency(text, name, labels, latency);
  }
}

}  // namespace

struct Metrics::Impl {
  mutable std::mutex mutex_;
  Families families_;
};

Metrics::Metrics() : impl_(std::make_unique<Impl>()) {}

Metrics::~Metrics() = default;

void Metrics::Count(std::string_view name, std::string_view labels, std::uint64_t amount) {
  const std::scoped_lock lock(impl_->mutex_);
  auto* counter = FindOrAdd<Counter>(impl_->families_, name, labels);
  if (counter == nullptr) {
    CountInvalid(impl_->families_, kKindConflict);
    return;
  }
  counter->value_ += amount;
}

void Metrics::SetGauge(std::string_view name, std::string_view labels, double value) {
  const std::scoped_lock lock(impl_->mutex_);
  auto* gauge = FindOrAdd<Gauge>(impl_->families_, name, labels);
  if (gauge == nullptr) {
    CountInvalid(impl_->families_, kKindConflict);
    return;
  }
  gauge->value_ = value;
}

void Metrics::Observe(std::string_view name, std::string_view labels, double milliseconds) {
  const std::scoped_lock lock(impl_->mutex_);
  // A single value that isn't finite would make the sum useless permanently.
  if (!std::isfinite(milliseconds)) {
    CountInvalid(impl_->families_, kNotFinite);
    return;
  }
  auto* latency = FindOrAdd<Latency>(impl_->families_, name, labels);
  if (latency == nullptr) {
    CountInvalid(impl_->families_, kKindConflict);
    return;
  }
  // The logarithm of a negative value is NaN, which the axis would count in the uppermost bin.
  const double value = std::max(0.0, milliseconds);
  latency->buckets_(value);
  latency->sum_ += value;
}

std::uint64_t Metrics::CounterValue(std::string_view name, std::string_view labels) const {
  const std::scoped_lock lock(impl_->mutex_);
  const auto family = impl_->families_.find(name);
  if (family == impl_->families_.end()) {
    return 0;
  }
  const auto* series = std::get_if<Series<Counter>>(&family->second);
  if (series == nullptr) {
    return 0;
  }
  const auto entry = series->find(labels);
  return entry == series->end() ? 0 : entry->second.value_;
}

std::string Metrics::Render() const {
  const std::scoped_lock lock(impl_->mutex_);
  std::string text;
  for (const auto& [name, family] : impl_->families_) {
    std::visit([&text, &name = name](const auto& series) { AppendSeries(text, name, series); },
               family);
  }
  return text;
}

}  // namespace sassafrasbay
