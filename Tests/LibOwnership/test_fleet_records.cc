#include <boost/test/unit_test.hpp>

#include "LibOwnership/fleet_records.h"
#include "LibOwnership/key_table_codec.h"

namespace sassafrasbay {
namespace {

KeyTable MakeTable(const std::string& service, std::uint64_t version, std::size_t ranges) {
  KeyTable table{service, version, {}};
  for (std::size_t i = 0; i < ranges; ++i) {
    const auto first = static_cast<ShardKey>(i * 10);
    table.ranges_.push_back(
        {first, first + 9, version, {"10.0.0.1:7620", "i-" + std::to_string(i), 1}, {}, false, {}});
  }
  return table;
}

BOOST_AUTO_TEST_SUITE(FleetRecord)

// Load: at 195 VMs a snapshot is published for each heartbeat and each change. Guards against
// copying tables and registrations that haven't changed.
BOOST_AUTO_TEST_CASE(CopiesShareWhatHasNotChanged) {
  FleetRecords records;
  SetTable(records, MakeTable("booking", 1, 400));
  SetTable(records, MakeTable("lookup", 1, 400));
  SetNodeRecord(records, "node/10.0.0.1:7620", "{}");
  const FleetRecords copy = records;
  SetTable(records, MakeTable("lookup", 2, 400));
  BOOST_TEST(FindTable(copy, "booking") == FindTable(records, "booking"));
  BOOST_TEST(copy.node_records_.get() == records.node_records_.get());
  BOOST_TEST(FindTable(copy, "lookup")->version_ == 1U);
  BOOST_TEST(FindTable(records, "lookup")->version_ == 2U);
  SetNodeRecord(records, "node/10.0.0.1:7620", "");
  BOOST_TEST(records.node_records_->empty());
  BOOST_TEST(copy.node_records_->size() == 1U);
}

// Guards against a node that learns less from another node than from the store.
BOOST_AUTO_TEST_CASE(EncodedRecordsHoldTablesAndRegistrations) {
  FleetRecords records;
  SetTable(records, MakeTable("booking", 7, 3));
  SetTable(records, {"not-written", 7, {}});
  SetNodeRecord(records, "node/10.0.0.1:7620", "{\"life\":\"a\"}");
  const auto encoded = EncodeRecords(records);
  BOOST_REQUIRE(encoded.size() == 2U);
  BOOST_TEST(encoded[0].second == "{\"life\":\"a\"}");
  BOOST_TEST(encoded[1].first == "table/booking");
  BOOST_TEST((DecodeKeyTable(encoded[1].second).value() == MakeTable("booking", 7, 3)));
  BOOST_TEST(FindTable(records, "other") == nullptr);
}

BOOST_AUTO_TEST_CASE(OnlySoundNodeRecordsAreDecoded) {
  const auto record = DecodeNodeRecord(EncodeNodeRecord({"dc-1", "a1", {}}));
  BOOST_REQUIRE(record.has_value());
  BOOST_TEST(record.value().data_centre_ == "dc-1");
  BOOST_TEST(record.value().incarnation_id_ == "a1");
  BOOST_TEST(!record.value().leaving_.has_value());
  for (const char* text :
       {"", "[]", "{}", "{\"data_centre\":\"dc-1\"}", "{\"data_centre\":7,\"life\":\"a\"}",
        "{\"data_centre\":\"dc-1\",\"life\":null}",
        "{\"data_centre\":\"dc-1\",\"life\":\"a\",\"leaving\":\"i-1\"}",
        "{\"data_centre\":\"dc-1\",\"life\":\"a\",\"leaving\":7,\"leaving_born\":7}",
        "{\"data_centre\":\"dc-1\",\"life\":\"a\",\"leaving\":\"i\",\"leaving_born\":\"7\"}"}) {
    BOOST_TEST(!DecodeNodeRecord(text).has_value(), text);
  }
}

// Guards against a process that ends because another node names an id that is not UTF-8.
BOOST_AUTO_TEST_CASE(AnIdThatIsNoTextIsEncoded) {
  const std::string text = EncodeNodeRecord({"dc", "life", LeavingUpstream{"i-\xff", 1}});
  BOOST_TEST(DecodeNodeRecord(text).has_value());
}

BOOST_AUTO_TEST_CASE(RegistrationsKeepTheUpstreamThatLeaves) {
  const LeavingUpstream leaving{"i-1", 100};
  const auto record = DecodeNodeRecord(EncodeNodeRecord({"dc-1", "a1", leaving}));
  BOOST_REQUIRE(record.has_value());
  BOOST_TEST((record.value().leaving_ == leaving));
  BOOST_TEST(Covers(leaving, "i-1", 99));
  BOOST_TEST(Covers(leaving, "i-1", 100));
  BOOST_TEST(!Covers(leaving, "i-1", 101));
  BOOST_TEST(!Covers(leaving, "i-2", 100));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sassafrasbay
