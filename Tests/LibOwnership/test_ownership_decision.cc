#include <boost/test/unit_test.hpp>

#include "LibOwnership/ownership_fixtures.h"

namespace sassafrasbay {
namespace {

const KeyRange& FirstRange(const std::optional<OwnershipChange>& change) {
  BOOST_REQUIRE(change.has_value());
  return change->table_.ranges_.front();
}

BOOST_AUTO_TEST_SUITE(OwnershipDecisions)

BOOST_AUTO_TEST_CASE(ACalmFleetChangesNothing) {
  const KeyTable table = EvenTable({HolderAt("a"), HolderAt("b"), HolderAt("c")});
  BOOST_TEST(!DecideOwnershipChange(table, CalmView()).has_value());
}

BOOST_AUTO_TEST_CASE(OnlyThePlannerAssigns) {
  OwnershipView view = CalmView();
  BOOST_TEST(DecideOwnershipChange({"lookup", 0, {}}, view).has_value());
  view.self_ = "d";
  view.local_upstream_.holder_ = HolderAt("d");
  BOOST_TEST(!DecideOwnershipChange({"lookup", 0, {}}, view).has_value());
}

BOOST_AUTO_TEST_CASE(ANodeThatIsNotHeardOfGetsASuccessorButStaysOwner) {
  OwnershipView view = CalmView();
  view.nodes_[0].last_seen_ = At(8'000);
  view.reachable_nodes_ = 2;
  const KeyTable table = EvenTable({HolderAt("b"), HolderAt("c")});
  const auto change = DecideOwnershipChange(table, view);
  BOOST_TEST(FirstRange(change).owner_.node_ == "b");
  BOOST_TEST(FirstRange(change).successor_.has_value());
  BOOST_TEST(!FirstRange(change).planned_);
}

// A node that is cut off from the others would take their keys.
BOOST_AUTO_TEST_CASE(AnIsolatedNodeTakesNobodyForLost) {
  OwnershipView view = CalmView();
  view.nodes_[0].last_seen_ = At(0);
  view.nodes_[1].last_seen_ = At(0);
  view.reachable_nodes_ = 1;
  const KeyTable table = EvenTable({HolderAt("a"), HolderAt("b"), HolderAt("c")});
  BOOST_TEST(!DecideOwnershipChange(table, view).has_value());
}

BOOST_AUTO_TEST_CASE(ASuspectedOwnerTakesItsRangesBack) {
  KeyTable table = EvenTable({HolderAt("a"), HolderAt("b")});
  table.ranges_[0].successor_ = HolderAt("b");
  const auto change = DecideOwnershipChange(table, CalmView());
  BOOST_TEST(!FirstRange(change).successor_.has_value());
}

// It couldn't serve the others' callers, and would block the takeover as long as it is cut off.
BOOST_AUTO_TEST_CASE(AnIsolatedOwnerReleasesInstead) {
  OwnershipView view = CalmView();
  view.reachable_nodes_ = 1;
  KeyTable table = EvenTable({HolderAt("a"), HolderAt("b")});
  table.ranges_[0].successor_ = HolderAt("b");
  BOOST_TEST(!DecideOwnershipChange(table, view).has_value());
  view.local_upstream_.held_is_current_ = true;
  BOOST_TEST(FirstRange(DecideOwnershipChange(table, view)).owner_.node_ == "b");
}

BOOST_AUTO_TEST_CASE(TheSuccessorWaitsForTheFormerHold) {
  OwnershipView view = CalmView();
  view.nodes_[0].last_seen_ = At(0);
  view.reachable_nodes_ = 2;
  KeyTable table = EvenTable({HolderAt("b"), HolderAt("c")});
  table.ranges_[0].successor_ = HolderAt("a");
  TrackMoves(table, At(5'000), view.moves_first_read_);
  view.now_ = At(5'000) + kTakeoverDelay;
  view.local_upstream_.last_heartbeat_ = view.now_;
  view.nodes_[1].last_seen_ = view.now_;
  BOOST_TEST(!DecideOwnershipChange(table, view).has_value());
  view.now_ += milliseconds(1);
  BOOST_TEST(FirstRange(DecideOwnershipChange(table, view)).owner_.node_ == "a");
}

BOOST_AUTO_TEST_CASE(APromisedRangeIsNotTaken) {
  OwnershipView view = CalmView();
  KeyTable table = EvenTable({HolderAt("b"), HolderAt("c")});
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

// Owners that don't know of a new node can't have its promise.
BOOST_AUTO_TEST_CASE(ANewNodeTakesNothing) {
  OwnershipView view = CalmView();
  KeyTable table = EvenTable({HolderAt("b"), HolderAt("c")});
  table.ranges_[0].successor_ = HolderAt("a");
  TrackMoves(table, At(0), view.moves_first_read_);
  view.registered_ = view.now_ - kNewNodeTakeoverDelay + milliseconds(1);
  const auto change = DecideOwnershipChange(table, view);
  BOOST_TEST((!change || change->taken_over_nodes_.empty()));
}

// An upstream of another service at the same VM proves that the former one has ended.
BOOST_AUTO_TEST_CASE(ALaterIncarnationOfAnotherServiceFreesTheKeys) {
  OwnershipView view = CalmView();
  view.local_upstream_ = LocalUpstream{};
  view.newest_born_ms_ = HolderAt("a").born_ms_ + 1;
  const KeyTable table = EvenTable({HolderAt("a"), HolderAt("b"), HolderAt("c")});
  const auto change = DecideOwnershipChange(table, view);
  BOOST_REQUIRE(change.has_value());
  BOOST_TEST(CountOwnedKeys(change->table_, HolderAt("a")) == 0);
}

BOOST_AUTO_TEST_CASE(AMovingRangeIsReleasedOnlyWhenItIsNotHeld) {
  OwnershipView view = CalmView();
  KeyTable table = EvenTable({HolderAt("a"), HolderAt("b")});
  table.ranges_[0].successor_ = HolderAt("b");
  table.ranges_[0].planned_ = true;
  // The heartbeat was sent before any answer left the range out.
  BOOST_TEST(!DecideOwnershipChange(table, view).has_value());
  view.local_upstream_.held_is_current_ = true;
  view.local_upstream_.held_ = {{{0, 99}, 1, {}}};
  const auto change = DecideOwnershipChange(table, view);
  BOOST_TEST(FirstRange(change).owner_.node_ == "a");
  BOOST_TEST(FindRange(change->table_, 100)->owner_.node_ == "b");
}

// A silent upstream may still serve until its grant has ended; a new incarnation proves its end.
BOOST_AUTO_TEST_CASE(ASilentUpstreamKeepsItsKeysUntilItsGrantEnds) {
  OwnershipView view = CalmView();
  const KeyTable table = EvenTable({HolderAt("a"), HolderAt("b"), HolderAt("c")});
  view.local_upstream_.last_heartbeat_ = At(6'000);
  view.local_upstream_.granted_until_ = At(10'500);
  BOOST_TEST(!DecideOwnershipChange(table, view).has_value());
  view.now_ = At(10'501);
  for (NodeView& node : view.nodes_) {
    node.last_seen_ = view.now_;
  }
  BOOST_TEST(DecideOwnershipChange(table, view).has_value());
}

// An earlier process of this node may have granted what this one knows nothing of.
BOOST_AUTO_TEST_CASE(ARestartedNodeWaitsForGrantsOfItsFormerProcess) {
  OwnershipView view = CalmView();
  const KeyTable table = EvenTable({HolderAt("a"), HolderAt("b"), HolderAt("c")});
  view.local_upstream_.holder_.reset();
  view.local_upstream_.last_heartbeat_ = {};
  view.local_upstream_.granted_until_ = {};
  view.started_ = At(10'000) - kTakeoverDelay;
  BOOST_TEST(!DecideOwnershipChange(table, view).has_value());
  view.started_ -= milliseconds(1);
  BOOST_TEST(DecideOwnershipChange(table, view).has_value());
}

BOOST_AUTO_TEST_CASE(ADrainingUpstreamHandsAllKeysOver) {
  OwnershipView view = CalmView();
  view.local_upstream_.draining_ = true;
  const KeyTable table = EvenTable({HolderAt("a"), HolderAt("b")});
  const auto change = DecideOwnershipChange(table, view);
  BOOST_TEST(FirstRange(change).planned_);
  for (const KeyRange& range : change->table_.ranges_) {
    BOOST_TEST((range.owner_ == HolderAt("b") || range.successor_ != HolderAt("a")));
  }
}

// A move that was planned before would bring keys that have to move again at once.
BOOST_AUTO_TEST_CASE(NoKeysMoveToADrainingUpstream) {
  OwnershipView view = CalmView();
  view.local_upstream_.draining_ = true;
  KeyTable table = EvenTable({HolderAt("b"), HolderAt("c")});
  table.ranges_[0].successor_ = HolderAt("a");
  table.ranges_[0].planned_ = true;
  const auto change = DecideOwnershipChange(table, view);
  BOOST_REQUIRE(change.has_value());
  BOOST_TEST((FirstRange(change).successor_ != HolderAt("a")));
  BOOST_TEST((FirstRange(change).owner_ == HolderAt("b")));
}

// Without the wait a new incarnation serves nothing until its second heartbeat, up to 1.5 s later.
BOOST_AUTO_TEST_CASE(ANewIncarnationExpectsTheRangesOfTheFormerOne) {
  OwnershipView view = CalmView();
  const KeyTable table = EvenTable({HolderAt("a"), HolderAt("b")});
  BOOST_TEST(!ExpectsRanges(table, view));
  view.local_upstream_.holder_->born_ms_ += 1;
  BOOST_TEST(ExpectsRanges(table, view));
  view.local_upstream_.draining_ = true;
  BOOST_TEST(!ExpectsRanges(table, view));
}

BOOST_AUTO_TEST_CASE(NothingIsDecidedWithoutTheStore) {
  OwnershipView view = CalmView();
  view.reaches_store_ = false;
  view.local_upstream_.draining_ = true;
  const KeyTable table = EvenTable({HolderAt("a"), HolderAt("b")});
  BOOST_TEST(!DecideOwnershipChange(table, view).has_value());
}

BOOST_AUTO_TEST_CASE(AnEmptyUpstreamGetsKeys) {
  const KeyTable table = EvenTable({HolderAt("a"), HolderAt("b")});
  const auto change = DecideOwnershipChange(table, CalmView());
  BOOST_REQUIRE(change.has_value());
  bool moves_to_c = false;
  for (const KeyRange& range : change->table_.ranges_) {
    moves_to_c = moves_to_c || range.successor_ == HolderAt("c");
  }
  BOOST_TEST(moves_to_c);
}

// A gate that has just got keys reports little demand for them, and would be given more than it can
// serve.
BOOST_AUTO_TEST_CASE(KeysThatHaveJustArrivedCountForTheirOwner) {
  OwnershipView view = CalmView();
  view.nodes_.pop_back();
  KeyTable table = EvenTable({HolderAt("a"), HolderAt("b")});
  view.demand_ = {{HolderAt("a"), 100, {{{0, 9}, 40}, {{10, 19}, 40}}}, {HolderAt("b"), 100, {}}};
  BOOST_TEST(DecideOwnershipChange(table, view).has_value());
  view.recent_moves_ = {{{HolderAt("a"), {40'000, 40'009}, HolderAt("b"), 80}, At(9'000)}};
  BOOST_TEST(!DecideOwnershipChange(table, view).has_value());
  view.recent_moves_[0].planned_at_ = At(6'000);
  BOOST_TEST(DecideOwnershipChange(table, view).has_value());
}

// Pattern: requests of two seconds on keys that move. Each key that came free was one write of the
// table, sent to a hundred nodes.
BOOST_AUTO_TEST_CASE(KeysThatComeFreeSoonAfterEachOtherAreReleasedTogether) {
  OwnershipView view = CalmView();
  KeyTable table = EvenTable({HolderAt("a"), HolderAt("b"), HolderAt("c")});
  table = BeginMove(table, HolderAt("a"), {0, 99}, HolderAt("b"));
  view.local_upstream_.released_ = {{{0, 9}, "5c0e"}};
  view.last_release_ = At(9'900);
  BOOST_TEST(!DecideOwnershipChange(table, view).has_value());
  view.last_release_ = At(9'700) - milliseconds(1);
  BOOST_TEST(DecideOwnershipChange(table, view).has_value());
  // Nothing is left to wait for.
  view.local_upstream_.released_ = {{{0, 99}, "5c0e"}};
  view.last_release_ = At(9'900);
  BOOST_TEST(DecideOwnershipChange(table, view).has_value());
}

// Pattern: 35 upstreams of which few are known at the first assignment. With one filled after the
// other, 12 of them had no keys for a whole day.
BOOST_AUTO_TEST_CASE(AllEmptyUpstreamsGetKeysAtOnce) {
  OwnershipView view = CalmView();
  for (int i = 0; i < 30; ++i) {
    NodeView other = view.nodes_.front();
    other.address_ = "d" + std::to_string(i);
    other.upstream_ = Candidate{HolderAt(other.address_), 18};
    view.nodes_.push_back(other);
  }
  view.known_nodes_ = view.reachable_nodes_ = view.nodes_.size() + 1;
  const auto change = DecideOwnershipChange(EvenTable({HolderAt("a")}), view);
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

// Pattern: the start of a large system, where heartbeats and reports arrive over some seconds.
BOOST_AUTO_TEST_CASE(TheFirstAssignmentWaitsForTheUpstreams) {
  OwnershipView view = CalmView();
  view.unknown_upstreams_ = 2;
  view.now_ = At(4'000);
  view.nodes_.front().last_seen_ = view.nodes_.back().last_seen_ = At(3'900);
  BOOST_TEST(!DecideOwnershipChange(KeyTable{"lookup", 0, {}}, view).has_value());
  view.now_ = At(6'100);
  view.nodes_.front().last_seen_ = view.nodes_.back().last_seen_ = At(6'000);
  BOOST_TEST(DecideOwnershipChange(KeyTable{"lookup", 0, {}}, view).has_value());
}

// Pattern: a hot range is spread in several steps. Keys that are on their way count for their
// successor, which would be given too many otherwise.
BOOST_AUTO_TEST_CASE(BalanceGoesOnWhileKeysAreMoving) {
  OwnershipView view = CalmView();
  view.nodes_.pop_back();
  KeyTable table = EvenTable({HolderAt("a"), HolderAt("b")});
  view.demand_ = {{HolderAt("a"), 100, {{{0, 9}, 90}, {{10, 19}, 30}, {{20, 29}, 30}}},
                  {HolderAt("b"), 100, {}}};
  table = BeginMove(table, HolderAt("a"), {0, 9}, HolderAt("b"));
  // 60 and 90 of 100 when all has arrived: nothing more to move to the second.
  BOOST_TEST(!DecideOwnershipChange(table, view).has_value());
  view.demand_[0].pieces_.push_back({{30, 39}, 90});
  view.demand_[0].pieces_[0].per_second_ = 20;
  BOOST_TEST(DecideOwnershipChange(table, view).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sassafrasbay
