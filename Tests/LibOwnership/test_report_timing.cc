#include <boost/test/unit_test.hpp>

#include "LibOwnership/report_timing.h"

namespace sassafrasbay {
namespace {

BOOST_AUTO_TEST_SUITE(ReportPaces)

// Pattern: 300 nodes of a tenth of a core. With a fixed interval each sends 1200 reports a second.
BOOST_AUTO_TEST_CASE(ReportsOfANodeAreBoundedInLargeSystems) {
  constexpr double kMostPerSecond = 130;
  for (const std::size_t nodes : {11U, 66U, 91U, 300U, 740U}) {
    const double interval = static_cast<double>(ReportInterval(nodes, false).count()) / 1000;
    BOOST_TEST(static_cast<double>(nodes - 1) / interval < kMostPerSecond, nodes);
  }
}

// A node must not seem lost because one report was late.
BOOST_AUTO_TEST_CASE(TwoReportsFitIntoTheTimeUntilSuspicion) {
  for (const std::size_t nodes : {1U, 11U, 66U, 91U, 300U}) {
    BOOST_TEST((SuspicionTimeout(nodes) > 2 * ReportInterval(nodes, false)), nodes);
    BOOST_TEST((PresumedAliveTimeout(nodes) >= 2 * ReportInterval(nodes, false)), nodes);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sassafrasbay
