#include <boost/test/unit_test.hpp>

#include "LibControl/control_fixtures.h"

namespace sassafrasbay::testing {
namespace {

/// Service "s" with six shards: a1 and b1 own three each, c1 owns none.
TestLog Fleet() {
  TestLog log;
  log.Append(Join("a1", "a"));
  log.Append(Join("b1", "b"));
  log.Publish({ServiceFile("s", 6)});
  log.Append(Join("c1", "c"));
  return log;
}

Move MoveOf(const TestLog& log, std::uint32_t unit, std::string_view to) {
  const Unit& present = UnitAt(log.state_, unit);
  return {{"s", unit}, present.owner_, SessionId(to), present.token_};
}

// Guards against assignments that depend on anything but the numbers of units and the session ids.
BOOST_AUTO_TEST_CASE(NewUnitsGoToSessionsWithFewestUnits) {
  const TestLog log = Fleet();
  BOOST_TEST(CountUnits(log.state_, "a1") == 3U);
  BOOST_TEST(CountUnits(log.state_, "b1") == 3U);
  BOOST_TEST(CountUnits(log.state_, "c1") == 0U);
  BOOST_TEST(UnitAt(log.state_, 0).owner_ == "a1");
}

// Guards against a takeover that keeps the old token, or that doesn't record the session whose
// request table the new owner has to recover.
BOOST_AUTO_TEST_CASE(UnitsOfEndedOwnerGoToSessionsWithFewestUnits) {
  TestLog log = Fleet();
  const Offset offset = log.state_.next_offset_;
  const ApplyResult result = log.Append(SessionEnded{"a1"});
  BOOST_TEST(result.decisions_.size() == 3U);
  BOOST_TEST(CountUnits(log.state_, "c1") == 3U);
  BOOST_TEST(UnitAt(log.state_, 0).owner_ == "c1");
  BOOST_TEST(UnitAt(log.state_, 0).token_ == offset);
  BOOST_TEST(UnitAt(log.state_, 0).inherited_from_ == "a1");
}

// Guards against units that stay without owner after a session has joined, and against losing track
// of the last owner while no session is available.
BOOST_AUTO_TEST_CASE(UnownedUnitsAreAssignedToTheNextSession) {
  TestLog log = Fleet();
  log.Append(SessionEnded{"c1"});
  log.Append(SessionEnded{"a1"});
  log.Append(SessionEnded{"b1"});
  BOOST_TEST(UnitAt(log.state_, 0).owner_.empty());
  BOOST_TEST(UnitAt(log.state_, 0).inherited_from_ == "b1");
  const Offset offset = log.state_.next_offset_;
  log.Append(Join("d1", "d"));
  BOOST_TEST(UnitAt(log.state_, 0).owner_ == "d1");
  BOOST_TEST(UnitAt(log.state_, 0).token_ == offset);
  BOOST_TEST(UnitAt(log.state_, 0).inherited_from_ == "b1");
}

// Guards against losing request tables when the new owner of a unit ends, too, before it has
// recovered the table.
BOOST_AUTO_TEST_CASE(EarlierHoldersAreRemembered) {
  TestLog log = Fleet();
  const Offset first = UnitAt(log.state_, 0).token_;
  log.Append(SessionEnded{"a1"});
  const Offset second = UnitAt(log.state_, 0).token_;
  log.Append(SessionEnded{"c1"});
  const Unit& unit = UnitAt(log.state_, 0);
  BOOST_TEST(unit.inherited_from_ == "c1");
  BOOST_TEST(unit.inherited_token_ == second);
  BOOST_REQUIRE(unit.earlier_holders_.size() == 1U);
  BOOST_TEST(unit.earlier_holders_[0].session_ == "a1");
  BOOST_TEST(unit.earlier_holders_[0].token_ == first);
  for (int i = 0; i < 10; ++i) {
    log.Append(Join("d" + std::to_string(i), "d"));
    log.Append(SessionEnded{UnitAt(log.state_, 0).owner_});
  }
  BOOST_TEST(UnitAt(log.state_, 0).earlier_holders_.size() == kMaxEarlierHolders);
}

// Guards against recovering from the table of an earlier holder after a later holder has released
// the unit: the earlier table lacks the requests that the later holder ran.
BOOST_AUTO_TEST_CASE(MovesClearEarlierHolders) {
  TestLog log = Fleet();
  log.Append(SessionEnded{"a1"});
  log.Append(MovesStarted{{MoveOf(log, 0, "b1")}, "t"});
  TestLog owner_ends = log;
  log.Append(SessionEnded{"b1"});
  BOOST_TEST(UnitAt(log.state_, 0).inherited_from_ == "b1");
  BOOST_TEST(UnitAt(log.state_, 0).earlier_holders_.empty());
  owner_ends.Append(SessionEnded{"c1"});
  BOOST_TEST(UnitAt(owner_ends.state_, 0).inherited_from_ == "c1");
  BOOST_TEST(UnitAt(owner_ends.state_, 0).earlier_holders_.empty());
}

// Guards against a move that starts although the unit's token has changed, the unit is already
// moving or the target isn't available.
BOOST_AUTO_TEST_CASE(EachMoveIsValidatedSeparately) {
  TestLog log = Fleet();
  Move stale = MoveOf(log, 1, "c1");
  stale.base_token_ += 1;
  const ApplyResult mixed = log.Append(
      MovesStarted{{MoveOf(log, 0, "c1"), stale, MoveOf(log, 0, "c1"), MoveOf(log, 2, "x")}, "t"});
  BOOST_TEST(mixed.valid_);
  BOOST_TEST(mixed.decisions_.size() == 1U);
  BOOST_TEST(
      mixed.reason_ ==
      "ignored s/1 (the unit has another token), s/0 (the unit is already moving), s/2 (the target "
      "session can't receive units)");
  BOOST_TEST(UnitAt(log.state_, 0).owner_ == "a1");
  BOOST_TEST(!log.Append(MovesStarted{{stale}, "t"}).valid_);
  BOOST_TEST(!log.Append(MovesStarted{{}, "t"}).valid_);
}

// Guards against completing a move by another session, under another token, or twice.
BOOST_AUTO_TEST_CASE(OnlyTheRunningMoveCompletes) {
  TestLog log = Fleet();
  const Offset token = log.state_.next_offset_;
  log.Append(MovesStarted{{MoveOf(log, 0, "c1")}, "t"});
  BOOST_TEST(!log.Append(MovesCompleted{"b1", {{{"s", 0}, token}}}).valid_);
  BOOST_TEST(!log.Append(MovesCompleted{"c1", {{{"s", 0}, token + 1}}}).valid_);
  BOOST_TEST(log.Append(MovesCompleted{"c1", {{{"s", 0}, token}}}).valid_);
  BOOST_TEST(UnitAt(log.state_, 0).owner_ == "c1");
  BOOST_TEST(UnitAt(log.state_, 0).token_ == token);
  BOOST_TEST(UnitAt(log.state_, 0).inherited_from_.empty());
  BOOST_TEST(!log.Append(MovesCompleted{"c1", {{{"s", 0}, token}}}).valid_);
}

// Guards against two owners after the old owner of a running move has ended, since the target of
// the move may already serve the unit.
BOOST_AUTO_TEST_CASE(MovingUnitOfAnEndedOwnerGoesToTheTarget) {
  TestLog log = Fleet();
  log.Append(MovesStarted{{MoveOf(log, 1, "a1")}, "t"});
  const Offset offset = log.state_.next_offset_;
  log.Append(SessionEnded{"b1"});
  BOOST_TEST(UnitAt(log.state_, 1).owner_ == "a1");
  BOOST_TEST(UnitAt(log.state_, 1).token_ == offset);
  BOOST_TEST(UnitAt(log.state_, 1).inherited_from_ == "b1");
  BOOST_TEST(!UnitAt(log.state_, 1).move_.has_value());
}

// Guards against the old owner serving again under a token that it has released.
BOOST_AUTO_TEST_CASE(UnitMovingToAnEndedTargetReturnsWithANewToken) {
  TestLog log = Fleet();
  log.Append(MovesStarted{{MoveOf(log, 0, "c1")}, "t"});
  const Offset offset = log.state_.next_offset_;
  log.Append(SessionEnded{"c1"});
  BOOST_TEST(UnitAt(log.state_, 0).owner_ == "a1");
  BOOST_TEST(UnitAt(log.state_, 0).token_ == offset);
  BOOST_TEST(UnitAt(log.state_, 0).inherited_from_ == "c1");
  BOOST_TEST(!UnitAt(log.state_, 0).move_.has_value());
}

// Guards against a draining session that loses units before their handover, or gets new ones.
BOOST_AUTO_TEST_CASE(DrainingMovesEveryUnit) {
  TestLog log = Fleet();
  log.Append(MovesStarted{{MoveOf(log, 0, "b1")}, "t"});
  BOOST_TEST(log.Append(SessionDraining{"a1"}).valid_);
  BOOST_TEST(!log.Append(SessionDraining{"a1"}).valid_);
  BOOST_TEST(UnitAt(log.state_, 0).owner_ == "a1");
  BOOST_TEST(UnitAt(log.state_, 0).move_->to_ == "b1");
  BOOST_TEST(UnitAt(log.state_, 2).move_->to_ == "c1");
  BOOST_TEST(UnitAt(log.state_, 4).move_->to_ == "c1");
  BOOST_TEST(!log.Append(MovesStarted{{MoveOf(log, 1, "a1")}, "t"}).valid_);
  log.Append(SessionEnded{"b1"});
  BOOST_TEST(UnitAt(log.state_, 0).owner_ == "a1");
  BOOST_TEST(CountUnits(log.state_, "a1") == 1U);
}

// Guards against an override for a key of a shard that is moving. Also guards against recovering
// the override from copies that don't contain its new unit: its owner fills it from the shard's
// table.
BOOST_AUTO_TEST_CASE(KeySplitRequiresOwnedShardWithoutMove) {
  TestLog log = Fleet();
  const Offset token = UnitAt(log.state_, 0).token_;
  BOOST_TEST(!log.Append(KeySplit{"s", 6, token + 1}).valid_);
  log.Append(MovesStarted{{MoveOf(log, 0, "c1")}, "t"});
  BOOST_TEST(!log.Append(KeySplit{"s", 6, token}).valid_);
  log.Append(SessionEnded{"c1"});
  BOOST_TEST(UnitAt(log.state_, 0).inherited_from_ == "c1");
  BOOST_TEST(log.Append(KeySplit{"s", 6, UnitAt(log.state_, 0).token_}).valid_);
  const UnitId inherited = UnitOfKey(log.state_.services_.at("s"), "s", 6);
  BOOST_TEST(FindUnit(log.state_, inherited)->inherited_from_.empty());
  BOOST_TEST(UnitAt(log.state_, 0).inherited_from_ == "c1");
  const Offset offset = log.state_.next_offset_;
  BOOST_TEST(log.Append(KeySplit{"s", 8, UnitAt(log.state_, 2).token_}).valid_);
  const UnitId unit = UnitOfKey(log.state_.services_.at("s"), "s", 8);
  BOOST_TEST(unit.unit_ == kFirstOverrideUnit + 1);
  BOOST_TEST(FindUnit(log.state_, unit)->owner_ == "a1");
  BOOST_TEST(FindUnit(log.state_, unit)->token_ == offset);
  BOOST_TEST(UnitAt(log.state_, 2).token_ == token);
  BOOST_TEST(!log.Append(KeySplit{"s", 8, token}).valid_);
}

// Guards against merging an override into a shard with another owner, and against a token of the
// key that decreases.
BOOST_AUTO_TEST_CASE(KeyMergeRequiresSameOwnerAndRaisesToken) {
  TestLog log = Fleet();
  Offset token = log.state_.next_offset_;
  log.Append(KeySplit{"s", 8, UnitAt(log.state_, 2).token_});
  BOOST_TEST(!log.Append(KeyMerged{"s", 8, token + 1}).valid_);
  token = log.state_.next_offset_;
  log.Append(MovesStarted{{MoveOf(log, kFirstOverrideUnit, "c1")}, "t"});
  BOOST_TEST(log.Append(MovesCompleted{"c1", {{{"s", kFirstOverrideUnit}, token}}}).valid_);
  BOOST_TEST(!log.Append(KeyMerged{"s", 8, token}).valid_);
  token = log.state_.next_offset_;
  log.Append(MovesStarted{{MoveOf(log, kFirstOverrideUnit, "a1")}, "t"});
  log.Append(MovesCompleted{"a1", {{{"s", kFirstOverrideUnit}, token}}});
  const Offset offset = log.state_.next_offset_;
  BOOST_TEST(log.Append(KeyMerged{"s", 8, token}).valid_);
  BOOST_TEST(UnitAt(log.state_, 2).token_ == offset);
  BOOST_TEST(log.state_.services_.at("s").overrides_.empty());
}

// Guards against an unlimited number of overrides.
BOOST_AUTO_TEST_CASE(NumberOfOverridesIsLimited) {
  TestLog log = Fleet();
  for (std::uint64_t key = 0; key < kMaxOverrides; ++key) {
    BOOST_TEST(log.Append(KeySplit{"s", key, UnitAt(log.state_, key % 6).token_}).valid_);
  }
  BOOST_TEST(!log.Append(KeySplit{"s", 1000, UnitAt(log.state_, 1000 % 6).token_}).valid_);
}

}  // namespace
}  // namespace sassafrasbay::testing
