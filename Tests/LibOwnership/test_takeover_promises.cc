#include <boost/test/unit_test.hpp>

#include "LibOwnership/ownership_fixtures.h"
#include "LibOwnership/takeover_promises.h"

namespace sassafrasbay {
namespace {

const std::vector<std::string> kOthers = {"b", "c"};
constexpr TopicPosition kEnd{1, 5};

BOOST_AUTO_TEST_SUITE(TakeoverPromise)

BOOST_AUTO_TEST_CASE(APromiseHoldsForTheTakeoverDelay) {
  TakeoverPromises promises;
  BOOST_TEST(GivePromise(promises, "a", At(0)));
  BOOST_TEST(!MayTakeOver(promises, "a", At(kTakeoverDelay.count())));
  BOOST_TEST(!Withhold(promises, "a", {1, 5}, At(kTakeoverDelay.count())));
  BOOST_TEST(MayTakeOver(promises, "a", At(2 * kTakeoverDelay.count())));
}

// Guards against an owner's node that continues to grant ranges which are being taken over: the
// write may take effect although its answer is lost.
BOOST_AUTO_TEST_CASE(NothingIsPromisedWhileATakeoverMayTakeEffect) {
  TakeoverPromises promises;
  BOOST_TEST(Withhold(promises, "a", {1, 5}, At(0)));
  BOOST_TEST(!GivePromise(promises, "a", At(1)));
  BOOST_TEST(GivePromise(promises, "b", At(1)));
  ResolveWithheld(promises, {1, 5});
  BOOST_TEST(!GivePromise(promises, "a", At(2)));
  ResolveWithheld(promises, {1, 6});
  BOOST_TEST(GivePromise(promises, "a", At(3)));
}

// Guards against expired grants when the store is unavailable for seconds while all nodes are
// healthy.
BOOST_AUTO_TEST_CASE(PromisesOfAllNodesReplaceConfirmationsDuringAStoreOutage) {
  const ReceivedPromises received = {{"b", {At(7'000), kEnd}}, {"c", {At(6'800), kEnd}}};
  BOOST_TEST((GrantReferenceTime(At(0), kEnd, received, kOthers) == At(6'800)));
}

BOOST_AUTO_TEST_CASE(WithoutAllPromisesTheLatestConfirmationCounts) {
  BOOST_TEST((GrantReferenceTime(At(0), kEnd, {{"b", {At(7'000), kEnd}}}, kOthers) == At(0)));
  BOOST_TEST((GrantReferenceTime(At(500), kEnd, {{"b", {At(7'000), kEnd}}, {"c", {At(100), kEnd}}},
                                 kOthers) == At(500)));
}

// Guards against two owners of a key after a restore: a node that hasn't read of a change, or has
// read of another one at the same offset of another era, may write again what it knows.
BOOST_AUTO_TEST_CASE(PromisesCountOnlyForTablesAtTheSamePosition) {
  for (const TopicPosition& other :
       {TopicPosition{1, 4}, TopicPosition{1, 6}, TopicPosition{2, 5}}) {
    const ReceivedPromises received = {{"b", {At(7'000), kEnd}}, {"c", {At(7'000), other}}};
    BOOST_TEST((GrantReferenceTime(At(0), kEnd, received, kOthers) == At(0)), ToString(other));
  }
}

// Guards against a takeover by a node that registered after the latest confirmation: it isn't known
// here and has promised nothing.
BOOST_AUTO_TEST_CASE(PromisesCountOnlyUntilTheNewNodeTakeoverDelay) {
  const ReceivedPromises received = {{"b", {At(60'000), kEnd}}, {"c", {At(60'000), kEnd}}};
  BOOST_TEST((GrantReferenceTime(At(0), kEnd, received, kOthers) + kTakeoverDelay ==
              At(0) + kNewNodeTakeoverDelay));
}

// Guards against promises that are withheld for ever: a takeover of an earlier era never takes
// effect in a later one, whatever the offsets.
BOOST_AUTO_TEST_CASE(ALaterEraResolvesWithheldPromises) {
  TakeoverPromises promises;
  BOOST_TEST(Withhold(promises, "a", {1, 500}, At(0)));
  ResolveWithheld(promises, {2, 3});
  BOOST_TEST(GivePromise(promises, "a", At(1)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sassafrasbay
