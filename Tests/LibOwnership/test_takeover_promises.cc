#include <boost/test/unit_test.hpp>

#include "LibOwnership/ownership_fixtures.h"
#include "LibOwnership/takeover_promises.h"

namespace sassafrasbay {
namespace {

const std::vector<std::string> kOthers = {"b", "c"};

BOOST_AUTO_TEST_SUITE(Promises)

BOOST_AUTO_TEST_CASE(APromiseHoldsForTheWholeWait) {
  TakeoverPromises promises;
  BOOST_TEST(GivePromise(promises, "a", At(0)));
  BOOST_TEST(!MayTakeOver(promises, "a", At(kTakeoverDelay.count())));
  BOOST_TEST(!Withhold(promises, "a", 5, At(kTakeoverDelay.count())));
  BOOST_TEST(MayTakeOver(promises, "a", At(2 * kTakeoverDelay.count())));
}

// The write may take effect although its answer is lost, and the owner would go on granting.
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

// Pattern: the store is out for seconds, all nodes are well.
BOOST_AUTO_TEST_CASE(PromisesOfAllBridgeAnOutageOfTheStore) {
  const ReceivedPromises received = {{"b", At(7'000)}, {"c", At(6'800)}};
  BOOST_TEST((GrantReferenceTime(At(0), received, kOthers) == At(6'800)));
}

BOOST_AUTO_TEST_CASE(OneMissingPromiseLeavesTheLastConfirmation) {
  BOOST_TEST((GrantReferenceTime(At(0), {{"b", At(7'000)}}, kOthers) == At(0)));
  BOOST_TEST((GrantReferenceTime(At(500), {{"b", At(7'000)}, {"c", At(100)}}, kOthers) == At(500)));
}

// A node that registered after the last confirmation isn't known here and has promised nothing.
BOOST_AUTO_TEST_CASE(PromisesDontOutlastTheWaitOfNewNodes) {
  const ReceivedPromises received = {{"b", At(60'000)}, {"c", At(60'000)}};
  BOOST_TEST((GrantReferenceTime(At(0), received, kOthers) + kTakeoverDelay ==
              At(0) + kNewNodeTakeoverDelay));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sassafrasbay
