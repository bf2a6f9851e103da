#include <boost/test/unit_test.hpp>

#include "LibOwnership/ownership_fixtures.h"

namespace sassafrasbay {
namespace {

const KeyRange& FirstRange(const std::optional<OwnershipChange>& change) {
  BOOST_REQUIRE(change.has_value());
  return change->table_.ranges_.front();
}

BOOST_AUTO_TEST_SUITE(OwnershipDecisions)

BOOST_AUTO_TEST_CASE(NothingChangesInAHealthySystem) {
  const KeyTable table = EquallyDividedTable({HolderAt("a"), HolderAt("b"), HolderAt("c")});
  BOOST_TEST(!DecideOwnershipChange(table, HealthyView()).has_value());
}

BOOST_AUTO_TEST_CASE(OnlyThePlannerAssigns) {
  OwnershipView view = HealthyView();
  BOOST_TEST(DecideOwnershipChange({"lookup", 0, {}}, view).has_value());
  view.self_ = "d";
  view.local_upstream_.holder_ = HolderAt("d");
  BOOST_TEST(!DecideOwnershipChange({"lookup", 0, {}}, view).has_value());
}

BOOST_AUTO_TEST_CASE(RangesOfAnUnreachableNodeGetASuccessorButKeepTheirOwner) {
  OwnershipView view = HealthyView();
  view.nodes_[0].last_seen_ = At(8'000);
  view.reachable_nodes_ = 2;
  const KeyTable table = EquallyDividedTable({HolderAt("b"), HolderAt("c")});
  const auto change = DecideOwnershipChange(table, view);
  BOOST_TEST(FirstRange(change).owner_.node_ == "b");
  BOOST_TEST(FirstRange(change).successor_.has_value());
  BOOST_TEST(!FirstRange(change).planned_);
}

// Guards against a node that takes over the keys of all others because it is disconnected itself.
BOOST_AUTO_TEST_CASE(AnIsolatedNodePresumesNoNodeLost) {
  OwnershipView view = HealthyView();
  view.nodes_[0].last_seen_ = At(0);
  view.nodes_[1].last_seen_ = At(0);
  view.reachable_nodes_ = 1;
  const KeyTable table = EquallyDividedTable({HolderAt("a"), HolderAt("b"), HolderAt("c")});
  BOOST_TEST(!DecideOwnershipChange(table, view).has_value());
}

BOOST_AUTO_TEST_CASE(ASuspectedOwnerCancelsUnplannedMoves) {
  KeyTable table = EquallyDividedTable({HolderAt("a"), HolderAt("b")});
  table.ranges_[0].successor_ = HolderAt("b");
  const auto change = DecideOwnershipChange(table, HealthyView());
  BOOST_TEST(!FirstRange(change).successor_.has_value());
}

// Guards against an isolated node that cancels the moves of its ranges. Callers at other nodes
// can't reach it, and the takeover would be blocked for as long as it is isolated.
BOOST_AUTO_TEST_CASE(AnIsolatedOwnerReleasesItsRanges) {
  OwnershipView view = HealthyView();
  view.reachable_nodes_ = 1;
  KeyTable table = EquallyDividedTable({HolderAt("a"), HolderAt("b")});
  table.ranges_[0].successor_ = HolderAt("b");
  BOOST_TEST(!DecideOwnershipChange(table, view).has_value());
  view.local_upstream_.held_is_current_ = true;
  BOOST_TEST(FirstRange(DecideOwnershipChange(table, view)).owner_.node_ == "b");
}

BOOST_AUTO_TEST_CASE(TheSuccessorWaitsForTheTakeoverDelay) {
  OwnershipView view = HealthyView();
  view.nodes_[0].last_seen_ = At(0);
  view.reachable_nodes_ = 2;
  KeyTable table = EquallyDividedTable({HolderAt("b"), HolderAt("c")});
  table.ranges_[0].successor_ = HolderAt("a");
  TrackMoves(table, At(5'000), view.moves_first_read_);
  view.now_ = At(5'000) + kTakeoverDelay;
  view.local_upstream_.last_heartbeat_ = view.now_;
  view.nodes_[1].last_seen_ = view.now_;
  BOOST_TEST(!DecideOwnershipChange(table, view).has_value());
  view.now_ += milliseconds(1);
  BOOST_TEST(FirstRange(DecideOwnershipChange(table, view)).owner_.node_ == "a");
}

BOOST_AUTO_TEST_CASE(APromisePreventsTheTakeover) {
  OwnershipView view = HealthyView();
  KeyTable table = EquallyDividedTable({HolderAt("b"), HolderAt("c")});
  table.ranges_[0].successor_ = HolderAt("a");
  TrackMoves(table, At(0), view.moves_first_read_);
  view.promised_until_["b"] = At(10'100);
  const auto change = DecideOwnershipChange(table, view);
  BOOST_TEST((!change || change->taken_over_nodes_.empty()));
  view.promised_until_["b"] = At(9'000);
  const auto taken = DecideOwnershipChange(table, view);
  BOOST_REQUIRE(taken.has_value());
  BOOST_TEST(taken->taken_over_nodes_.size() == 1);
}

// Guards against a takeover by a node that is too new to be known to the owners, which rely on
// promises of the nodes they know.
BOOST_AUTO_TEST_CASE(ANewNodeCompletesNoTakeover) {
  OwnershipView view = HealthyView();
  KeyTable table = EquallyDividedTable({HolderAt("b"), HolderAt("c")});
  table.ranges_[0].successor_ = HolderAt("a");
  TrackMoves(table, At(0), view.moves_first_read_);
  view.registered_ = view.now_ - kNewNodeTakeoverDelay + milliseconds(1);
  const auto change = DecideOwnershipChange(table, view);
  BOOST_TEST((!change || change->taken_over_nodes_.empty()));
}

// Guards against keys that stay with an upstream that has exited. An upstream of another service on
// the same VM that started later proves this.
BOOST_AUTO_TEST_CASE(ALaterIncarnationOfAnotherServiceReplacesTheOwner) {
  OwnershipView view = HealthyView();
  view.local_upstream_ = LocalUpstream{};
  view.newest_born_ms_ = HolderAt("a").born_ms_ + 1;
  const KeyTable table = EquallyDividedTable({HolderAt("a"), HolderAt("b"), HolderAt("c")});
  const auto change = DecideOwnershipChange(table, view);
  BOOST_REQUIRE(change.has_value());
  BOOST_TEST(CountOwnedKeys(change->table_, HolderAt("a")) == 0);
}

BOOST_AUTO_TEST_CASE(AMovingRangeIsReleasedOnlyWhenItIsNotHeld) {
  OwnershipView view = HealthyView();
  KeyTable table = EquallyDividedTable({HolderAt("a"), HolderAt("b")});
  table.ranges_[0].successor_ = HolderAt("b");
  table.ranges_[0].planned_ = true;
  // No grant without the range had been sent before this heartbeat.
  BOOST_TEST(!DecideOwnershipChange(table, view).has_value());
  view.local_upstream_.held_is_current_ = true;
  view.local_upstream_.held_ = {{{0, 99}, 1, {}}};
  const auto change = DecideOwnershipChange(table, view);
  BOOST_TEST(FirstRange(change).owner_.node_ == "a");
  BOOST_TEST(FindRange(change->table_, 100)->owner_.node_ == "b");
}

// Guards against two holders: an upstream without heartbeats may still serve until its grant
// expires, unless a new incarnation proves that it has exited.
BOOST_AUTO_TEST_CASE(AnUpstreamWithoutHeartbeatsKeepsItsKeysUntilItsGrantExpires) {
  OwnershipView view = HealthyView();
  const KeyTable table = EquallyDividedTable({HolderAt("a"), HolderAt("b"), HolderAt("c")});
  view.local_upstream_.last_heartbeat_ = At(6'000);
  view.local_upstream_.granted_until_ = At(10'500);
  BOOST_TEST(!DecideOwnershipChange(table, view).has_value());
  view.now_ = At(10'501);
  for (NodeView& node : view.nodes_) {
    node.last_seen_ = view.now_;
  }
  BOOST_TEST(DecideOwnershipChange(table, view).has_value());
}

// Guards against two holders, and against keys that never get one again, after another incarnation
// has taken the place of the owner without a proof that the owner has exited.
BOOST_AUTO_TEST_CASE(AReplacedUpstreamKeepsItsKeysUntilItsOwnGrantsExpire) {
  OwnershipView view = HealthyView();
  const KeyTable table = EquallyDividedTable({HolderAt("a"), HolderAt("b"), HolderAt("c")});
  view.local_upstream_.holder_->instance_ += "-other";
  view.local_upstream_.holder_->born_ms_ += 1;
  view.local_upstream_.draining_ = true;  // It takes no keys, for which others would move.
  view.local_upstream_.last_heartbeat_ = view.now_;
  view.local_upstream_.granted_until_ = At(60'000);
  view.local_upstream_.earlier_granted_until_ = view.now_;
  BOOST_TEST(!DecideOwnershipChange(table, view).has_value());
  view.local_upstream_.earlier_granted_until_ = view.now_ - milliseconds(1);
  const auto change = DecideOwnershipChange(table, view);
  BOOST_REQUIRE(change.has_value());
  BOOST_TEST((FirstRange(change).owner_ == HolderAt("a")));
  BOOST_TEST(FirstRange(change).successor_.has_value());
}

// Guards against two holders after a restart of the node: grants by its earlier process aren't
// known to the current one.
BOOST_AUTO_TEST_CASE(ARestartedNodeWaitsForGrantsOfItsEarlierProcess) {
  OwnershipView view = HealthyView();
  const KeyTable table = EquallyDividedTable({HolderAt("a"), HolderAt("b"), HolderAt("c")});
  view.local_upstream_.holder_.reset();
  view.local_upstream_.last_heartbeat_ = {};
  view.local_upstream_.granted_until_ = {};
  view.started_ = At(10'000) - kTakeoverDelay;
  BOOST_TEST(!DecideOwnershipChange(table, view).has_value());
  view.started_ -= milliseconds(1);
  BOOST_TEST(DecideOwnershipChange(table, view).has_value());
}

BOOST_AUTO_TEST_CASE(ADrainingUpstreamHandsAllKeysOver) {
  OwnershipView view = HealthyView();
  view.local_upstream_.draining_ = true;
  const KeyTable table = EquallyDividedTable({HolderAt("a"), HolderAt("b")});
  const auto change = DecideOwnershipChange(table, view);
  BOOST_TEST(FirstRange(change).planned_);
  for (const KeyRange& range : change->table_.ranges_) {
    BOOST_TEST((range.owner_ == HolderAt("b") || range.successor_ != HolderAt("a")));
  }
}

// Guards against keys that are out of use for as long as their data centre is evacuated: they move
// as those of a draining upstream do, with their hand-over.
BOOST_AUTO_TEST_CASE(AnEvacuatedUpstreamHandsAllKeysOver) {
  OwnershipView view = HealthyView();
  view.local_upstream_.evacuated_ = true;
  KeyTable table = EquallyDividedTable({HolderAt("a"), HolderAt("b")});
  table.ranges_[1].successor_ = HolderAt("a");
  table.ranges_[1].planned_ = true;
  const auto change = DecideOwnershipChange(table, view);
  BOOST_REQUIRE(change.has_value());
  for (const KeyRange& range : change->table_.ranges_) {
    BOOST_TEST((range.successor_.has_value() && range.successor_ != HolderAt("a")));
    BOOST_TEST(range.planned_);
  }
  // Moving ranges aren't granted again, so that the upstream releases them.
  const HeartbeatAnswer answer =
      DecideHeartbeatAnswer(change->table_, view, view.now_, milliseconds(10'000));
  BOOST_TEST(answer.grant_duration_.has_value());
  BOOST_TEST(answer.ranges_.empty());
  view.reaches_store_ = false;
  BOOST_TEST(!DecideOwnershipChange(table, view).has_value());
}

// Guards against keys for an evacuated upstream that starts: those of its predecessor, those
// without an owner, and the share of an upstream without keys.
BOOST_AUTO_TEST_CASE(AnEvacuatedUpstreamThatStartsGetsNoKeys) {
  OwnershipView view = HealthyView();
  view.local_upstream_.evacuated_ = true;
  view.local_upstream_.holder_->born_ms_ += 1;
  view.newest_born_ms_ = view.local_upstream_.holder_->born_ms_;
  for (const KeyTable& table :
       {EquallyDividedTable({HolderAt("a"), HolderAt("b")}), KeyTable{"lookup", 1, {}},
        EquallyDividedTable({HolderAt("b"), HolderAt("c")})}) {
    BOOST_TEST(!ExpectsRanges(table, view));
    const auto change = DecideOwnershipChange(table, view);
    const std::vector<KeyRange>& ranges = change ? change->table_.ranges_ : table.ranges_;
    BOOST_TEST(!ranges.empty());
    for (const KeyRange& range : ranges) {
      BOOST_TEST(range.owner_.node_ != "a");
      BOOST_TEST((!range.successor_ || range.successor_->node_ != "a"));
    }
  }
}

// Guards against keys that move twice: without a new successor, a move planned before the drain
// would bring keys that have to be moved away again at once.
BOOST_AUTO_TEST_CASE(NoKeysMoveToADrainingUpstream) {
  OwnershipView view = HealthyView();
  view.local_upstream_.draining_ = true;
  KeyTable table = EquallyDividedTable({HolderAt("b"), HolderAt("c")});
  table.ranges_[0].successor_ = HolderAt("a");
  table.ranges_[0].planned_ = true;
  const auto change = DecideOwnershipChange(table, view);
  BOOST_REQUIRE(change.has_value());
  BOOST_TEST((FirstRange(change).successor_ != HolderAt("a")));
  BOOST_TEST((FirstRange(change).owner_ == HolderAt("b")));
}

// Guards against a late grant: without a delayed answer to the heartbeat that confirms it, a new
// incarnation serves nothing until the next one, up to 1.5 s later. Before it is confirmed, the
// ranges stay and a delayed answer would only delay its next heartbeat.
BOOST_AUTO_TEST_CASE(ANewIncarnationExpectsTheRangesOfTheEarlierOne) {
  OwnershipView view = HealthyView();
  const KeyTable table = EquallyDividedTable({HolderAt("a"), HolderAt("b")});
  BOOST_TEST(!ExpectsRanges(table, view));
  view.local_upstream_.holder_->born_ms_ += 1;
  BOOST_TEST(!ExpectsRanges(table, view));
  view.newest_born_ms_ = view.local_upstream_.holder_->born_ms_;
  BOOST_TEST(ExpectsRanges(table, view));
  view.local_upstream_.draining_ = true;
  BOOST_TEST(!ExpectsRanges(table, view));
}

BOOST_AUTO_TEST_CASE(NothingIsDecidedWithoutTheStore) {
  OwnershipView view = HealthyView();
  view.reaches_store_ = false;
  view.local_upstream_.draining_ = true;
  const KeyTable table = EquallyDividedTable({HolderAt("a"), HolderAt("b")});
  BOOST_TEST(!DecideOwnershipChange(table, view).has_value());
}

BOOST_AUTO_TEST_CASE(AnEmptyUpstreamGetsKeys) {
  const KeyTable table = EquallyDividedTable({HolderAt("a"), HolderAt("b")});
  const auto change = DecideOwnershipChange(table, HealthyView());
  BOOST_REQUIRE(change.has_value());
  bool moves_to_c = false;
  for (const KeyRange& range : change->table_.ranges_) {
    moves_to_c = moves_to_c || range.successor_ == HolderAt("c");
  }
  BOOST_TEST(moves_to_c);
}

// Guards against too many keys for one upstream: a gate that has just received keys reports only
// part of the demand for them.
BOOST_AUTO_TEST_CASE(RecentlyMovedKeysCountForTheirNewOwner) {
  OwnershipView view = HealthyView();
  view.nodes_.pop_back();
  KeyTable table = EquallyDividedTable({HolderAt("a"), HolderAt("b")});
  view.demand_ = {{HolderAt("a"), 100, {{{0, 9}, 40}, {{10, 19}, 40}}}, {HolderAt("b"), 100, {}}};
  BOOST_TEST(DecideOwnershipChange(table, view).has_value());
  view.recent_moves_ = {{{HolderAt("a"), {40'000, 40'009}, HolderAt("b"), 80}, At(9'000)}};
  BOOST_TEST(!DecideOwnershipChange(table, view).has_value());
  view.recent_moves_[0].planned_at_ = At(6'000);
  BOOST_TEST(DecideOwnershipChange(table, view).has_value());
}

// Guards against one write of the table, sent to a hundred nodes, for each key that is released.
// This occurred with requests of two seconds on moving keys.
BOOST_AUTO_TEST_CASE(KeysAreReleasedTogetherWithinTheReleaseInterval) {
  OwnershipView view = HealthyView();
  KeyTable table = EquallyDividedTable({HolderAt("a"), HolderAt("b"), HolderAt("c")});
  table = BeginMove(table, HolderAt("a"), {0, 99}, HolderAt("b"));
  view.local_upstream_.released_ = {{{0, 9}, "5c0e"}};
  view.last_release_ = At(9'900);
  BOOST_TEST(!DecideOwnershipChange(table, view).has_value());
  view.last_release_ = At(9'700) - milliseconds(1);
  BOOST_TEST(DecideOwnershipChange(table, view).has_value());
  // All moving keys are released, so there is no reason to wait.
  view.local_upstream_.released_ = {{{0, 99}, "5c0e"}};
  view.last_release_ = At(9'900);
  BOOST_TEST(DecideOwnershipChange(table, view).has_value());
}

// Guards against upstreams that stay without keys. When few of 35 upstreams were known at the first
// assignment and keys were moved to the others one at a time, 12 had no keys for a whole day.
BOOST_AUTO_TEST_CASE(AllEmptyUpstreamsGetKeysInOneChange) {
  OwnershipView view = HealthyView();
  for (int i = 0; i < 30; ++i) {
    NodeView other = view.nodes_.front();
    other.address_ = "d" + std::to_string(i);
    other.upstream_ = Candidate{HolderAt(other.address_), 18};
    view.nodes_.push_back(other);
  }
  view.known_nodes_ = view.reachable_nodes_ = view.nodes_.size() + 1;
  const auto change = DecideOwnershipChange(EquallyDividedTable({HolderAt("a")}), view);
  BOOST_REQUIRE(change.has_value());
  std::map<std::string, std::uint32_t> keys;
  for (const KeyRange& range : change->table_.ranges_) {
    keys[range.successor_.value_or(range.owner_).node_] += range.last_ - range.first_ + 1;
  }
  BOOST_TEST(keys.size() == view.known_nodes_);
  for (const auto& [node, owned] : keys) {
    BOOST_TEST(owned > 0, node);
  }
}

// Guards against an assignment to the first known upstreams when a large system starts, where it
// takes some seconds until all heartbeats and reports are received.
BOOST_AUTO_TEST_CASE(TheFirstAssignmentWaitsForTheUpstreams) {
  OwnershipView view = HealthyView();
  view.unknown_upstreams_ = 2;
  view.now_ = At(4'000);
  view.nodes_.front().last_seen_ = view.nodes_.back().last_seen_ = At(3'900);
  BOOST_TEST(!DecideOwnershipChange(KeyTable{"lookup", 0, {}}, view).has_value());
  view.now_ = At(6'100);
  view.nodes_.front().last_seen_ = view.nodes_.back().last_seen_ = At(6'000);
  BOOST_TEST(DecideOwnershipChange(KeyTable{"lookup", 0, {}}, view).has_value());
}

// Guards against too many keys for one successor when a hot range is spread in several steps: the
// demand for moving keys counts for their successor.
BOOST_AUTO_TEST_CASE(BalancingContinuesWhileKeysAreMoving) {
  OwnershipView view = HealthyView();
  view.nodes_.pop_back();
  KeyTable table = EquallyDividedTable({HolderAt("a"), HolderAt("b")});
  view.demand_ = {{HolderAt("a"), 100, {{{0, 9}, 90}, {{10, 19}, 30}, {{20, 29}, 30}}},
                  {HolderAt("b"), 100, {}}};
  table = BeginMove(table, HolderAt("a"), {0, 9}, HolderAt("b"));
  // The demand is 60 and 90 of 100 after the move, so no further keys are moved to "b".
  BOOST_TEST(!DecideOwnershipChange(table, view).has_value());
  view.demand_[0].pieces_.push_back({{30, 39}, 90});
  view.demand_[0].pieces_[0].per_second_ = 20;
  BOOST_TEST(DecideOwnershipChange(table, view).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sassafrasbay
