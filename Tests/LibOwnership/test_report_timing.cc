#include <boost/test/unit_test.hpp>

#include "LibOwnership/report_timing.h"

namespace sassafrasbay {
namespace {

BOOST_AUTO_TEST_SUITE(ReportTiming)

// Guards against a report rate that grows with the number of nodes. With a fixed interval, each of
// 300 nodes, which have a tenth of a core, would send 1200 reports per second.
BOOST_AUTO_TEST_CASE(TheReportRateOfANodeIsLimitedInLargeSystems) {
  constexpr double kMaxPerSecond = 130;
  for (const std::size_t nodes : {11U, 66U, 91U, 300U, 740U}) {
    const double interval = static_cast<double>(ReportInterval(nodes, false).count()) / 1000;
    BOOST_TEST(static_cast<double>(nodes - 1) / interval < kMaxPerSecond, nodes);
  }
}

// Guards against a node that is presumed lost because a single report was late.
BOOST_AUTO_TEST_CASE(TheSuspicionTimeoutCoversTwoReportIntervals) {
  for (const std::size_t nodes : {1U, 11U, 66U, 91U, 300U}) {
    BOOST_TEST((SuspicionTimeout(nodes) > 2 * ReportInterval(nodes, false)), nodes);
    BOOST_TEST((PresumedAliveTimeout(nodes) >= 2 * ReportInterval(nodes, false)), nodes);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sassafrasbay
