#define BOOST_TEST_MODULE UpstreamStandIn
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <thread>

#include "harness/process.h"
#include "harness/support.h"

using namespace sassafrasbay;  // NOLINT(google-build-using-namespace)
using namespace harness;       // NOLINT(google-build-using-namespace)
using nlohmann::json;

namespace {

struct UpstreamFixture {
  explicit UpstreamFixture(std::vector<std::string> options = {}) {
    options.insert(options.end(), {"--port=" + std::to_string(port_),
                                   "--admin-port=" + std::to_string(admin_port_),
                                   "--record-file=" + Records().string()});
    process_ = Process::Start(SASSAFRASBAY_STAND_INS "/upstream_stand_in", options,
                              directory_.Path() / "log")
                   .value();
    BOOST_REQUIRE(WaitUntil([&] { return CallStatus(admin_port_, "GET", "/-/runs") == 200; }));
  }

  std::filesystem::path Records() const { return directory_.Path() / "records"; }
  json Runs() const { return GetJson(admin_port_, "/-/runs"); }

  Result<HttpResponse> Send(std::string directive, HeaderList headers = {}) const {
    headers.emplace_back("Stand-In", std::move(directive));
    headers.emplace_back("Idempotency-Key", "id-1");
    return Call(port_, {"POST", "/lens/key-1?x=1", std::move(headers), "payload"});
  }

  TemporaryDirectory directory_;
  std::uint16_t port_ = FreePort();
  std::uint16_t admin_port_ = FreePort();
  std::unique_ptr<Process> process_;
};

HeaderList Granted(std::uint64_t token, std::int64_t expires_ms) {
  return {{"Sassafrasbay-Unit", "7"},
          {"Sassafrasbay-Token", std::to_string(token)},
          {"Sassafrasbay-Expires-Boottime-Ms", std::to_string(expires_ms)}};
}

std::int64_t InMs(std::int64_t milliseconds) {
  return ToBootMilliseconds(BootClock::now()) + milliseconds;
}

int PutGrant(const UpstreamFixture& upstream, std::uint64_t token, std::int64_t expires_ms) {
  const json body = {{"service", "service"},
                     {"expires_boottime_ms", expires_ms},
                     {"units", {{{"first", 5}, {"last", 9}, {"token", token}}}}};
  return CallStatus(upstream.port_, "PUT", "/-/grants", body.dump());
}

bool IsRefused(const Result<HttpResponse>& response) {
  return response && FindHeader(response.value().headers_, "Sassafrasbay-Outcome") == "not-run";
}

}  // namespace

// Checkers identify an answer by these parts of its body.
BOOST_AUTO_TEST_CASE(AnswerNamesRequestAndRunIsRecorded) {
  const UpstreamFixture upstream;
  const auto response = upstream.Send("", {{"Sassafrasbay-Request-Id", "r-1"}});
  BOOST_REQUIRE(response);
  const json body = json::parse(response.value().body_);
  BOOST_TEST(body["upstream"] == upstream.port_);
  BOOST_TEST(body["key"] == "/lens/key-1");
  BOOST_TEST(body["idempotency_key"] == "id-1");
  BOOST_TEST(body["request_id"] == "r-1");
  BOOST_TEST(body["echo"] == "payload");
  BOOST_TEST(body["writes"] == 1);
  const json runs = upstream.Runs();
  BOOST_REQUIRE(runs.size() == 1U);
  BOOST_TEST(runs[0]["request_id"] == "r-1");
  BOOST_TEST(runs[0]["end_ms"].get<std::int64_t>() >= runs[0]["start_ms"].get<std::int64_t>());
}

// If a crash lost the record of the run that caused it, a second run of the same id would go
// unnoticed.
BOOST_AUTO_TEST_CASE(CrashRecordsRunAndExitsWithCode3) {
  const UpstreamFixture upstream;
  BOOST_TEST(!upstream.Send("crash"));
  BOOST_TEST((upstream.process_->Wait(std::chrono::seconds(10)) == 3));
  std::ifstream records(upstream.Records());
  std::string line;
  BOOST_REQUIRE(std::getline(records, line));
  BOOST_TEST(json::parse(line)["idempotency_key"] == "id-1");
}

