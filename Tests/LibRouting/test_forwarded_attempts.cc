#define BOOST_TEST_MODULE ForwardedAttempts
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <random>
#include <string>

#include "LibRouting/forwarded_attempts.h"

namespace sassafrasbay {
namespace {

constexpr BootTime kStart{milliseconds(1'000'000)};
constexpr std::string_view kSelf = "receiver-1";

BootTime At(int ms) { return kStart + milliseconds(ms); }

struct AttemptsFixture {
  ArrivalKind Arrive(std::uint64_t number, std::uint64_t connection,
                     const std::optional<std::string>& sent_before_to = std::nullopt) {
    return RecordArrival(table_, {"sender-1", number}, connection, sent_before_to, kSelf).kind_;
  }
  void Answer(std::uint64_t number, int now_ms, std::string answer = "answer") {
    RecordAnswer(table_, {"sender-1", number}, std::move(answer), At(now_ms));
  }

  ForwardedAttempts table_;
};

BOOST_FIXTURE_TEST_SUITE(ForwardedAttemptTables, AttemptsFixture)

// Guards against a second run, and against a lost answer, of an attempt that is sent again after
// its connection was lost.
BOOST_AUTO_TEST_CASE(AnAttemptIsFoundOverANewConnection) {
  const std::string self(kSelf);
  BOOST_TEST((Arrive(7, 1) == ArrivalKind::kNew));
  RecordSubmitted(table_, {"sender-1", 7}, 70);
  DetachConnection(table_, 1, At(0));
  BOOST_TEST(AnswerConnection(table_, {"sender-1", 7}) == 0U);
  BOOST_TEST((Arrive(7, 2, self) == ArrivalKind::kJoined));
  BOOST_TEST(AnswerConnection(table_, {"sender-1", 7}) == 2U);
  Answer(7, 100);
  const Arrival again = RecordArrival(table_, {"sender-1", 7}, 3, self, kSelf);
  BOOST_TEST((again.kind_ == ArrivalKind::kAnswered));
  BOOST_TEST(again.answer_ == "answer");
  // One that never arrived runs now.
  BOOST_TEST((Arrive(8, 3, self) == ArrivalKind::kNew));
}

// Guards against a second run after the receiver has restarted or has dropped the answer: it can't
// know whether the attempt has run.
BOOST_AUTO_TEST_CASE(AnAttemptThatMayHaveRunIsNotRunAgain) {
  const std::string self(kSelf);
  BOOST_TEST((Arrive(7, 1, "receiver-0") == ArrivalKind::kUnknown));
  BOOST_TEST((Arrive(8, 1) == ArrivalKind::kNew));
  Answer(8, 0);
  BOOST_TEST(TakeAbandoned(table_, At(1501)).empty());
  BOOST_TEST((Arrive(8, 2, self) == ArrivalKind::kUnknown));
  BOOST_TEST(table_.attempts_.empty());
}

// Guards against answers that use up the memory of the process.
BOOST_AUTO_TEST_CASE(KeptAnswersAreBounded) {
  constexpr std::size_t kAnswerBytes = 1U << 20U;
  for (std::uint64_t number = 1; number <= 64; ++number) {
    BOOST_TEST((Arrive(number, 1) == ArrivalKind::kNew));
    Answer(number, static_cast<int>(number), std::string(kAnswerBytes, 'x'));
    static_cast<void>(TakeAbandoned(table_, At(static_cast<int>(number))));
    BOOST_TEST(table_.answer_bytes_ <= 8 * kAnswerBytes);
  }
  BOOST_TEST(table_.attempts_.size() == 8U);
  static_cast<void>(TakeAbandoned(table_, At(10'000)));
  BOOST_TEST(table_.attempts_.empty());
  BOOST_TEST(table_.answer_bytes_ == 0U);
}

// Guards against requests of a lost sender that keep their slots, and against cancelling those that
// are answered or were sent again.
BOOST_AUTO_TEST_CASE(AttemptsThatAreNotSentAgainAreAbandoned) {
  const std::string self(kSelf);
  for (std::uint64_t number = 1; number <= 4; ++number) {
    BOOST_TEST((Arrive(number, 1) == ArrivalKind::kNew));
    RecordSubmitted(table_, {"sender-1", number}, 10 * number);
  }
  Answer(2, 0);
  DetachConnection(table_, 1, At(0));
  BOOST_TEST((Arrive(3, 2, self) == ArrivalKind::kJoined));
  BOOST_TEST(TakeAbandoned(table_, At(1400)).empty());
  const std::vector<std::uint64_t> abandoned = TakeAbandoned(table_, At(1600));
  const std::vector<std::uint64_t> expected{10, 40};
  BOOST_TEST(abandoned == expected, boost::test_tools::per_element());
  // They have run in part, so they can't run again.
  BOOST_TEST((Arrive(1, 2, self) == ArrivalKind::kUnknown));
  BOOST_TEST(RemoveCancelled(table_, {"sender-1", 3}) == 30U);
  BOOST_TEST(RemoveCancelled(table_, {"sender-1", 2}) == 0U);
}

// Guards against requests of a process that has ended, which nobody will ask for again.
BOOST_AUTO_TEST_CASE(AttemptsOfAnEndedProcessAreTaken) {
  BOOST_TEST((Arrive(1, 1) == ArrivalKind::kNew));
  RecordSubmitted(table_, {"sender-1", 1}, 10);
  RecordArrival(table_, {"sender-2", 1}, 2, std::nullopt, kSelf);
  const std::vector<std::uint64_t> expected{10};
  BOOST_TEST(TakeAttemptsOf(table_, "sender-1", At(0)) == expected,
             boost::test_tools::per_element());
  BOOST_TEST(table_.attempts_.size() == 1U);
  // It has run in part, if its process asks again after all.
  BOOST_TEST((Arrive(1, 3, std::string(kSelf)) == ArrivalKind::kUnknown));
  // What is known of earlier processes doesn't accumulate.
  static_cast<void>(TakeAbandoned(table_, At(600'001)));
  BOOST_TEST(table_.dropped_.empty());
}

// Guards against a second run in any order of losses, restarts of the receiver, repetitions,
// answers and drops.
BOOST_AUTO_TEST_CASE(NoAttemptRunsTwiceInSeededHistories) {
  constexpr unsigned kSeeds = 200;
  constexpr int kSteps = 400;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    std::mt19937_64 random(seed);
    ForwardedAttempts table;
    std::map<std::uint64_t, int> runs;
    std::map<std::uint64_t, std::string> sent_to;
    std::uint64_t last_number = 0;
    int receiver = 1;
    int now = 0;
    for (int step = 0; step < kSteps; ++step) {
      now += static_cast<int>(random() % 400);
      const std::string self = "receiver-" + std::to_string(receiver);
      const auto arrive = [&](std::uint64_t number, const std::optional<std::string>& before) {
        const Arrival arrival = RecordArrival(table, {"s", number}, 1 + random() % 3, before, self);
        runs[number] += arrival.kind_ == ArrivalKind::kNew ? 1 : 0;
        BOOST_REQUIRE(runs[number] <= 1);
      };
      const std::uint64_t some = last_number == 0 ? 0 : 1 + random() % last_number;
      switch (random() % 8) {
        case 0:
        case 1:
          sent_to[++last_number] = self;
          // The first copy may be lost on its way.
          if (random() % 3 != 0) {
            arrive(last_number, std::nullopt);
          }
          break;
        case 2:
        case 3:
          if (some != 0) {
            arrive(some, sent_to[some]);
          }
          break;
        case 4:
          RecordAnswer(table, {"s", some}, std::string(random() % (2U << 20U), 'x'), At(now));
          break;
        case 5:
          DetachConnection(table, 1 + random() % 3, At(now));
          break;
        case 6:
          static_cast<void>(TakeAbandoned(table, At(now)));
          break;
        default:
          if (random() % 20 == 0) {
            table = {};
            ++receiver;
          }
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sassafrasbay
