#include <boost/test/unit_test.hpp>

#include "LibControl/control_fixtures.h"

namespace sassafrasbay::testing {
namespace {

/// Service "s" with six shards, three each for a1 and b1, and c1 without units.
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

// Guards against assignments that depend on anything but counts and ids.
BOOST_AUTO_TEST_CASE(NewUnitsGoToSessionsWithFewestUnits) {
  const TestLog log = Fleet();
  BOOST_TEST(CountUnits(log.state_, "a1") == 3U);
  BOOST_TEST(CountUnits(log.state_, "b1") == 3U);
  BOOST_TEST(CountUnits(log.state_, "c1") == 0U);
  BOOST_TEST(UnitAt(log.state_, 0).owner_ == "a1");
}

// Guards against a takeover that keeps old tokens or hides where request tables come from.
BOOST_AUTO_TEST_CASE(UnitsOfEndedOwnerGoToSessionsWithFewestUnits) {
  TestLog log = Fleet();
  const Offset offset = log.state_.next_offset_;
  const ApplyResult verdict = log.Append(SessionEnded{"a1"});
  BOOST_TEST(verdict.decisions_.size() == 3U);
  BOOST_TEST(CountUnits(log.state_, "c1") == 3U);
  BOOST_TEST(UnitAt(log.state_, 0).owner_ == "c1");
  BOOST_TEST(UnitAt(log.state_, 0).token_ == offset);
  BOOST_TEST(UnitAt(log.state_, 0).inherited_from_ == "a1");
}

// Guards against units that stay without owner, or lose their history while they wait.
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

// Guards against lost request tables when the heir had failed, too, and ended before it recovered.
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

// Guards against taking an earlier holder's table for complete after a holder in between has
// released the unit together with the ids it ran.
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

// Guards against a move that takes effect although owner, token or target have changed.
BOOST_AUTO_TEST_CASE(EachMoveIsValidatedSeparately) {
  TestLog log = Fleet();
  Move stale = MoveOf(log, 1, "c1");
  stale.base_token_ += 1;
  const ApplyResult mixed = log.Append(
      MovesStarted{{MoveOf(log, 0, "c1"), stale, MoveOf(log, 0, "c1"), MoveOf(log, 2, "x")}, "t"});
  BOOST_TEST(mixed.valid_);
  BOOST_TEST(mixed.decisions_.size() == 1U);
  BOOST_TEST(mixed.reason_ ==
             "ignored s/1 (token changed), s/0 (a move is running), s/2 (target is not available)");
  BOOST_TEST(UnitAt(log.state_, 0).owner_ == "a1");
  BOOST_TEST(!log.Append(MovesStarted{{stale}, "t"}).valid_);
  BOOST_TEST(!log.Append(MovesStarted{{}, "t"}).valid_);
}

// Guards against completion by another session, of another move, or twice.
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

// Guards against two owners after the old owner of a running move is lost: its target may serve.
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

// Guards against a draining session losing units before they are handed over, or getting new ones.
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

// Guards against splitting a key off while the owner may change, and against a split key being
// recovered from copies that don't know its new unit: its owner starts it from the shard's table.
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

// Guards against a merge across owners, and against the key's token falling back.
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

// Guards against overrides growing without bound.
BOOST_AUTO_TEST_CASE(NumberOfOverridesIsLimited) {
  TestLog log = Fleet();
  for (std::uint64_t key = 0; key < kMaxOverrides; ++key) {
    BOOST_TEST(log.Append(KeySplit{"s", key, UnitAt(log.state_, key % 6).token_}).valid_);
  }
  BOOST_TEST(!log.Append(KeySplit{"s", 1000, UnitAt(log.state_, 1000 % 6).token_}).valid_);
}

}  // namespace
}  // namespace sassafrasbay::testing
