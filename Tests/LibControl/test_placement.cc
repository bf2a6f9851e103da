#define BOOST_TEST_MODULE Placement
#include <boost/test/unit_test.hpp>

#include "LibControl/control_fixtures.h"
#include "LibControl/placement.h"

namespace sassafrasbay::testing {
namespace {

BootTime At(int seconds) { return BootTime(std::chrono::seconds(seconds)); }

TestLog Fleet(int sessions, int shards) {
  TestLog log;
  for (int i = 0; i < sessions; ++i) {
    log.Append(Join("n" + std::to_string(i), "d" + std::to_string(i % 3)));
  }
  log.Publish({ServiceFile("s", shards)});
  return log;
}

/// Applies the plan, which starts and completes its moves. Returns the number of moves.
std::size_t Execute(TestLog& log, const std::vector<RecordBody>& plan) {
  std::size_t moves = 0;
  for (const RecordBody& body : plan) {
    const Offset token = log.state_.next_offset_;
    const ApplyResult result = log.Append(body);
    BOOST_TEST(result.valid_);
    BOOST_TEST(result.reason_.empty());
    if (const auto* started = std::get_if<MovesStarted>(&body)) {
      moves += started->moves_.size();
      for (const Move& move : started->moves_) {
        log.Append(MovesCompleted{move.to_, {{move.unit_, token}}});
      }
    }
  }
  return moves;
}

/// Plans and executes rounds at intervals of five seconds, for `seconds` from `from` on. Returns
/// the number of moves.
std::size_t Run(TestLog& log, PlannerState& planner, const MeasuredLoad& load,
                const PlacementSettings& settings, int from, int seconds) {
  std::size_t moves = 0;
  for (int now = from; now < from + seconds; now += 5) {
    moves += Execute(log, PlanPlacement(planner, log.state_, load, settings, At(now)));
  }
  return moves;
}

MeasuredLoad EvenLoad(int shards, double each) {
  MeasuredLoad load;
  for (int i = 0; i < shards; ++i) {
    load.units_[{"s", static_cast<std::uint32_t>(i)}] = each;
  }
  return load;
}

// Guards against moves in a balanced or idle fleet, including one whose units can't be divided
// equally among the sessions.
BOOST_AUTO_TEST_CASE(BalancedFleetCausesNoMoves) {
  for (const int shards : {1, 2, 7, 64}) {
    TestLog log = Fleet(4, shards);
    PlannerState planner;
    BOOST_TEST(Run(log, planner, {}, {}, 0, 300) == 0U);
    BOOST_TEST(Run(log, planner, EvenLoad(shards, 10), {}, 300, 300) == 0U);
  }
}

// Guards against a new session that gets too few units, and against moves between the sessions that
// were there before.
BOOST_AUTO_TEST_CASE(JoinMovesNoMoreThanAFairShare) {
  for (const int sessions : {2, 4, 10, 40}) {
    const int shards = sessions * 8;
    TestLog log = Fleet(sessions, shards);
    log.Append(Join("new", "d1"));
    PlannerState planner;
    const std::size_t moves = Run(log, planner, EvenLoad(shards, 10), {}, 0, 600);
    const auto fair = static_cast<std::size_t>(shards / (sessions + 1));
    BOOST_TEST_CONTEXT("sessions " << sessions) {
      BOOST_TEST(CountUnits(log.state_, "new") == moves);
      BOOST_TEST(moves >= fair / 2);
      BOOST_TEST(moves <= fair + 1);
    }
  }
}

// Guards against moves after a takeover, which itself keeps the fleet balanced.
BOOST_AUTO_TEST_CASE(TakeoverIsFollowedByNoMoves) {
  TestLog log = Fleet(5, 40);
  log.Append(SessionEnded{"n0"});
  PlannerState planner;
  BOOST_TEST(Run(log, planner, EvenLoad(40, 10), {}, 0, 300) == 0U);
}

// Guards against units that move back and forth: load below the threshold must trigger no moves,
// and moves must reduce the imbalance to below the threshold.
BOOST_AUTO_TEST_CASE(HysteresisSeparatesTriggerAndTarget) {
  TestLog log = Fleet(2, 20);
  PlannerState planner;
  MeasuredLoad load = EvenLoad(20, 10);
  load.units_[{"s", 0}] = 45;
  load.units_[{"s", 1}] = 8;
  BOOST_TEST(Imbalance(log.state_, "s", load) < 1.25);
  BOOST_TEST(Imbalance(log.state_, "s", load) > 1.15);
  BOOST_TEST(Run(log, planner, load, {}, 0, 60) == 0U);
  load.units_[{"s", 0}] = 80;
  BOOST_TEST(Imbalance(log.state_, "s", load) > 1.25);
  BOOST_TEST(Run(log, planner, load, {}, 60, 60) > 0U);
  BOOST_TEST(Imbalance(log.state_, "s", load) <= 1.15);
}

// Guards against more moves in a minute than the move budget allows.
BOOST_AUTO_TEST_CASE(MoveBudgetLimitsMovesPerMinute) {
  TestLog log = Fleet(1, 100);
  log.Append(Join("n9", "d1"));
  PlannerState planner;
  PlacementSettings settings;
  settings.moves_per_minute_ = 3;
  BOOST_TEST(Run(log, planner, EvenLoad(100, 10), settings, 0, 60) == 3U);
  BOOST_TEST(Run(log, planner, EvenLoad(100, 10), settings, 60, 60) == 3U);
}

// Guards against plans based on measured loads that don't show the effect of running moves yet.
BOOST_AUTO_TEST_CASE(NothingIsPlannedWhileMovesAreRunning) {
  TestLog log = Fleet(1, 10);
  log.Append(Join("n9", "d1"));
  PlannerState planner;
  const auto plan = PlanPlacement(planner, log.state_, {}, {}, At(0));
  BOOST_REQUIRE(plan.size() == 1U);
  log.Append(plan[0]);
  BOOST_TEST(PlanPlacement(planner, log.state_, {}, {}, At(5)).empty());
}

// Guards against continued moves when they don't change the measured load.
BOOST_AUTO_TEST_CASE(IneffectiveMovesCauseBackoff) {
  PlacementSettings settings;
  settings.moves_per_minute_ = 1000;
  TestLog log = Fleet(2, 20);
  PlannerState planner;
  MeasuredLoad load = EvenLoad(20, 1);
  for (std::uint32_t unit = 0; unit < 20; unit += 2) {
    load.units_[{"s", unit}] = 20;
  }
  int plans = 0;
  for (int round = 0; round < 100; ++round) {
    // The plans aren't applied, so the measured load doesn't change.
    plans += PlanPlacement(planner, log.state_, load, settings, At(round * 5)).empty() ? 0 : 1;
  }
  BOOST_TEST(plans > 1);
  BOOST_TEST(plans <= 9);
}

// Guards against units that stay on a draining session because no session could receive them when
// the drain began.
BOOST_AUTO_TEST_CASE(PlannerMovesAllUnitsOffDrainingSession) {
  TestLog log = Fleet(1, 12);
  log.Append(SessionDraining{"n0"});
  log.Append(Join("n1", "d1"));
  PlannerState planner;
  BOOST_TEST(Execute(log, PlanPlacement(planner, log.state_, {}, {}, At(0))) == 12U);
  BOOST_TEST(CountUnits(log.state_, "n1") == 12U);
}

// Guards against moving a whole shard because of one hot key: the key must get an override, and
// then at most five moves must balance the service.
BOOST_AUTO_TEST_CASE(HotKeyGetsOverrideBeforeMovesArePlanned) {
  TestLog log = Fleet(2, 20);
  PlannerState planner;
  MeasuredLoad load = EvenLoad(20, 10);
  load.units_[{"s", 0}] = 110;
  load.hot_keys_[{"s", 40}] = 100;
  const auto plan = PlanPlacement(planner, log.state_, load, {}, At(0));
  BOOST_REQUIRE(plan.size() == 1U);
  BOOST_REQUIRE(std::holds_alternative<KeySplit>(plan[0]));
  Execute(log, plan);
  load.units_[{"s", 0}] = 10;
  const auto next = PlanPlacement(planner, log.state_, load, {}, At(5));
  BOOST_REQUIRE(next.size() == 1U);
  BOOST_REQUIRE(std::holds_alternative<MovesStarted>(next[0]));
  const auto& moves = std::get<MovesStarted>(next[0]).moves_;
  BOOST_TEST(moves.size() <= 5U);
  Execute(log, next);
  BOOST_TEST(Imbalance(log.state_, "s", load) <= 1.25);
}

// Guards against overrides that stay after the load of their key has fallen, and against merges
// before any load has been reported.
BOOST_AUTO_TEST_CASE(OverrideWithoutLoadIsMerged) {
  TestLog log = Fleet(2, 20);
  log.Append(KeySplit{"s", 40, UnitAt(log.state_, 0).token_});
  PlannerState planner;
  BOOST_TEST(PlanPlacement(planner, log.state_, {}, {}, At(0)).empty());
  const auto plan = PlanPlacement(planner, log.state_, EvenLoad(20, 10), {}, At(5));
  BOOST_REQUIRE(plan.size() == 1U);
  BOOST_TEST(std::holds_alternative<KeyMerged>(plan[0]));
  Execute(log, plan);
  BOOST_TEST(log.state_.services_.at("s").overrides_.empty());
}

// Guards against two sessions that plan at the same time.
BOOST_AUTO_TEST_CASE(ActiveSessionWithLowestIdIsPlanner) {
  TestLog log;
  BOOST_TEST(PlannerSession(log.state_).empty());
  log.Append(Join("n2", "a"));
  log.Append(Join("n1", "b"));
  BOOST_TEST(PlannerSession(log.state_) == "n1");
}

}  // namespace
}  // namespace sassafrasbay::testing
