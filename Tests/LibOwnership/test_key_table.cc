#define BOOST_TEST_MODULE Ownership
#include <boost/test/unit_test.hpp>

#include "LibOwnership/key_table_codec.h"
#include "LibOwnership/ownership_fixtures.h"

namespace sassafrasbay {
namespace {

BOOST_AUTO_TEST_SUITE(KeyTables)

BOOST_AUTO_TEST_CASE(FindsTheRangeOfAKeyIncludingItsEnds) {
  const KeyTable table{
      "lookup", 1, {RangeOf(10, 19, HolderAt("a")), RangeOf(30, 30, HolderAt("b"))}};
  BOOST_TEST(FindRange(table, 9) == nullptr);
  BOOST_TEST(FindRange(table, 10)->owner_.node_ == "a");
  BOOST_TEST(FindRange(table, 19)->owner_.node_ == "a");
  BOOST_TEST(FindRange(table, 20) == nullptr);
  BOOST_TEST(FindRange(table, 30)->owner_.node_ == "b");
  BOOST_TEST(FindRange(table, 31) == nullptr);
}

BOOST_AUTO_TEST_CASE(ListsKeysWithoutAnOwnerAtBothEnds) {
  const KeyTable table{"lookup", 1, {RangeOf(10, 19, HolderAt("a"))}};
  const std::vector<KeySpan> gaps = UnownedKeys(table);
  BOOST_REQUIRE(gaps.size() == 2);
  BOOST_TEST((gaps[0] == KeySpan{0, 9}));
  BOOST_TEST((gaps[1] == KeySpan{20, kLastShardKey}));
}

BOOST_AUTO_TEST_CASE(JoinsOnlyNeighboursWithTheSameTokenAndOwner) {
  KeyTable table{"lookup", 1, {}};
  table.ranges_ = {RangeOf(0, 9, HolderAt("a"), 3), RangeOf(10, 19, HolderAt("a"), 3),
                   RangeOf(20, 29, HolderAt("a"), 4), RangeOf(30, 39, HolderAt("b"), 4)};
  JoinNeighbours(table);
  BOOST_REQUIRE(table.ranges_.size() == 3);
  BOOST_TEST(table.ranges_[0].last_ == 19);
}

BOOST_AUTO_TEST_CASE(ReadsBackWhatItWrites) {
  KeyTable table = EvenTable({HolderAt("a"), HolderAt("b")});
  table.ranges_[0].successor_ = HolderAt("b");
  table.ranges_[0].planned_ = true;
  table.ranges_[1].handover_ = "5c0e";
  const Result<KeyTable> read = DecodeKeyTable(EncodeKeyTable(table));
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST((read.value() == table));
}

// A table of another writer must not name an owner.
BOOST_AUTO_TEST_CASE(RefusesTextThatIsNoTable) {
  const std::string good = EncodeKeyTable(EvenTable({HolderAt("a"), HolderAt("b")}));
  KeyTable overlapping = EvenTable({HolderAt("a"), HolderAt("b")});
  overlapping.ranges_[1].first_ = 5;
  for (const std::string& text :
       {std::string(), std::string("[]"), good.substr(0, good.size() / 2),
        std::string(R"({"service":"s","version":"x","ranges":[]})"), EncodeKeyTable(overlapping)}) {
    BOOST_TEST(!DecodeKeyTable(text).has_value());
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sassafrasbay
