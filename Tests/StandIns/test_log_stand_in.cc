#define BOOST_TEST_MODULE LogStandIn
#include <boost/test/unit_test.hpp>
#include <future>

#include "harness/process.h"
#include "harness/support.h"

using namespace sassafrasbay;  // NOLINT(google-build-using-namespace)
using namespace harness;       // NOLINT(google-build-using-namespace)
using nlohmann::json;

namespace {

struct LogFixture {
  LogFixture() {
    const std::vector<std::string> options = {"--port=" + std::to_string(port_)};
    process_ =
        Process::Start(SASSAFRASBAY_STAND_INS "/log_stand_in", options, directory_.Path() / "log")
            .value();
    BOOST_REQUIRE(WaitUntil([&] { return CallStatus(port_, "GET", "/offsets") == 200; }));
  }

  int Append(std::string_view bytes) const { return CallStatus(port_, "POST", "/append", bytes); }
  int SetFaults(const json& faults) const {
    return CallStatus(port_, "POST", "/-/faults", faults.dump());
  }
  json Records() const { return GetJson(port_, "/-/records"); }

  TemporaryDirectory directory_;
  std::uint16_t port_ = FreePort();
  std::unique_ptr<Process> process_;
};

json Read(std::uint16_t port, const std::string& query) {
  const auto response = Call(port, {"GET", "/records?" + query, {}, {}}, std::chrono::seconds(20));
  BOOST_REQUIRE(response);
  BOOST_REQUIRE(response.value().status_ == 200);
  return json::from_cbor(response.value().body_);
}

}  // namespace

BOOST_AUTO_TEST_CASE(AppendedRecordsAreReadInOrder) {
  const LogFixture log;
  const std::string binary("\x00\xff\x01", 3);
  const auto response = Call(log.port_, {"POST", "/append", {}, binary});
  BOOST_REQUIRE(response);
  BOOST_TEST(json::parse(response.value().body_)["offset"] == 0);
  BOOST_TEST(log.Append("second") == 200);
  BOOST_TEST(log.Append("third") == 200);
  const json batch = Read(log.port_, "from=0&max=2");
  BOOST_TEST(batch["first"] == 0);
  BOOST_TEST(batch["next"] == 2);
  BOOST_REQUIRE(batch["records"].size() == 2U);
  BOOST_TEST(batch["records"][0][0] == 0);
  const json expected = json::binary({0x00, 0xff, 0x01});
  BOOST_TEST((batch["records"][0][1] == expected));
  BOOST_TEST(Read(log.port_, "from=2&max=2")["records"].size() == 1U);
  BOOST_TEST(log.Records()[0]["bytes"] == "00ff01");
}

// A long poll must not block the loop, which serves all other readers and writers.
BOOST_AUTO_TEST_CASE(WaitingReadIsAnsweredByAppend) {
  const LogFixture log;
  auto read = std::async(std::launch::async,
                         [&] { return Read(log.port_, "from=0&wait_ms=15000&max=10"); });
  BOOST_TEST((read.wait_for(milliseconds(300)) == std::future_status::timeout));
  BOOST_TEST(log.Append("record") == 200);
  BOOST_REQUIRE((read.wait_for(std::chrono::seconds(5)) == std::future_status::ready));
  BOOST_TEST(read.get()["records"].size() == 1U);
}

BOOST_AUTO_TEST_CASE(WaitingReadIsEmptyAfterItsTimeout) {
  const LogFixture log;
  const json batch = Read(log.port_, "from=0&wait_ms=200");
  BOOST_TEST(batch["next"] == 0);
  BOOST_TEST(batch["records"].empty());
}

BOOST_AUTO_TEST_CASE(OutageAnswersEveryCallWith503) {
  const LogFixture log;
  BOOST_TEST(log.SetFaults({{"outage", true}}) == 200);
  BOOST_TEST(log.Append("lost") == 503);
  BOOST_TEST(CallStatus(log.port_, "GET", "/records?from=0") == 503);
  BOOST_TEST(CallStatus(log.port_, "GET", "/offsets") == 503);
  BOOST_TEST(log.Records().empty());
  BOOST_TEST(log.SetFaults({{"outage", false}}) == 200);
  BOOST_TEST(log.Append("kept") == 200);
}

// After these two faults a writer can't know whether its append took effect.
BOOST_AUTO_TEST_CASE(LostAndDelayedAppendsTakeEffect) {
  const LogFixture log;
  BOOST_TEST(log.SetFaults({{"lose_answers", 1}}) == 200);
  BOOST_TEST(log.Append("a") == 500);
  BOOST_TEST(log.Append("b") == 200);
  BOOST_TEST(log.Records().size() == 2U);
  BOOST_TEST(log.SetFaults({{"delay_effect_ms", 500}}) == 200);
  BOOST_TEST(log.Append("c") == 504);
  BOOST_TEST(log.Records().size() == 2U);
  BOOST_TEST(WaitUntil([&] { return log.Records().size() == 3; }));
}

BOOST_AUTO_TEST_CASE(SlowLogDelaysCalls) {
  const LogFixture log;
  BOOST_TEST(log.SetFaults({{"slow_ms", 400}}) == 200);
  const BootTime start = BootClock::now();
  BOOST_TEST(log.Append("a") == 200);
  BOOST_TEST((BootClock::now() - start >= milliseconds(400)));
}

BOOST_AUTO_TEST_CASE(ReadOfATruncatedOffsetGets410) {
  const LogFixture log;
  for (int record = 0; record < 5; ++record) {
    BOOST_TEST(log.Append("record") == 200);
  }
  BOOST_TEST(log.SetFaults({{"truncate_before", 2}}) == 200);
  BOOST_TEST(CallStatus(log.port_, "GET", "/records?from=1") == 410);
  BOOST_TEST(Read(log.port_, "from=2")["first"] == 2);
  BOOST_TEST(log.SetFaults({{"retain", 1}}) == 200);
  BOOST_TEST(CallStatus(log.port_, "GET", "/records?from=3") == 410);
  BOOST_TEST(log.Append("record") == 200);
  BOOST_TEST(GetJson(log.port_, "/offsets")["first"] == 5);
  BOOST_TEST(log.Records().size() == 6U);
}

BOOST_AUTO_TEST_CASE(MalformedFaultsAreRefused) {
  const LogFixture log;
  BOOST_TEST(CallStatus(log.port_, "POST", "/-/faults", "{") == 400);
  BOOST_TEST(log.SetFaults({{"outage", "yes"}}) == 400);
  BOOST_TEST(log.Append("a") == 200);
}
