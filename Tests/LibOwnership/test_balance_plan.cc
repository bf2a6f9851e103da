#include <boost/test/unit_test.hpp>

#include "LibOwnership/ownership_fixtures.h"

namespace sassafrasbay {
namespace {

UpstreamDemand Demand(const std::string& node, double capacity, ShardKey first,
                      const std::vector<double>& rates) {
  UpstreamDemand demand{HolderAt(node), capacity, {}};
  for (const double rate : rates) {
    demand.pieces_.push_back({{first, first + 9}, rate});
    first += 10;
  }
  return demand;
}

/// Utilization of each upstream after the moves, by node.
std::map<std::string, double> UtilizationAfter(const std::vector<UpstreamDemand>& upstreams,
                                               const std::vector<PlannedMove>& moves) {
  std::map<std::string, double> capacity;
  std::map<std::string, double> rate;
  for (const UpstreamDemand& upstream : upstreams) {
    capacity[upstream.holder_.node_] = upstream.capacity_per_second_;
    for (const KeyDemand& piece : upstream.pieces_) {
      std::string node = upstream.holder_.node_;
      for (const PlannedMove& move : moves) {
        if (move.keys_ == piece.keys_) {
          node = move.successor_.node_;
        }
      }
      rate[node] += piece.per_second_;
    }
  }
  for (auto& [node, use] : rate) {
    use /= capacity[node];
  }
  return rate;
}

BOOST_AUTO_TEST_SUITE(BalancePlan)

// Guards against an overloaded upstream when adjacent keys that it owns get most of the requests.
BOOST_AUTO_TEST_CASE(HotAdjacentKeysAreSpreadOverAllUpstreams) {
  const std::vector<UpstreamDemand> upstreams = {
      Demand("a", 100, 0, std::vector<double>(16, 12.0)),
      Demand("b", 100, 1000, std::vector<double>(4, 8.0)),
      Demand("c", 100, 2000, std::vector<double>(4, 8.0))};
  const std::vector<PlannedMove> moves = PlanBalance(upstreams);
  for (const auto& [node, use] : UtilizationAfter(upstreams, moves)) {
    BOOST_TEST(use < 1.0, node);
  }
}

// Guards against planning by the number of requests alone: the upstreams of one service can differ
// in speed by more than a factor of two.
BOOST_AUTO_TEST_CASE(AnUpstreamOfHigherCapacityGetsMoreDemand) {
  const std::vector<UpstreamDemand> upstreams = {
      Demand("slow", 80, 0, std::vector<double>(16, 6.0)),
      Demand("fast", 200, 1000, std::vector<double>(16, 4.0))};
  const std::map<std::string, double> use = UtilizationAfter(upstreams, PlanBalance(upstreams));
  BOOST_TEST(use.at("slow") < 0.75);
  BOOST_TEST(use.at("fast") < 0.75);
}

BOOST_AUTO_TEST_CASE(NothingMovesBelowTheRebalanceThreshold) {
  const std::vector<UpstreamDemand> upstreams = {Demand("a", 100, 0, std::vector<double>(8, 5.0)),
                                                 Demand("b", 100, 1000, {1.0})};
  BOOST_TEST(PlanBalance(upstreams).empty());
}

// Guards against useless moves when there are more requests than all upstreams together can serve.
BOOST_AUTO_TEST_CASE(NothingMovesWhileAllUpstreamsAreSaturated) {
  const std::vector<UpstreamDemand> upstreams = {
      Demand("a", 100, 0, std::vector<double>(16, 12.0)),
      Demand("b", 100, 1000, std::vector<double>(16, 6.5))};
  BOOST_TEST(PlanBalance(upstreams).empty());
}

// Guards against moving a single hot key back and forth: a key can't be divided, and each move
// would only leave it unserved for a time.
BOOST_AUTO_TEST_CASE(ASingleHotKeyIsNotMoved) {
  const std::vector<UpstreamDemand> upstreams = {Demand("a", 100, 0, {150.0}),
                                                 Demand("b", 100, 1000, {10.0})};
  BOOST_TEST(PlanBalance(upstreams).empty());
}

// Guards against planning that stops at an upstream with a single hot key. When one key gets a
// fifth of all requests, its upstream keeps the highest utilization; keys of other upstreams that
// become hot were then not moved.
BOOST_AUTO_TEST_CASE(ASingleHotKeyDoesNotPreventBalancingOfOtherUpstreams) {
  const std::vector<UpstreamDemand> upstreams = {
      Demand("hot", 100, 0, {268.0}), Demand("busy", 100, 1000, std::vector<double>(16, 12.0)),
      Demand("c", 100, 2000, {20.0, 20.0}), Demand("d", 100, 3000, {20.0, 20.0})};
  const std::map<std::string, double> use = UtilizationAfter(upstreams, PlanBalance(upstreams));
  BOOST_TEST(use.at("busy") < 1.0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sassafrasbay
