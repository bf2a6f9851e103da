#include <boost/test/unit_test.hpp>

#include "LibOwnership/ownership_fixtures.h"

namespace sassafrasbay {
namespace {

BOOST_AUTO_TEST_SUITE(HoldRules)

// Guards against two holders of a range. A successor may be granted the range kTakeoverDelay after
// its record was read, which is later than the last time at which the owner's table was known to be
// the latest one.
BOOST_AUTO_TEST_CASE(GrantsExpireBeforeTheTakeoverDelayEnds) {
  for (std::int64_t age = 0; age <= kTakeoverDelay.count(); age += 37) {
    const auto length = GrantDuration(At(0), At(age), milliseconds(10'000));
    if (length) {
      BOOST_TEST((GrantExpiry(At(age), *length) <= At(0) + kTakeoverDelay + milliseconds(2)));
    }
  }
}

BOOST_AUTO_TEST_CASE(NothingIsGrantedWhenTheTableMayBeOutdated) {
  BOOST_TEST(!GrantDuration(At(0), At(kTakeoverDelay.count()), milliseconds(10'000)).has_value());
}

BOOST_AUTO_TEST_CASE(TheDurationLimitOfTheUpstreamIsKept) {
  BOOST_TEST((GrantDuration(At(0), At(0), milliseconds(700)) == milliseconds(700)));
}

BOOST_AUTO_TEST_CASE(MovingRangesAreNotGranted) {
  KeyTable table = EquallyDividedTable({HolderAt("a"), HolderAt("b")});
  BOOST_TEST(RangesToGrant(table, HolderAt("a")).size() == 1);
  table.ranges_[0].successor_ = HolderAt("b");
  BOOST_TEST(RangesToGrant(table, HolderAt("a")).empty());
  BOOST_TEST(HasUnplannedSuccessor(table, HolderAt("a")));
  table.ranges_[0].planned_ = true;
  BOOST_TEST(!HasUnplannedSuccessor(table, HolderAt("a")));
}

BOOST_AUTO_TEST_CASE(AnotherIncarnationOfTheSameInstanceIsGrantedNothing) {
  const KeyTable table = EquallyDividedTable({HolderAt("a")});
  Holder restarted = HolderAt("a");
  restarted.born_ms_ += 1;
  BOOST_TEST(RangesToGrant(table, restarted).empty());
}

BOOST_AUTO_TEST_CASE(FindsTheKeysThatAreNotHeld) {
  const std::vector<KeySpan> parts =
      KeysNotHeld({10, 50}, {{{0, 14}, 1, {}}, {{20, 29}, 1, {}}, {{45, 60}, 1, {}}});
  BOOST_REQUIRE(parts.size() == 2);
  BOOST_TEST((parts[0] == KeySpan{15, 19}));
  BOOST_TEST((parts[1] == KeySpan{30, 44}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sassafrasbay
