#define BOOST_TEST_MODULE Metrics
#include <boost/test/unit_test.hpp>
#include <limits>
#include <string>
#include <thread>
#include <vector>

#include "LibCore/metrics.h"

namespace sassafrasbay {
namespace {

bool HasLine(const std::string& text, const std::string& line) {
  return ("\n" + text).find("\n" + line + "\n") != std::string::npos;
}

// Guards against output that a Prometheus scraper rejects.
BOOST_AUTO_TEST_CASE(CountersAndGaugesAreRenderedSortedByName) {
  Metrics metrics;
  metrics.SetGauge("queue_length", {}, 2.5);
  metrics.Count("answers_total", "outcome=\"unknown\"", 3);
  metrics.Count("answers_total", "outcome=\"answered\"");
  BOOST_TEST(metrics.Render() ==
             "# TYPE answers_total counter\n"
             "answers_total{outcome=\"answered\"} 1\n"
             "answers_total{outcome=\"unknown\"} 3\n"
             "# TYPE queue_length gauge\n"
             "queue_length 2.5\n");
  BOOST_TEST(metrics.CounterValue("answers_total", "outcome=\"unknown\"") == 3U);
  BOOST_TEST(metrics.CounterValue("absent_total") == 0U);
}

// Guards against buckets that aren't cumulative or lose values outside the axis.
BOOST_AUTO_TEST_CASE(HistogramBucketsAreCumulative) {
  Metrics metrics;
  for (const double value : {-1.0, 0.0, 0.5, 19.0, 50000.0}) {
    metrics.Observe("latency_ms", "class=\"lookup\"", value);
  }
  const std::string text = metrics.Render();
  BOOST_TEST(HasLine(text, "# TYPE latency_ms histogram"));
  BOOST_TEST(HasLine(text, "latency_ms_bucket{class=\"lookup\",le=\"0.1\"} 2"));
  BOOST_TEST(HasLine(text, "latency_ms_bucket{class=\"lookup\",le=\"1\"} 3"));
  BOOST_TEST(HasLine(text, "latency_ms_bucket{class=\"lookup\",le=\"15.8489\"} 3"));
  BOOST_TEST(HasLine(text, "latency_ms_bucket{class=\"lookup\",le=\"19.9526\"} 4"));
  BOOST_TEST(HasLine(text, "latency_ms_bucket{class=\"lookup\",le=\"10000\"} 4"));
  BOOST_TEST(HasLine(text, "latency_ms_bucket{class=\"lookup\",le=\"+Inf\"} 5"));
  BOOST_TEST(HasLine(text, "latency_ms_sum{class=\"lookup\"} 50019.5"));
  BOOST_TEST(HasLine(text, "latency_ms_count{class=\"lookup\"} 5"));
}

// Guards against an invalid value, or a name used with two kinds, corrupting the whole output.
BOOST_AUTO_TEST_CASE(InvalidUseIsCounted) {
  Metrics metrics;
  metrics.Observe("latency_ms", {}, std::numeric_limits<double>::quiet_NaN());
  metrics.Count("requests_total");
  metrics.SetGauge("requests_total", {}, 7);
  BOOST_TEST(metrics.CounterValue("requests_total") == 1U);
  BOOST_TEST(metrics.CounterValue("sassafrasbay_metrics_invalid_total", "reason=\"not_finite\"") ==
             1U);
  BOOST_TEST(metrics.CounterValue("sassafrasbay_metrics_invalid_total", "reason=\"kind\"") == 1U);
}

// Guards against lost updates while both threads of a node count and an operator reads.
BOOST_AUTO_TEST_CASE(ConcurrentUpdatesAreAllCounted) {
  constexpr int kThreads = 4;
  constexpr int kUpdates = 1000;
  Metrics metrics;
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int thread = 0; thread < kThreads; ++thread) {
    threads.emplace_back([&metrics] {
      for (int update = 0; update < kUpdates; ++update) {
        metrics.Count("requests_total");
        metrics.Observe("latency_ms", {}, update);
      }
    });
  }
  const std::string during = metrics.Render();
  for (auto& thread : threads) {
    thread.join();
  }
  BOOST_TEST(metrics.CounterValue("requests_total") == 4000U);
  BOOST_TEST(HasLine(metrics.Render(), "latency_ms_count 4000"));
}

}  // namespace
}  // namespace sassafrasbay
