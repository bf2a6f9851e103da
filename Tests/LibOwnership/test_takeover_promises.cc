#include <boost/test/unit_test.hpp>

#include "LibOwnership/ownership_fixtures.h"
#include "LibOwnership/takeover_promises.h"

namespace sassafrasbay {
namespace {

const std::vector<std::string> kOthers = {"b", "c"};

BOOST_AUTO_TEST_SUITE(TakeoverPromise)

BOOST_AUTO_TEST_CASE(APromiseHoldsForTheTakeoverDelay) {
  TakeoverPromises promises;
  BOOST_TEST(GivePromise(promises, "a", At(0)));
  BOOST_TEST(!MayTakeOver(promises, "a", At(kTakeoverDelay.count())));
  BOOST_TEST(!Withhold(promises, "a", 5, At(kTakeoverDelay.count())));
  BOOST_TEST(MayTakeOver(promises, "a", At(2 * kTakeoverDelay.count())));
}

// Guards against an owner's node that continues to grant ranges which are being taken over: the
// write may take effect although its answer is lost.
BOOST_AUTO_TEST_CASE(NothingIsPromisedWhileATakeoverMayTakeEffect) {
  TakeoverPromises promises;
  BOOST_TEST(Withhold(promises, "a", 5, At(0)));
  BOOST_TEST(!GivePromise(promises, "a", At(1)));
  BOOST_TEST(GivePromise(promises, "b", At(1)));
  ResolveWithheld(promises, 5);
  BOOST_TEST(!GivePromise(promises, "a", At(2)));
  ResolveWithheld(promises, 6);
  BOOST_TEST(GivePromise(promises, "a", At(3)));
}

// Guards against expired grants when the store is unavailable for seconds while all nodes are
// healthy.
BOOST_AUTO_TEST_CASE(PromisesOfAllNodesReplaceConfirmationsDuringAStoreOutage) {
  const ReceivedPromises received = {{"b", At(7'000)}, {"c", At(6'800)}};
  BOOST_TEST((GrantReferenceTime(At(0), received, kOthers) == At(6'800)));
}

BOOST_AUTO_TEST_CASE(WithoutAllPromisesTheLatestConfirmationCounts) {
  BOOST_TEST((GrantReferenceTime(At(0), {{"b", At(7'000)}}, kOthers) == At(0)));
  BOOST_TEST((GrantReferenceTime(At(500), {{"b", At(7'000)}, {"c", At(100)}}, kOthers) == At(500)));
}

// Guards against a takeover by a node that registered after the latest confirmation: it isn't known
// here and has promised nothing.
BOOST_AUTO_TEST_CASE(PromisesCountOnlyUntilTheNewNodeTakeoverDelay) {
  const ReceivedPromises received = {{"b", At(60'000)}, {"c", At(60'000)}};
  BOOST_TEST((GrantReferenceTime(At(0), received, kOthers) + kTakeoverDelay ==
              At(0) + kNewNodeTakeoverDelay));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sassafrasbay
