#include <boost/test/unit_test.hpp>

#include "LibOwnership/ownership_fixtures.h"

namespace sassafrasbay {
namespace {

std::vector<Candidate> EquallyWeighted(const std::vector<std::string>& nodes) {
  std::vector<Candidate> candidates;
  candidates.reserve(nodes.size());
  for (const std::string& node : nodes) {
    candidates.push_back({HolderAt(node), 18});
  }
  return candidates;
}

BOOST_AUTO_TEST_SUITE(TableChanges)

BOOST_AUTO_TEST_CASE(TheFirstAssignmentDividesAllKeysByWeight) {
  std::vector<Candidate> candidates = EquallyWeighted({"a", "b", "c"});
  candidates[2].weight_ = 36;
  const KeyTable table = AssignUnownedKeys({"lookup", 0, {}}, candidates);
  BOOST_TEST(UnownedKeys(table).empty());
  BOOST_TEST(table.ranges_.size() == 3);
  const double heavy = CountOwnedKeys(table, HolderAt("c"));
  BOOST_TEST(heavy > 0.45 * kLastShardKey);
  BOOST_TEST(heavy < 0.55 * kLastShardKey);
}

// Load: a release replaces the upstreams of a service one after the other (14 of 34 on
// teranga-liners-grown). Guards against dividing each range of each leaving owner between all
// others, after which each change of the table takes the nodes tens of milliseconds.
BOOST_AUTO_TEST_CASE(ManyLeavingOwnersKeepTheTableSmall) {
  constexpr std::size_t kUpstreams = 34;
  constexpr std::size_t kLeaving = 14;
  std::vector<std::string> nodes;
  for (std::size_t i = 0; i < kUpstreams; ++i) {
    nodes.push_back("n" + std::to_string(i));
  }
  KeyTable table = AssignUnownedKeys({"lookup", 0, {}}, EquallyWeighted(nodes));
  for (std::size_t i = 0; i < kLeaving; ++i) {
    const std::string leaving = nodes.back();
    nodes.pop_back();
    table = AssignSuccessors(table, HolderAt(leaving), EquallyWeighted(nodes), true);
    const std::vector<ReleasedKeys> all = {{{0, kLastShardKey}, {}}};
    table = ReleaseKeys(table, HolderAt(leaving), all);
  }
  BOOST_TEST(UnownedKeys(table).empty());
  BOOST_TEST(table.ranges_.size() < 4 * kUpstreams);
  for (const std::string& node : nodes) {
    BOOST_TEST(CountOwnedKeys(table, HolderAt(node)) < 1.5 * kLastShardKey / nodes.size());
  }
}

// Guards against fencing tokens that don't increase. An upstream rejects such a token, or a former
// owner can continue to use its own.
BOOST_AUTO_TEST_CASE(EachNewOwnerGetsAHigherToken) {
  KeyTable table = EquallyDividedTable({HolderAt("a"), HolderAt("b")});
  table.version_ = 7;
  const KeyTable replaced = ReplaceOwner(table, HolderAt("a"), EquallyWeighted({"b"}));
  BOOST_TEST(FindRange(replaced, 0)->token_ == 8);
  KeyTable moving = BeginMove(replaced, HolderAt("b"), {100, 199}, HolderAt("c"));
  BOOST_TEST(FindRange(moving, 150)->token_ == 8);
  const std::vector<ReleasedKeys> released = {{{100, 199}, "5c0e"}};
  const KeyTable moved = ReleaseKeys(moving, HolderAt("b"), released);
  BOOST_TEST(FindRange(moved, 150)->token_ == 10);
  BOOST_TEST(FindRange(moved, 150)->owner_.node_ == "c");
  BOOST_TEST(FindRange(moved, 150)->handover_ == "5c0e");
  BOOST_TEST(FindRange(moved, 99)->owner_.node_ == "b");
}

BOOST_AUTO_TEST_CASE(APartlyReleasedMoveContinues) {
  KeyTable moving = BeginMove(EquallyDividedTable({HolderAt("a"), HolderAt("b")}), HolderAt("a"),
                              {100, 199}, HolderAt("b"));
  const std::vector<ReleasedKeys> released = {{{100, 149}, "5c0e"}};
  const KeyTable half = ReleaseKeys(moving, HolderAt("a"), released);
  BOOST_TEST(FindRange(half, 149)->owner_.node_ == "b");
  BOOST_TEST(FindRange(half, 150)->owner_.node_ == "a");
  BOOST_TEST(FindRange(half, 150)->successor_.has_value());
}

BOOST_AUTO_TEST_CASE(OnlyUnplannedMovesAreCancelled) {
  const KeyTable table = EquallyDividedTable({HolderAt("a"), HolderAt("b")});
  const KeyTable suspected = AssignSuccessors(table, HolderAt("a"), EquallyWeighted({"b"}), false);
  BOOST_TEST(SameRanges(CancelUnplannedMoves(suspected, HolderAt("a")), table));
  const KeyTable planned = AssignSuccessors(table, HolderAt("a"), EquallyWeighted({"b"}), true);
  BOOST_TEST(SameRanges(CancelUnplannedMoves(planned, HolderAt("a")), planned));
}

BOOST_AUTO_TEST_CASE(WithoutCandidatesNothingChanges) {
  const KeyTable table = EquallyDividedTable({HolderAt("a")});
  BOOST_TEST(SameRanges(ReplaceOwner(table, HolderAt("a"), {}), table));
  BOOST_TEST(SameRanges(AssignSuccessors(table, HolderAt("a"), {}, true), table));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sassafrasbay
