#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <optional>

#include "LibOwnership/history_settlement.h"
#include "LibOwnership/key_table_codec.h"
#include "LibOwnership/ownership_fixtures.h"

namespace sassafrasbay {
namespace {

const std::string kTableKey = std::string(kTablePrefix) + "lookup";

KeyTable TableOfEra(std::uint64_t era, const std::vector<Holder>& holders) {
  KeyTable table = EquallyDividedTable(holders);
  table.version_ = FirstTableVersion(era) + 7;
  for (KeyRange& range : table.ranges_) {
    range.token_ = FirstTableVersion(era) + 3;
  }
  return table;
}

FleetRecords KnownRecords() {
  FleetRecords records;
  SetTable(records, TableOfEra(1, {HolderAt("a"), HolderAt("b")}));
  SetNodeRecord(records, "node/a", "1");
  SetNodeRecord(records, "node/b", "2");
  return records;
}

/// Applies appended records to stored ones.
StoredRecords Apply(StoredRecords stored, const RecordList& written) {
  for (const auto& [key, value] : written) {
    if (value.empty()) {
      stored.erase(key);
    } else {
      stored[key] = value;
    }
  }
  return stored;
}

/// The view of node "b", which is known to all and sees era 2 since At(0).
SettlementView ViewAt(std::int64_t now_ms) {
  SettlementView view;
  view.self_ = "b";
  view.now_ = At(now_ms);
  view.seen_at_ = At(0);
  view.registered_ = At(-60'000);
  view.tables_end_ = {1, 40};
  return view;
}

BOOST_AUTO_TEST_SUITE(HistorySettlement)

// Guards against two owners after a restore (OWNER): a process that has just started took the table
// of before the lost moves for the newest one.
BOOST_AUTO_TEST_CASE(ARestoredCopyIsNotSettled) {
  StoredRecords stored{{HistoryKey(1), "a"},
                       {"node/a", "1"},
                       {kTableKey, EncodeKeyTable(TableOfEra(1, {HolderAt("a")}))}};
  BOOST_TEST(IsSettled(stored, 1));
  BOOST_TEST(!IsSettled(stored, 2));
  BOOST_TEST(!IsSettled({}, 2));
  // Nor is one with a table that a late append of the former era has written.
  stored[HistoryKey(2)] = "a";
  BOOST_TEST(!IsSettled(stored, 2));
  stored[kTableKey] = EncodeKeyTable(TableOfEra(2, {HolderAt("a")}));
  BOOST_TEST(IsSettled(stored, 2));
  // Records that can't be read are another writer's.
  stored[kTableKey + "2"] = "junk";
  BOOST_TEST(IsSettled(stored, 2));
}

// Guards against records that stay lost, and against records that were removed and come back.
BOOST_AUTO_TEST_CASE(AllThatIsKnownIsWrittenAgain) {
  const FleetRecords known = KnownRecords();
  const StoredRecords stored{{HistoryKey(1), "a"},
                             {"node/a", "0"},
                             {"node/removed", "3"},
                             {kTableKey, EncodeKeyTable(TableOfEra(1, {HolderAt("z")}))}};
  const StoredRecords settled = Apply(stored, SettlementRecords(&known, stored, 2, "b"));
  BOOST_TEST(IsSettled(settled, 2));
  BOOST_TEST(settled.size() == 4U);
  BOOST_TEST(settled.at("node/a") == "1");
  BOOST_TEST(settled.at("node/b") == "2");
  BOOST_TEST(settled.at(HistoryKey(2)) == "b");
  const KeyTable table = DecodeKeyTable(settled.at(kTableKey)).value();
  BOOST_REQUIRE(table.ranges_.size() == 2U);
  BOOST_TEST((table.ranges_[0].owner_ == HolderAt("a")));
  BOOST_TEST((table.ranges_[1].owner_ == HolderAt("b")));
}

// Guards against a token that isn't above all that were given: those of the lost history may be
// known to nobody.
BOOST_AUTO_TEST_CASE(TokensOfALaterEraAreAboveAllEarlierOnes) {
  const KeyTable lost = TableOfEra(1, {HolderAt("c")});
  const StoredRecords stored{{kTableKey, EncodeKeyTable(TableOfEra(1, {HolderAt("a")}))}};
  const StoredRecords settled = Apply(stored, SettlementRecords(nullptr, stored, 2, "b"));
  const KeyTable table = DecodeKeyTable(settled.at(kTableKey)).value();
  BOOST_TEST(IsSettled(settled, 2));
  BOOST_TEST((table.ranges_[0].owner_ == HolderAt("a")));
  BOOST_TEST(table.ranges_[0].token_ > FirstTableVersion(2));
  BOOST_TEST(table.ranges_[0].token_ > lost.version_ + 1'000'000);
  BOOST_TEST(table.ranges_[0].token_ == table.version_);
}

// Guards against two owners: the grants that rest on lost records must have ended.
BOOST_AUTO_TEST_CASE(SettlingWaitsForTheGrantsOfLostRecords) {
  BOOST_TEST(!ShouldSettle(ViewAt(kTakeoverDelay.count())));
  BOOST_TEST(ShouldSettle(ViewAt(kTakeoverDelay.count() + 1)));
  // Owners that don't know this node renew by promises without asking it.
  for (const auto& registered : {std::optional<BootTime>(), std::optional(At(-1))}) {
    SettlementView view = ViewAt(kNewNodeTakeoverDelay.count() - 1);
    view.registered_ = registered;
    BOOST_TEST(!ShouldSettle(view));
    view.now_ = At(kNewNodeTakeoverDelay.count() + 1);
    BOOST_TEST(ShouldSettle(view));
  }
}

BOOST_AUTO_TEST_CASE(AnIsolatedNodeSettlesNothing) {
  SettlementView view = ViewAt(60'000);
  view.is_isolated_ = true;
  BOOST_TEST(!ShouldSettle(view));
}

// Guards against the loss of a change that another node still knows.
BOOST_AUTO_TEST_CASE(ANodeThatKnowsMoreIsWaitedFor) {
  SettlementView view = ViewAt(kNewNodeTakeoverDelay.count() - 1);
  view.peers_ = {{"c", {1, 41}, true, true}};
  BOOST_TEST(!ShouldSettle(view));
  // What it knows is void by then.
  view.now_ = At(kNewNodeTakeoverDelay.count() + 1);
  BOOST_TEST(ShouldSettle(view));
}

// Guards against as many appends as there are nodes, of which all but one conflict.
BOOST_AUTO_TEST_CASE(NodesWithLowerAddressesSettleFirst) {
  const std::int64_t earliest = kTakeoverDelay.count() + 1;
  const auto settles = [&](const SettlementPeer& peer) {
    SettlementView view = ViewAt(earliest);
    view.peers_ = {peer};
    return ShouldSettle(view);
  };
  BOOST_TEST(!settles({"a", {1, 40}, true, true}));
  BOOST_TEST(settles({"c", {1, 40}, true, true}));
  // These can't settle now.
  BOOST_TEST(settles({"a", {1, 40}, false, true}));
  BOOST_TEST(settles({"a", {1, 40}, true, false}));
  BOOST_TEST(settles({"a", {1, 39}, true, true}));
  SettlementView view = ViewAt(earliest + 600);
  view.peers_ = {{"a", {1, 40}, true, true}};
  BOOST_TEST(ShouldSettle(view));
}

// Guards against two owners: the earlier process of this node may have taken over keys, and only
// its upstream knows.
BOOST_AUTO_TEST_CASE(ANewProcessPromisesOnlyIfItsUpstreamHoldsNothingElse) {
  const FleetRecords known = KnownRecords();
  UpstreamRegistry registry;
  registry.self_ = "a";
  BOOST_TEST(!MayPromiseUnregistered(registry, known));
  const auto may_promise_with = [&](std::vector<HeldRange> held) {
    UpstreamHeartbeat heartbeat;
    heartbeat.instance_ = HolderAt("a").instance_;
    heartbeat.born_ms_ = HolderAt("a").born_ms_;
    heartbeat.service_ = "lookup";
    heartbeat.sequence_ = registry.newest_ ? registry.newest_->sequence_ + 1 : 1;
    heartbeat.held_ = std::move(held);
    RecordHeartbeat(registry, heartbeat, At(0), Arbiter::kPort);
    return MayPromiseUnregistered(registry, known);
  };
  const ShardKey half = (kLastShardKey + 1) / 2;
  BOOST_TEST(may_promise_with({}));
  BOOST_TEST(may_promise_with({{{0, half - 1}, 3, {}}}));
  BOOST_TEST(!may_promise_with({{{0, half}, 3, {}}}));
  BOOST_TEST(!may_promise_with({{{half, kLastShardKey}, 9, {}}}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sassafrasbay
