#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "LibTransport/link_budget.h"

namespace sassafrasbay {
namespace {

constexpr double kTenMegabits = 10e6 / 8;

BOOST_AUTO_TEST_SUITE(LinkBudgets)

// Load: bulk data is written whenever the budget allows it, while small messages use a tenth of the
// link. Guards against a queue in which a small message waits for long, and against an idle link.
BOOST_AUTO_TEST_CASE(BulkDataFillsTheLinkWithAShortQueue) {
  LinkBudget budget{kTenMegabits, 0, {}};
  BootTime now{};
  double queued = 0;
  double longest_queue = 0;
  double bulk = 0;
  constexpr int kMilliseconds = 10000;
  for (int i = 0; i < kMilliseconds; ++i) {
    now += milliseconds(1);
    queued = std::max(0.0, queued - kTenMegabits / 1000);
    const std::size_t small = 125;
    CountSent(budget, small, now);
    queued += small;
    if (i % 10 == 0) {
      const std::size_t allowance = BulkAllowance(budget, now);
      CountSent(budget, allowance, now);
      queued += static_cast<double>(allowance);
      bulk += static_cast<double>(allowance);
    }
    longest_queue = std::max(longest_queue, queued);
  }
  BOOST_TEST(longest_queue / kTenMegabits < 0.03);
  BOOST_TEST(bulk > 0.7 * kTenMegabits * kMilliseconds / 1000);
}

BOOST_AUTO_TEST_CASE(UnknownRateLimitsNothing) {
  LinkBudget budget;
  CountSent(budget, 1U << 30U, BootTime{});
  BOOST_TEST(BulkAllowance(budget, BootTime{}) > 1U << 30U);
}

// Guards against a link so slow that its budget never reaches the minimum write.
BOOST_AUTO_TEST_CASE(SlowLinkStillSendsBulkData) {
  LinkBudget budget{1000, 0, {}};
  BOOST_TEST(BulkAllowance(budget, BootTime{}) > 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sassafrasbay
