#include <boost/test/unit_test.hpp>
#include <string>

#include "platform/duration_text.h"
#include "platform/heartbeat_codec.h"

namespace sassafrasbay::platform {
namespace {

constexpr std::string_view kHeartbeat =
    R"({"addr":"10.1.0.9:8080","born":1700000000123,
        "info":{"service":"s1","version":"v1","zone":"z","capacity":13},
        "status":{"state":"ready","sequence":4,"cold-left":"250ms"},
        "holds":[[0,4095,7]],"freed":[[4096,8191,"5c0e"]]})";

BOOST_AUTO_TEST_SUITE(Heartbeats)

BOOST_AUTO_TEST_CASE(HeartbeatIsDecoded) {
  const auto beat = DecodeHeartbeat("i-1", kHeartbeat);
  BOOST_REQUIRE(beat.has_value());
  BOOST_TEST(beat.value().instance_ == "i-1");
  BOOST_TEST(beat.value().born_ms_ == 1700000000123);
  BOOST_TEST(beat.value().slots_ == 13);
  BOOST_TEST(!beat.value().draining_);
  BOOST_TEST((beat.value().warmup_remaining_ == milliseconds(250)));
  BOOST_REQUIRE(beat.value().held_.size() == 1);
  BOOST_TEST(beat.value().held_[0].token_ == 7);
  BOOST_REQUIRE(beat.value().released_.size() == 1);
  BOOST_TEST(beat.value().released_[0].handover_ == "5c0e");
}

// Guards against invalid heartbeats being recorded as those of an upstream.
BOOST_AUTO_TEST_CASE(MissingMistypedOrUnknownFieldsAreRejected) {
  const auto with = [](std::string_view from, std::string_view to) {
    std::string text(kHeartbeat);
    text.replace(text.find(from), from.size(), to);
    return text;
  };
  for (const std::string& text : {std::string(),
                                  std::string("null"),
                                  std::string("{\"addr\":1}"),
                                  with("\"ready\"", "\"resting\""),
                                  with("1700000000123", "1700000000123.5"),
                                  with("1700000000123", "\"1700000000123\""),
                                  with("\"service\":\"s1\",", ""),
                                  with("\"born\":1700000000123,", ""),
                                  with("\"version\":\"v1\",", ""),
                                  with("\"version\":\"v1\"", "\"version\":[\"v1\"]"),
                                  with("\"zone\":\"z\",", ""),
                                  with("\"zone\":\"z\"", "\"zone\":null"),
                                  with(",\"capacity\":13", ""),
                                  with("\"sequence\":4,", ""),
                                  with(",\"cold-left\":\"250ms\"", ""),
                                  with("\"250ms\"", "250"),
                                  with("\"250ms\"", "\"soon\""),
                                  with("[[0,4095,7]]", "{}"),
                                  with("[[0,4095,7]]", "null"),
                                  with("[[4096,8191,\"5c0e\"]]", "7"),
                                  with("\"sequence\":4", "\"sequence\":\"4\""),
                                  with("[0,4095,7]", "[4095,0,7]"),
                                  with("[0,4095,7]", "[0,65536,7]"),
                                  with("[0,4095,7]", "[0,4095]")}) {
    BOOST_TEST(!DecodeHeartbeat("i-1", text).has_value(), text);
  }
}

// Guards against a heartbeat without the lists of keys, as upstreams without keys send it, that
// can't be told from one of an upstream that holds none.
BOOST_AUTO_TEST_CASE(MissingListsOfKeysAreReported) {
  BOOST_TEST(DecodeHeartbeat("i-1", kHeartbeat).value().lists_keys_);
  for (const std::string_view list :
       {",\n        \"holds\":[[0,4095,7]]", ",\"freed\":[[4096,8191,\"5c0e\"]]"}) {
    std::string text(kHeartbeat);
    text.erase(text.find(list), list.size());
    const auto heartbeat = DecodeHeartbeat("i-1", text);
    BOOST_REQUIRE(heartbeat.has_value());
    BOOST_TEST(!heartbeat.value().lists_keys_);
  }
}

// Guards against an entry of another writer that ends the process, or is taken for an upstream,
// since it is nested very deeply or has a number that doesn't fit.
BOOST_AUTO_TEST_CASE(OddNumbersAndNestingAreRejected) {
  const auto with = [](std::string_view from, std::string_view to) {
    std::string text(kHeartbeat);
    text.replace(text.find(from), from.size(), to);
    return text;
  };
  constexpr std::size_t kDepth = 200'000;
  const std::string nested = std::string(kDepth, '[') + std::string(kDepth, ']');
  for (const std::string& text :
       {nested, std::string(kDepth, '['), with("13", nested), with("[[0,4095,7]]", nested),
        with("13", "1e30"), with("13", "1e999"), with("13", "4294967309"), with("13", "-1"),
        with("13", "13.5"), with("1700000000123", "18446744073709551615"),
        with("\"sequence\":4", "\"sequence\":-4"), with("\"sequence\":4", "\"sequence\":1e30"),
        with("[0,4095,7]", "[4294967296,4095,7]"), with("[0,4095,7]", "[0,4095,-7]"),
        with("[4096,8191,", "[4096.5,8191,")}) {
    BOOST_TEST(!DecodeHeartbeat("i-1", text).has_value(), text.substr(0, 200));
  }
}

BOOST_AUTO_TEST_CASE(AnswerWithoutGrantDurationHasNoHolds) {
  BOOST_TEST(EncodeHeartbeatAnswer({}) == "{}");
  HeartbeatAnswer answer;
  answer.grant_duration_ = milliseconds(4000);
  BOOST_TEST(EncodeHeartbeatAnswer(answer) == R"({"hold_time":"4000ms","holds":[]})");
  answer.ranges_ = {{{0, 9}, 7, "ab"}};
  BOOST_TEST(EncodeHeartbeatAnswer(answer) == R"({"hold_time":"4000ms","holds":[[0,9,7,"ab"]]})");
}

BOOST_AUTO_TEST_CASE(InstancePathsAreParsed) {
  const auto beat = ParseInstancePath("/-/instances/i-1/heartbeat");
  BOOST_REQUIRE(beat.has_value());
  BOOST_TEST(beat->instance_ == "i-1");
  BOOST_TEST(!beat->is_leave_);
  BOOST_TEST(ParseInstancePath("/-/instances/i-1/leave")->is_leave_);
  for (const std::string_view path :
       {"/-/instances/i-1", "/-/instances//leave", "/-/instances/i-1/other", "/-/ready", "/",
        "/-/instances/i-\xff/leave", "/-/instances/\xc3\xa9/leave", "/-/instances/i 1/leave"}) {
    BOOST_TEST(!ParseInstancePath(path).has_value(), path);
  }
}

BOOST_AUTO_TEST_CASE(DurationsAreParsed) {
  BOOST_TEST((ParseDuration("1500ms") == milliseconds(1500)));
  BOOST_TEST((ParseDuration("2.5s") == milliseconds(2500)));
  for (const std::string_view text : {"", "ms", "5", "-1s", "1 s", "1sx", "1e400s", "nans"}) {
    BOOST_TEST(!ParseDuration(text).has_value(), text);
  }
}

BOOST_AUTO_TEST_CASE(LeavesMayStateTheStart) {
  BOOST_TEST((DecodeLeaveBorn(R"({"born":1700000000000})") == 1700000000000));
  for (const char* body :
       {"", "{}", "[]", R"({"born":"x"})", R"({"born":-1})", R"({"born":1.5})"}) {
    BOOST_TEST(!DecodeLeaveBorn(body).has_value(), body);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sassafrasbay::platform
