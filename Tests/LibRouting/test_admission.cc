#define BOOST_TEST_MODULE Admission
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <iostream>
#include <random>
#include <set>

#include "LibRouting/admission.h"

namespace sassafrasbay {
namespace {

constexpr std::uint64_t kSeed = 41'000;
const BootTime kStart{std::chrono::hours(1)};
const AdmissionTerms kTerms;

/// Admission for an upstream whose cold start is over.
Admission MakeWarm(AdmissionTerms terms = kTerms) {
  return MakeAdmission(terms, kStart - kTerms.cold_start_);
}

WaitingRequest Waiting(std::uint64_t number, int worth, int deadline_ms = 10'000) {
  return {number, worth, kStart + milliseconds(deadline_ms)};
}

/// Starts requests until the limit is reached.
void Fill(Admission& admission, std::uint64_t& number, BootTime now) {
  while (admission.running_ < CurrentLimit(admission, now)) {
    BOOST_REQUIRE((Offer(admission, {number++, 1, now + milliseconds(10'000)}, now).decision_ ==
                   AdmissionDecision::kRun));
  }
}

/// Completes `count` requests with the service time while the limit stays reached.
void Complete(Admission& admission, int count, milliseconds service_time) {
  std::uint64_t number = 1;
  for (int i = 0; i < count; ++i) {
    Fill(admission, number, kStart);
    Release(admission, ServiceResult::kCompleted, service_time, kStart);
  }
}

/// Offers the request and keeps `queued` equal to the set of queued numbers.
void OfferRandom(Admission& admission, std::set<std::uint64_t>& queued,
                 const WaitingRequest& request, BootTime now) {
  const AdmissionVerdict verdict = Offer(admission, request, now);
  if (verdict.decision_ == AdmissionDecision::kRun) {
    BOOST_REQUIRE(admission.running_ <= CurrentLimit(admission, now));
  }
  if (verdict.decision_ == AdmissionDecision::kQueue) {
    queued.insert(request.number_);
  }
  if (verdict.shed_instead_.has_value()) {
    BOOST_REQUIRE(queued.erase(*verdict.shed_instead_) == 1U);
  }
}

void RequireInvariants(const Admission& admission, const std::set<std::uint64_t>& queued,
                       BootTime now) {
  BOOST_REQUIRE(admission.running_ <= kTerms.slots_);
  BOOST_REQUIRE(CurrentLimit(admission, now) >= 1U);
  BOOST_REQUIRE(CurrentLimit(admission, now) <= kTerms.slots_);
  BOOST_REQUIRE(admission.queue_.size() == queued.size());
  BOOST_REQUIRE(queued.size() <= kTerms.queue_length_);
  BOOST_REQUIRE(std::is_sorted(admission.queue_.begin(), admission.queue_.end(),
                               [](const WaitingRequest& left, const WaitingRequest& right) {
                                 return left.worth_ > right.worth_;
                               }));
}

// Over random events: no more requests run than the limit allows, no request is lost or duplicated,
// and the queue stays sorted.
BOOST_AUTO_TEST_CASE(RunningNeverExceedsLimit) {
  std::cout << "seed " << kSeed << '\n';
  std::mt19937_64 random(kSeed);
  Admission admission = MakeAdmission(kTerms, kStart);
  BootTime now = kStart;
  std::set<std::uint64_t> queued;
  std::uint64_t number = 0;
  std::size_t max_queued = 0;
  for (int step = 0; step < 200'000; ++step) {
    now += milliseconds(random() % 3);
    switch (random() % 5) {
      case 0:
      case 1:
        OfferRandom(
            admission, queued,
            {++number, 1 + static_cast<int>(random() % 100), now + milliseconds(random() % 2000)},
            now);
        break;
      case 2:
        if (admission.running_ > 0) {
          const auto result = static_cast<ServiceResult>(random() % 20 == 0 ? 1 + random() % 2 : 0);
          Release(admission, result, milliseconds(1 + random() % 80), now);
        }
        break;
      case 3:
        if (const auto next = TakeNext(admission, now); next.has_value()) {
          BOOST_REQUIRE(queued.erase(next->number_) == 1U);
          BOOST_REQUIRE(admission.running_ <= CurrentLimit(admission, now));
          BOOST_REQUIRE((next->deadline_ > now));
        }
        break;
      default:
        for (const WaitingRequest& request : TakeExpired(admission, now)) {
          BOOST_REQUIRE(queued.erase(request.number_) == 1U);
        }
    }
    RequireInvariants(admission, queued, now);
    max_queued = std::max(max_queued, queued.size());
  }
  BOOST_TEST(max_queued == kTerms.queue_length_);
}

// Guards against requests of higher worth being shed or delayed in favour of others.
BOOST_AUTO_TEST_CASE(LowestWorthAndLatestDeadlineAreShedFirst) {
  AdmissionTerms terms;
  terms.queue_length_ = 3;
  terms.slots_ = 1;
  Admission admission = MakeWarm(terms);
  BOOST_TEST((Offer(admission, Waiting(1, 1), kStart).decision_ == AdmissionDecision::kRun));
  Offer(admission, Waiting(2, 50, 9000), kStart);
  Offer(admission, Waiting(3, 10, 5000), kStart);
  Offer(admission, Waiting(4, 10, 8000), kStart);
  const AdmissionVerdict lowest = Offer(admission, Waiting(5, 9, 100), kStart);
  BOOST_TEST((lowest.decision_ == AdmissionDecision::kShed));
  BOOST_TEST(!lowest.shed_instead_.has_value());
  const AdmissionVerdict more = Offer(admission, Waiting(6, 90), kStart);
  BOOST_TEST((more.decision_ == AdmissionDecision::kQueue));
  BOOST_TEST(more.shed_instead_.value() == 4U);
  BOOST_TEST(Offer(admission, Waiting(7, 10, 4000), kStart).shed_instead_.value() == 3U);
  std::vector<std::uint64_t> order;
  for (int i = 0; i < 3; ++i) {
    Release(admission, ServiceResult::kCompleted, milliseconds(5), kStart);
    order.push_back(TakeNext(admission, kStart)->number_);
    BOOST_TEST(!TakeNext(admission, kStart).has_value());
  }
  BOOST_TEST(order == (std::vector<std::uint64_t>{6, 2, 7}), boost::test_tools::per_element());
}

// Guards against a new request overtaking a queued one of higher worth.
BOOST_AUTO_TEST_CASE(NewRequestDoesNotOvertake) {
  AdmissionTerms terms;
  terms.slots_ = 1;
  Admission admission = MakeWarm(terms);
  Offer(admission, Waiting(1, 1), kStart);
  Offer(admission, Waiting(2, 50), kStart);
  Release(admission, ServiceResult::kCompleted, milliseconds(5), kStart);
  BOOST_TEST((Offer(admission, Waiting(3, 10), kStart).decision_ == AdmissionDecision::kQueue));
  BOOST_TEST(TakeNext(admission, kStart)->number_ == 2U);
  BOOST_TEST(RemoveQueued(admission, 3));
  BOOST_TEST(!RemoveQueued(admission, 3));
}

// Guards against a limit that ignores congestion or stays low after it.
BOOST_AUTO_TEST_CASE(LimitFollowsLatency) {
  Admission admission = MakeWarm();
  Complete(admission, 500, milliseconds(10));
  BOOST_TEST(CurrentLimit(admission, kStart) == kTerms.slots_);
  Complete(admission, 100, milliseconds(15));
  BOOST_TEST(CurrentLimit(admission, kStart) == kTerms.slots_);
  Complete(admission, 100, milliseconds(100));
  const std::uint32_t congested = CurrentLimit(admission, kStart);
  std::cout << "limit after 100 completions at ten times the latency: " << congested << '\n';
  BOOST_TEST(congested <= kTerms.slots_ / 2);
  Complete(admission, 500, milliseconds(10));
  BOOST_TEST(CurrentLimit(admission, kStart) == kTerms.slots_);
}

// Guards against a limit that stays low after a lasting but harmless rise of the service time.
BOOST_AUTO_TEST_CASE(BaselineRisesSlowly) {
  Admission admission = MakeWarm();
  Complete(admission, 500, milliseconds(10));
  Complete(admission, 200, milliseconds(60));
  BOOST_TEST(CurrentLimit(admission, kStart) < kTerms.slots_ / 2);
  Complete(admission, 4000, milliseconds(60));
  BOOST_TEST(CurrentLimit(admission, kStart) == kTerms.slots_);
}

// Guards against keeping the limit for an upstream that refuses requests, and against a limit that
// never recovers.
BOOST_AUTO_TEST_CASE(RefusalsLowerTheLimit) {
  Admission admission = MakeWarm();
  std::uint64_t number = 1;
  for (int i = 0; i < 10; ++i) {
    Fill(admission, number, kStart);
    Release(admission, ServiceResult::kRefused, milliseconds(1), kStart);
  }
  BOOST_TEST(CurrentLimit(admission, kStart) < kTerms.slots_ / 2);
  for (int i = 0; i < 100; ++i) {
    Release(admission, ServiceResult::kRefused, milliseconds(1), kStart);
  }
  BOOST_TEST(CurrentLimit(admission, kStart) == 1U);
  Complete(admission, 500, milliseconds(10));
  BOOST_TEST(CurrentLimit(admission, kStart) == kTerms.slots_);
}

// Guards against a newly started upstream receiving its full load at once.
BOOST_AUTO_TEST_CASE(ColdStartRampsUp) {
  const Admission admission = MakeAdmission(kTerms, kStart);
  BOOST_TEST(CurrentLimit(admission, kStart) == 5U);
  BOOST_TEST(CurrentLimit(admission, kStart + kTerms.cold_start_ / 2) == 12U);
  BOOST_TEST(CurrentLimit(admission, kStart + kTerms.cold_start_) == 20U);
}

// Guards against queueing requests that cannot finish before their deadline, and against a high
// smoothed service time that sheds all requests, so that no new sample can correct it.
BOOST_AUTO_TEST_CASE(RequestsThatCannotFinishAreShedEarly) {
  AdmissionTerms terms;
  terms.slots_ = 1;
  Admission admission = MakeWarm(terms);
  Complete(admission, 50, milliseconds(500));
  std::uint64_t number = 10;
  Fill(admission, number, kStart);
  BOOST_TEST((Offer(admission, Waiting(1, 9, 400), kStart).decision_ == AdmissionDecision::kShed));
  BOOST_TEST((Offer(admission, Waiting(2, 9, 600), kStart).decision_ == AdmissionDecision::kQueue));
  BOOST_TEST(TakeExpired(admission, kStart + milliseconds(50)).empty());
  BOOST_TEST(TakeExpired(admission, kStart + milliseconds(150)).size() == 1U);
  Release(admission, ServiceResult::kFailed, milliseconds(1), kStart);
  BOOST_TEST((Offer(admission, Waiting(3, 9, 400), kStart).decision_ == AdmissionDecision::kRun));
}

}  // namespace
}  // namespace sassafrasbay
