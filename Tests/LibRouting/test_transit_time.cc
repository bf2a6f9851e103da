#include <boost/test/unit_test.hpp>

#include "LibRouting/transit_time.h"

namespace sassafrasbay {
namespace {

/// A sender whose clock started this long after the local one.
constexpr milliseconds kClockOffset{5'000'000};
constexpr milliseconds kFastest{2};

struct TransitFixture {
  std::uint64_t SenderClock(milliseconds sent_at) const {
    return static_cast<std::uint64_t>((sent_at - kClockOffset).count());
  }
  void Record(milliseconds sent_at, milliseconds transit) {
    RecordMessage(clock_, SenderClock(sent_at), BootTime(sent_at + transit));
  }
  milliseconds Transit(milliseconds sent_at, milliseconds transit) const {
    return TransitTime(clock_, SenderClock(sent_at), BootTime(sent_at + transit));
  }

  TransitClock clock_;
  milliseconds start_ = 2 * kClockOffset;
};

BOOST_FIXTURE_TEST_SUITE(TransitTimes, TransitFixture)

BOOST_AUTO_TEST_CASE(NothingIsKnownBeforeTheFirstMessage) {
  BOOST_TEST(Transit(start_, milliseconds(700)).count() == 0);
}

// Guards against a time that is too long, by which requests would be refused that can be served.
BOOST_AUTO_TEST_CASE(ATransitTimeIsAtMostTheRealOne) {
  Record(start_, milliseconds(600));
  BOOST_TEST(Transit(start_, milliseconds(700)).count() == 100);
  Record(start_ + milliseconds(100), kFastest);
  Record(start_ + milliseconds(200), milliseconds(300));
  BOOST_TEST(
      (Transit(start_ + milliseconds(300), milliseconds(700)) == milliseconds(700) - kFastest));
  BOOST_TEST(Transit(start_ + milliseconds(300), milliseconds(1)).count() == 0);
}

// Guards against the same by clocks that drift apart, or by a sender that has moved farther away.
BOOST_AUTO_TEST_CASE(EarlierDifferencesAreForgotten) {
  Record(start_, kFastest);
  for (milliseconds at = start_; at < start_ + std::chrono::minutes(3); at += milliseconds(500)) {
    Record(at, milliseconds(80));
  }
  BOOST_TEST(Transit(start_ + std::chrono::minutes(3), milliseconds(80)).count() == 0);
}

// Guards against overflow by the clock of a faulty sender.
BOOST_AUTO_TEST_CASE(AnyClockIsTaken) {
  RecordMessage(clock_, ~0ULL, BootTime(start_));
  BOOST_TEST(TransitTime(clock_, 0, BootTime(start_)).count() > 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sassafrasbay
