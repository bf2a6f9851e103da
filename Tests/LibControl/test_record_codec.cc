#define BOOST_TEST_MODULE RecordCodec
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <random>

#include "LibControl/control_fixtures.h"
#include "LibControl/record_codec.h"

namespace sassafrasbay::testing {
namespace {

constexpr std::uint64_t kSeed = 20260104;

std::vector<RecordBody> AllBodies() {
  SessionJoined join = Join("s1", "a");
  join.checks_grants_ = true;
  join.based_on_ = 77;
  return {ConfigurationPublished{3, "operator", {{"f.toml", "text \xC3\xA9"}}},
          join,
          SessionRenewed{"s1", 2},
          LapseAttested{"s1", 2, "s2"},
          SessionDraining{"s1"},
          SessionEnded{"s1"},
          MovesStarted{{{{"s", 1}, "s1", "s2", 9}}, "reason"},
          MovesCompleted{"s2", {{{"s", 1}, 10}}},
          KeySplit{"s", 0xFFFFFFFFFFFFFFFFU, 4},
          KeyMerged{"s", 5, 6},
          Checkpoint{12, std::string("\0\xFF\x80", 3)}};
}

ControlState StateWithAllParts() {
  TestLog log;
  log.Publish({ServiceFile("s", 4)});
  log.Append(Join("s1", "a"));
  log.Append(Join("s2", "b"));
  log.Append(Join("s3", "c"));
  log.Append(MovesStarted{{{{"s", 1}, "s1", "s2", UnitAt(log.state_, 1).token_}}, "test"});
  log.Append(KeySplit{"s", 4, UnitAt(log.state_, 0).token_});
  log.Append(SessionEnded{"s3"});
  return log.state_;
}

/// Returns the error code of a result; a default code when it has a value.
template <typename T>
std::error_code ErrorCodeOf(const Result<T>& result) {
  return result.has_error() ? result.error().code_ : std::error_code();
}

// Guards against a field that is encoded and not decoded, or the reverse.
BOOST_AUTO_TEST_CASE(RecordsRoundTrip) {
  for (const RecordBody& body : AllBodies()) {
    const std::string bytes = EncodeRecord({"id", kRulesVersion, body});
    const Result<Record> record = DecodeRecord(bytes);
    BOOST_REQUIRE(record.has_value());
    BOOST_TEST(record.value().body_.index() == body.index());
    BOOST_TEST(record.value().id_ == "id");
    BOOST_TEST(EncodeRecord(record.value()) == bytes);
  }
  const auto joined = DecodeRecord(EncodeRecord({"id", kRulesVersion, AllBodies()[1]}));
  BOOST_TEST(std::get<SessionJoined>(joined.value().body_).slots_ == 20U);
  const auto split = DecodeRecord(EncodeRecord({"id", kRulesVersion, AllBodies()[8]}));
  BOOST_TEST(std::get<KeySplit>(split.value().body_).key_hash_ == 0xFFFFFFFFFFFFFFFFU);
}

// Guards against a checkpoint that lacks part of the state, and against a decoded state without the
// parsed configuration.
BOOST_AUTO_TEST_CASE(StateRoundTrips) {
  const ControlState state = StateWithAllParts();
  const std::string bytes = EncodeState(state);
  const Result<ControlState> decoded = DecodeState(bytes);
  BOOST_REQUIRE(decoded.has_value());
  BOOST_TEST(EncodeState(decoded.value()) == bytes);
  BOOST_TEST(decoded.value().next_offset_ == state.next_offset_);
  BOOST_TEST(decoded.value().sessions_.size() == 2U);
  BOOST_TEST(decoded.value().ended_.size() == 1U);
  BOOST_TEST(UnitAt(decoded.value(), 1).move_.has_value());
  BOOST_TEST(decoded.value().services_.at("s").overrides_.size() == 1U);
  BOOST_REQUIRE(FindService(decoded.value().configuration_, "s") != nullptr);
}

// Guards against records of a newer rules version that are reported as malformed, since nodes skip
// malformed records.
BOOST_AUTO_TEST_CASE(NewerRulesAreReported) {
  const std::string newer = EncodeRecord({"id", kRulesVersion + 1, SessionEnded{"s1"}});
  BOOST_TEST(ErrorCodeOf(DecodeRecord(newer)) == make_error_code(Errc::kUnsupportedVersion));
  const auto map = nlohmann::json::to_cbor({{"rules", 9}, {"type", 3}});
  const std::string other(map.begin(), map.end());
  BOOST_TEST(ErrorCodeOf(DecodeRecord(other)) == make_error_code(Errc::kUnsupportedVersion));
  BOOST_TEST(ErrorCodeOf(DecodeState(other)) == make_error_code(Errc::kUnsupportedVersion));
}

// Guards against accepting numbers out of range, wrong types, invalid UTF-8 and missing fields.
BOOST_AUTO_TEST_CASE(WrongFieldsAreMalformed) {
  using nlohmann::json;
  const json good = json::from_cbor(EncodeRecord({"id", kRulesVersion, AllBodies()[1]}));
  const std::vector<std::pair<std::string, json>> changes = {
      {"slots", 1ULL << 32U}, {"slots", -1},        {"slots", 1.5},           {"slots", "20"},
      {"checks_grants", 1},   {"node", "\xC0\x80"}, {"node", "\xED\xA0\x80"}, {"session", nullptr}};
  for (const auto& [field, value] : changes) {
    json bad = good;
    bad["body"][field] = value;
    const auto bytes = json::to_cbor(bad);
    const auto result = DecodeRecord({reinterpret_cast<const char*>(bytes.data()), bytes.size()});
    BOOST_TEST(ErrorCodeOf(result) == make_error_code(Errc::kMalformed),
               field << " " << value.type_name());
  }
  for (const char* field : {"id", "type", "body", "rules"}) {
    json bad = good;
    bad.erase(field);
    const auto bytes = json::to_cbor(bad);
    const auto result = DecodeRecord({reinterpret_cast<const char*>(bytes.data()), bytes.size()});
    BOOST_TEST(ErrorCodeOf(result) == make_error_code(Errc::kMalformed), field);
  }
}

// Guards against stack exhaustion by deep nesting, and against exceptions that the CBOR library
// throws on excessive sizes.
BOOST_AUTO_TEST_CASE(ExcessiveNestingAndSizesAreMalformed) {
  const std::string huge_array("\x9B\xFF\xFF\xFF\xFF\xFF\xFF\xFF\xFF", 9);
  const std::string huge_map("\xBB\x7F\xFF\xFF\xFF\xFF\xFF\xFF\xFF", 9);
  const std::string huge_text("\x7B\x7F\xFF\xFF\xFF\xFF\xFF\xFF\xFF", 9);
  for (const std::string& bytes : {std::string(4U << 20U, '\x81'), std::string(1U << 20U, '\x9F'),
                                   huge_array, huge_map, huge_text, std::string()}) {
    BOOST_TEST(ErrorCodeOf(DecodeRecord(bytes)) == make_error_code(Errc::kMalformed));
    BOOST_TEST(ErrorCodeOf(DecodeState(bytes)) == make_error_code(Errc::kMalformed));
  }
}

// Guards against crashes and exceptions on truncated and corrupted bytes. Whatever decodes must
// encode to bytes that decode again.
BOOST_AUTO_TEST_CASE(CorruptBytesDoNotThrow) {
  BOOST_TEST_MESSAGE("seed " << kSeed);
  std::mt19937_64 random(kSeed);
  std::vector<std::string> samples = {EncodeState(StateWithAllParts())};
  for (const RecordBody& body : AllBodies()) {
    samples.push_back(EncodeRecord({"id", kRulesVersion, body}));
  }
  int decoded = 0;
  for (int round = 0; round < 20'000; ++round) {
    std::string bytes = samples[random() % samples.size()];
    if (random() % 4 == 0) {
      bytes.resize(random() % bytes.size());
    }
    for (std::uint64_t flips = random() % 4; flips > 0 && !bytes.empty(); --flips) {
      bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    const Result<Record> record = DecodeRecord(bytes);
    if (record.has_value()) {
      ++decoded;
      BOOST_REQUIRE(DecodeRecord(EncodeRecord(record.value())).has_value());
    }
    const Result<ControlState> state = DecodeState(bytes);
    if (state.has_value()) {
      BOOST_REQUIRE(DecodeState(EncodeState(state.value())).has_value());
    }
  }
  BOOST_TEST(decoded > 1000);
}

}  // namespace
}  // namespace sassafrasbay::testing
