#define BOOST_TEST_MODULE History
#include <boost/test/unit_test.hpp>
#include <fstream>

#include "harness/history.h"
#include "harness/support.h"

using namespace sassafrasbay::harness;  // NOLINT(google-build-using-namespace)

namespace {

RunRecord Run(int port, std::int64_t token, std::int64_t start_ms, std::int64_t end_ms) {
  RunRecord run;
  run.service_ = "bench";
  run.port_ = port;
  run.path_ = "/bench/key";
  run.unit_ = 1;
  run.token_ = token;
  run.start_ms_ = start_ms;
  run.end_ms_ = end_ms;
  return run;
}

RunRecord RunWithId(const std::string& id) {
  RunRecord run = Run(1, 1, 0, 1);
  run.idempotency_key_ = id;
  return run;
}

AnswerRecord Answer(const std::string& id, const std::string& outcome, bool not_run_only) {
  AnswerRecord answer;
  answer.id_ = id;
  answer.binding_ = true;
  answer.outcome_ = outcome;
  answer.status_ = outcome == "answered" ? 200 : 503;
  answer.not_run_only_ = not_run_only;
  return answer;
}

}  // namespace

// The tests in this file guard against checkers that miss violations, since the integration tests
// would then pass on a faulty fleet.
BOOST_AUTO_TEST_CASE(DuplicateRunIsReported) {
  BOOST_TEST(
      CheckRunsOnce(std::vector{RunWithId("a"), RunWithId("b"), RunWithId(""), RunWithId("")})
          .empty());
  BOOST_TEST(CheckRunsOnce(std::vector{RunWithId("a"), RunWithId("b"), RunWithId("a")}).size() ==
             1U);
}

BOOST_AUTO_TEST_CASE(RunOfRefusedRequestIsReported) {
  const std::vector runs = {RunWithId("a")};
  const std::vector retried = {Answer("a", "not-run", false), Answer("b", "not-run", true)};
  BOOST_TEST(CheckNotRun(runs, retried).empty());
  BOOST_TEST(CheckNotRun(runs, std::vector{Answer("a", "not-run", true)}).size() == 1U);
}

BOOST_AUTO_TEST_CASE(AnswerWithoutRunIsReported) {
  const std::vector runs = {RunWithId("a")};
  const std::vector valid = {Answer("a", "answered", false), Answer("b", "unknown", false)};
  BOOST_TEST(CheckAnsweredRan(runs, valid).empty());
  BOOST_TEST(CheckAnsweredRan(runs, std::vector{Answer("b", "answered", false)}).size() == 1U);
}

BOOST_AUTO_TEST_CASE(OverlapOfUpstreamsIsReported) {
  BOOST_TEST(CheckOwnersExclusive(std::vector{Run(1, 1, 0, 10), Run(2, 2, 10, 20)}).empty());
  BOOST_TEST(CheckOwnersExclusive(std::vector{Run(1, 1, 0, 10), Run(1, 1, 5, 20)}).empty());
  // The overlap is with the first run, and a shorter run of the same upstream lies between them.
  const std::vector nested = {Run(1, 1, 0, 30), Run(1, 1, 1, 2), Run(2, 2, 20, 25)};
  BOOST_TEST(!CheckOwnersExclusive(nested).empty());
}

BOOST_AUTO_TEST_CASE(OverlapOfSplitKeyIsReported) {
  std::vector runs = {Run(1, 1, 0, 10), Run(2, 2, 5, 20)};
  runs[1].unit_ = 1 << 24;
  BOOST_TEST(CheckOwnersExclusive(runs).size() == 1U);
}

BOOST_AUTO_TEST_CASE(DecreasingTokenIsReported) {
  BOOST_TEST(CheckTokensNeverDecrease(std::vector{Run(1, 1, 0, 1), Run(2, 2, 5, 6)}).empty());
  BOOST_TEST(CheckTokensNeverDecrease(std::vector{Run(1, 2, 0, 1), Run(2, 1, 5, 6)}).size() == 1U);
}

// Guards against losing the runs of a killed upstream. Its record file has runs without an end and
// may end with an incomplete line.
BOOST_AUTO_TEST_CASE(RunWithoutEndLastsUntilLastRecordOfItsProcess) {
  const TemporaryDirectory directory;
  const auto start = [](const char* run, int start_ms) {
    return nlohmann::json{{"kind", "start"}, {"run", run},           {"service", "bench"},
                          {"port", 1},       {"request_id", ""},     {"idempotency_key", ""},
                          {"method", "GET"}, {"path", "/bench/k?q"}, {"unit", 1},
                          {"token", 1},      {"start_ms", start_ms}}
               .dump() +
           "\n";
  };
  std::ofstream(directory.Path() / "records")
      << start("7-0", 100) << start("7-1", 110) << R"({"kind":"end","run":"7-1","end_ms":150})"
      << "\n"
      << start("8-0", 200) << R"({"kind":"end","ru)";
  const auto runs = ReadRuns(directory.Path() / "records");
  BOOST_REQUIRE(runs.size() == 3U);
  BOOST_TEST(runs[0].end_ms_ == 150);
  BOOST_TEST(runs[0].path_ == "/bench/k");
  BOOST_TEST(runs[2].end_ms_ == 200);
}
