#include <boost/test/unit_test.hpp>

#include "router/echoed_clock.h"

namespace sassafrasbay {
namespace {

BootTime At(int ms) { return BootTime(milliseconds(ms)); }

NodeReport ReportEchoing(std::uint64_t clock_ms, const std::string& incarnation) {
  NodeReport report;
  report.echoed_clock_ms_ = clock_ms;
  report.echoed_incarnation_ = incarnation;
  return report;
}

BOOST_AUTO_TEST_SUITE(EchoedClock)

BOOST_AUTO_TEST_CASE(OwnClockIsUsed) {
  BOOST_TEST((EchoedTime(ReportEchoing(5000, "p2"), "p2", At(5300)) == At(5000)));
  BOOST_TEST(!EchoedTime(ReportEchoing(0, ""), "p2", At(5300)).has_value());
}

// Guards against two owners of a key after the reboot of a VM (OWNER): the clock that it had before
// the boot came back in a report and counted as a confirmation in the future, so that it granted
// keys without limit.
BOOST_AUTO_TEST_CASE(ClockOfAnEarlierBootIsNot) {
  for (const int now_ms : {100, 5300, 900'000}) {
    BOOST_TEST(!EchoedTime(ReportEchoing(700'000, "p1"), "p2", At(now_ms)).has_value());
  }
  BOOST_TEST(!EchoedTime(ReportEchoing(5301, "p2"), "p2", At(5300)).has_value());
  BOOST_TEST(!EchoedTime(ReportEchoing(UINT64_MAX, "p2"), "p2", At(5300)).has_value());
}

BOOST_AUTO_TEST_CASE(AgesDontWrap) {
  BOOST_TEST((TimeBefore(At(5000), 400) == At(4600)));
  BOOST_TEST(!TimeBefore(At(5000), 5001).has_value());
  BOOST_TEST(!TimeBefore(At(5000), UINT64_MAX).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sassafrasbay