// The record of a started run must survive SIGKILL.
BOOST_AUTO_TEST_CASE(KilledUpstreamKeepsRecordOfStartedRun) {
  const UpstreamFixture upstream;
  std::thread caller([&] { (void)upstream.Send("sleep=20000"); });
  BOOST_TEST(WaitUntil([&] { return upstream.Runs().size() == 1; }));
  upstream.process_->Kill();
  caller.join();
  std::ifstream records(upstream.Records());
  std::string line;
  BOOST_REQUIRE(std::getline(records, line));
  BOOST_TEST(json::parse(line)["kind"] == "start");
}

// Tests of invariant 3 need truncated answers: the connection closes after half of the body.
BOOST_AUTO_TEST_CASE(DropAndTruncateRunButGiveNoCompleteAnswer) {
  const UpstreamFixture upstream;
  for (const char* directive : {"drop", "truncate"}) {
    const auto response = upstream.Send(directive);
    BOOST_REQUIRE(!response);
    BOOST_TEST((response.error().code_ == Errc::kConnectionLost));
  }
  BOOST_TEST(upstream.Runs().size() == 2U);
}

// A request that is answered not-run must not have run.
BOOST_AUTO_TEST_CASE(RefusedRequestLeavesNoRun) {
  const UpstreamFixture upstream;
  const auto response = upstream.Send("refuse");
  BOOST_TEST(IsRefused(response));
  BOOST_TEST(response.value().status_ == 503);
  BOOST_TEST(upstream.Runs().empty());
}

BOOST_AUTO_TEST_CASE(FullUpstreamRefusesAndAdminPortStillAnswers) {
  const UpstreamFixture upstream({"--slots=1"});
  std::thread caller([&] { BOOST_TEST(!IsRefused(upstream.Send("sleep=1500"))); });
  BOOST_TEST(WaitUntil([&] { return upstream.Runs().size() == 1; }));
  BOOST_TEST(IsRefused(upstream.Send("")));
  BOOST_TEST(upstream.Runs()[0]["end_ms"].is_null());
  caller.join();
}

// A cancelled request must free its slot well before its processing time ends.
BOOST_AUTO_TEST_CASE(CancelEndsRun) {
  const UpstreamFixture upstream;
  std::thread caller([&] {
    (void)upstream.Send("sleep=60000", {{"Sassafrasbay-Request-Id", "r-9"}});
  });
  BOOST_TEST(WaitUntil([&] { return upstream.Runs().size() == 1; }));
  BOOST_TEST(CallStatus(upstream.port_, "POST", "/-/cancel?request=r-9") == 200);
  BOOST_TEST(WaitUntil([&] { return !upstream.Runs()[0]["end_ms"].is_null(); }));
  caller.join();
}

// The grant check is the last protection against two owners. Each condition is tested on its own.
BOOST_AUTO_TEST_CASE(GrantsAreChecked) {
  const UpstreamFixture upstream({"--checks-grants"});
  BOOST_TEST(IsRefused(upstream.Send("", Granted(10, InMs(60000)))));
  BOOST_TEST(PutGrant(upstream, 10, InMs(60000)) == 200);
  BOOST_TEST(!IsRefused(upstream.Send("", Granted(10, InMs(60000)))));
  BOOST_TEST(IsRefused(upstream.Send("", Granted(9, InMs(60000)))));
  BOOST_TEST(IsRefused(upstream.Send("", Granted(11, InMs(60000)))));
  BOOST_TEST(IsRefused(upstream.Send("", Granted(10, InMs(-1)))));
  BOOST_TEST(IsRefused(upstream.Send("")));
  BOOST_TEST(PutGrant(upstream, 9, InMs(60000)) == 409);
  BOOST_TEST(PutGrant(upstream, 10, InMs(-1)) == 200);
  BOOST_TEST(IsRefused(upstream.Send("", Granted(10, InMs(60000)))));
  BOOST_TEST(upstream.Runs().size() == 1U);
  const json grants = GetJson(upstream.admin_port_, "/-/grants");
  BOOST_REQUIRE(grants.size() == 3U);
  BOOST_TEST(grants[1]["accepted"] == false);
}

// A request that waited in the socket of a paused upstream must be refused after its deadline.
BOOST_AUTO_TEST_CASE(PausedUpstreamRefusesAfterDeadline) {
  const UpstreamFixture upstream({"--checks-grants"});
  BOOST_TEST(PutGrant(upstream, 3, InMs(60000)) == 200);
  upstream.process_->Pause();
  std::thread caller([&] { BOOST_TEST(IsRefused(upstream.Send("", Granted(3, InMs(300))))); });
  std::this_thread::sleep_for(milliseconds(800));
  upstream.process_->Resume();
  caller.join();
  BOOST_TEST(upstream.Runs().empty());
}
