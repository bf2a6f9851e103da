#define BOOST_TEST_MODULE LoadGenerator
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <map>
#include <set>

#include "StandIns/load_plan.h"
#include "StandIns/load_report.h"
#include "harness/history.h"
#include "harness/process.h"
#include "harness/support.h"

using namespace sassafrasbay;  // NOLINT(google-build-using-namespace)
using namespace harness;       // NOLINT(google-build-using-namespace)
using namespace stand_ins;     // NOLINT(google-build-using-namespace)
using nlohmann::json;

namespace {

constexpr std::size_t kRequests = 200;

struct LoadFixture {
  Process& StartUpstream() {
    const std::vector<std::string> options = {"--port=" + std::to_string(upstream_port_),
                                              "--admin-port=" + std::to_string(FreePort()),
                                              "--record-file=" + (path_ / "records").string()};
    upstream_ =
        Process::Start(SASSAFRASBAY_STAND_INS "/upstream_stand_in", options, path_ / "log").value();
    BOOST_REQUIRE(WaitUntil([&] { return CallStatus(upstream_port_, "GET", "/-/health") == 200; }));
    return *upstream_;
  }

  // Sends 200 requests per second for one second to the upstream and to a port without a server.
  std::vector<AnswerRecord> Run(const json& load_class) {
    const json plan = {{"nodes", {LocalAddress(upstream_port_), LocalAddress(FreePort())}},
                       {"classes", {load_class}},
                       {"requests_per_second", kRequests},
                       {"duration_ms", 1000}};
    std::ofstream(path_ / "plan") << plan.dump();
    const std::vector<std::string> options = {"--plan=" + (path_ / "plan").string(),
                                              "--output=" + (path_ / "answers").string()};
    const auto process =
        Process::Start(SASSAFRASBAY_STAND_INS "/load_generator", options, path_ / "report").value();
    BOOST_REQUIRE((process->Wait(std::chrono::seconds(30)) == 0));
    return ReadAnswers(path_ / "answers");
  }

  TemporaryDirectory directory_;
  std::filesystem::path path_ = directory_.Path();
  std::uint16_t upstream_port_ = FreePort();
  std::unique_ptr<Process> upstream_;
};

LoadPlan MakePlan(const json& load_class) {
  const json plan = {{"nodes", {"127.0.0.1:1"}}, {"classes", {load_class}}};
  return ParseLoadPlan(plan.dump()).value();
}

}  // namespace

// Without a router the upstream sends no outcome header, so each attempt counts as failed and is
// retried with the same id. The checker must report the repeated runs.
BOOST_AUTO_TEST_CASE(BindingRequestsAreRetriedWithTheSameId) {
  LoadFixture load;
  load.StartUpstream();
  const auto answers = load.Run({{"name", "book"},
                                 {"method", "POST"},
                                 {"prefix", "/shift/"},
                                 {"binding", true},
                                 {"deadline_ms", 4000}});
  BOOST_TEST(answers.size() == kRequests);
  const auto runs = ReadRuns(load.path_ / "records");
  BOOST_TEST(runs.size() > kRequests);
  BOOST_TEST(!CheckRunsOnce(runs).empty());
  BOOST_TEST(
      std::ranges::none_of(answers, [](const auto& answer) { return answer.not_run_only_; }));
}

BOOST_AUTO_TEST_CASE(RefusedRequestsAreCountedAsNotRun) {
  LoadFixture load;
  load.StartUpstream();
  const auto answers = load.Run({{"name", "book"},
                                 {"prefix", "/shift/"},
                                 {"deadline_ms", 300},
                                 {"headers", {{"Stand-In", "refuse"}}}});
  BOOST_TEST(answers.size() == kRequests);
  BOOST_TEST(std::ranges::any_of(answers,
                                 [](const auto& answer) { return answer.outcome_ == "not-run"; }));
}

// An open-loop generator keeps its rate while nothing answers; a closed loop would hide an outage.
BOOST_AUTO_TEST_CASE(RateIsKeptWithoutAnswers) {
  LoadFixture load;
  load.StartUpstream().Pause();
  const auto answers = load.Run({{"name", "look"}, {"prefix", "/bench/"}, {"deadline_ms", 300}});
  BOOST_TEST(answers.size() == kRequests);
  BOOST_TEST(
      std::ranges::all_of(answers, [](const auto& answer) { return answer.outcome_ == "lost"; }));
}

BOOST_AUTO_TEST_CASE(HotKeyGetsItsShareAndChangesEachPeriod) {
  const LoadPlan plan = MakePlan({{"name", "look"},
                                  {"prefix", "/bench/"},
                                  {"keys", 1000000},
                                  {"hot_share", 0.5},
                                  {"hot_period_ms", 1000}});
  std::mt19937_64 random(7);
  std::set<std::string> hot;
  for (const milliseconds elapsed : {milliseconds(0), milliseconds(1000)}) {
    std::map<std::string, int> counts;
    for (int request = 0; request < 1000; ++request) {
      ++counts[PlanRequest(plan, random, elapsed).key_];
    }
    const auto hottest =
        std::ranges::max_element(counts, {}, [](const auto& entry) { return entry.second; });
    BOOST_TEST(hottest->second > 400);
    hot.insert(hottest->first);
  }
  BOOST_TEST(hot.size() == 2U);
}

// An answer with another request's body must not be accepted.
BOOST_AUTO_TEST_CASE(AnswerToAnotherRequestIsRejected) {
  const LoadPlan plan =
      MakePlan({{"name", "book"}, {"method", "PUT"}, {"prefix", "/s/"}, {"binding", true}});
  std::mt19937_64 random(7);
  const PlannedRequest planned = PlanRequest(plan, random, milliseconds(0));
  json body = {{"target", planned.request_.path_},
               {"idempotency_key", planned.id_},
               {"echo", planned.request_.body_}};
  BOOST_TEST(IsOwnAnswer(planned, body.dump()));
  BOOST_TEST(!IsOwnAnswer(planned, body.dump().substr(0, 40)));
  for (const char* part : {"target", "idempotency_key", "echo"}) {
    json foreign = body;
    foreign[part] = "other";
    BOOST_TEST(!IsOwnAnswer(planned, foreign.dump()));
  }
}

BOOST_AUTO_TEST_CASE(UuidCarriesVersionVariantAndTime) {
  const std::string id = MakeUuidV7(WallTime(milliseconds(0x0123456789ab)));
  BOOST_TEST(id.size() == 36U);
  BOOST_TEST(id.starts_with("01234567-89ab-7"));
  BOOST_TEST(id[19] == '8');
}

// The gap of a key counts only while a request for the key is unanswered.
BOOST_AUTO_TEST_CASE(GapLastsFromFirstRequestToNextAnswer) {
  LoadReport report;
  const auto at = [](int ms) { return BootTime(milliseconds(ms)); };
  LoadResult result{.key_ = "k", .class_ = "c", .outcome_ = "answered"};
  CountSent(report, "c", "k", at(0));
  CountEnd(report, result, at(10));
  CountSent(report, "c", "k", at(5000));
  CountSent(report, "c", "k", at(5100));
  result.outcome_ = "unknown";
  CountEnd(report, result, at(5200));
  result.outcome_ = "answered";
  CountEnd(report, result, at(5700));
  const json summary = json::parse(Summarize(report, at(9000)));
  BOOST_TEST(summary["longest_gaps"][0]["gap_ms"] == 700);
  BOOST_TEST(summary["classes"]["c"]["outcomes"]["unknown"] == 1);
}
