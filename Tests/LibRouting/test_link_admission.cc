#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <vector>

#include "LibRouting/link_admission.h"

namespace sassafrasbay {
namespace {

constexpr double kTenMegabits = 10e6 / 8;
constexpr std::size_t kDownloadBytes = 90000;
constexpr double kServiceMs = 100;
constexpr double kObjectiveMs = 800;
constexpr double kDeadlineMs = 5000;

LinkLoad MakeLoad() {
  LinkLoad load{kTenMegabits, {}};
  RecordResponse(load, "download", kDownloadBytes);
  RecordResponse(load, "lookup", 300);
  return load;
}

bool Fits(const LinkLoad& load, std::string_view request_class, double committed_bytes,
          double to_objective_ms = kObjectiveMs) {
  return FitsLink(load, request_class, committed_bytes, {to_objective_ms, kDeadlineMs, kServiceMs});
}

struct Outcome {
  int offered_ = 0;
  int in_time_ = 0;
  int late_ = 0;
};

/// Offers downloads at a constant rate to a link that carries one after the other.
Outcome Offer(double per_second, bool is_limited) {
  constexpr double kSeconds = 30;
  const LinkLoad load = MakeLoad();
  const double transfer_ms = kDownloadBytes / kTenMegabits * 1000;
  double link_free_at_ms = 0;
  std::vector<double> carried_at_ms;
  Outcome outcome;
  for (double now = 0; now < kSeconds * 1000; now += 1000 / per_second) {
    ++outcome.offered_;
    const auto pending = std::ranges::count_if(carried_at_ms, [&](double at) { return at > now; });
    if (is_limited && !Fits(load, "download", static_cast<double>(pending) * kDownloadBytes)) {
      continue;
    }
    link_free_at_ms = std::max(link_free_at_ms, now + kServiceMs) + transfer_ms;
    carried_at_ms.push_back(link_free_at_ms);
    const double took = link_free_at_ms - now;
    outcome.in_time_ += took <= kObjectiveMs ? 1 : 0;
    outcome.late_ += took > kObjectiveMs ? 1 : 0;
  }
  return outcome;
}

BOOST_AUTO_TEST_SUITE(LinkAdmission)

// Load: downloads need 1.6 times the link of the VM beside the upstream (drawings of
// teranga-liners-grown). Without the limit nearly all arrive late.
BOOST_AUTO_TEST_CASE(OverloadedLinkCarriesDownloadsInTime) {
  const double per_second = 1.6 * kTenMegabits / kDownloadBytes;
  const Outcome unlimited = Offer(per_second, false);
  BOOST_TEST(unlimited.in_time_ < 0.1 * unlimited.offered_);
  const Outcome limited = Offer(per_second, true);
  BOOST_TEST(limited.late_ == 0);
  BOOST_TEST(limited.in_time_ > 0.45 * limited.offered_);
}

BOOST_AUTO_TEST_CASE(DownloadsWithinTheLinkAreAllAdmitted) {
  const Outcome outcome = Offer(0.6 * kTenMegabits / kDownloadBytes, true);
  BOOST_TEST(outcome.in_time_ == outcome.offered_);
}

// Guards against refusing calls whose responses are small, however many downloads are pending.
BOOST_AUTO_TEST_CASE(SmallAndUnknownResponsesAlwaysFit) {
  const LinkLoad load = MakeLoad();
  BOOST_TEST(Fits(load, "lookup", 100.0 * kDownloadBytes));
  BOOST_TEST(Fits(load, "never-seen", 100.0 * kDownloadBytes));
  const LinkLoad unknown_rate{0, load.response_bytes_};
  BOOST_TEST(Fits(unknown_rate, "download", 100.0 * kDownloadBytes));
}

// Guards against a download that no link state ever admits, since it alone takes longer than the
// objective.
BOOST_AUTO_TEST_CASE(IdleLinkTakesADownloadThatMeetsItsDeadline) {
  LinkLoad load = MakeLoad();
  RecordResponse(load, "archive", 2000000);
  BOOST_TEST(Fits(load, "archive", 0));
  BOOST_TEST(!Fits(load, "archive", 1));
  RecordResponse(load, "too-large", 20000000);
  BOOST_TEST(!Fits(load, "too-large", 0));
}

// A request whose objective has passed waits less than its deadline allows.
BOOST_AUTO_TEST_CASE(LateDownloadWaitsForAFractionOfItsDeadline) {
  const LinkLoad load = MakeLoad();
  BOOST_TEST(Fits(load, "download", 10.0 * kDownloadBytes, 0));
  BOOST_TEST(!Fits(load, "download", 30.0 * kDownloadBytes, 0));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sassafrasbay
