#include <boost/test/unit_test.hpp>

#include "LibTransport/connection_liveness.h"

namespace sassafrasbay {
namespace {

constexpr BootTime kStart{milliseconds(1'000'000)};
constexpr milliseconds kConfirmationTimeout{1000};

BootTime At(int ms) { return kStart + milliseconds(ms); }

/// A connection that was opened at kStart, checked with the last progress at that time.
struct LivenessFixture {
  LivenessAction Check(int now_ms, int progress_ms, std::optional<int> awaiting_since_ms = {}) {
    LivenessInputs inputs{At(now_ms), At(progress_ms), std::nullopt, kConfirmationTimeout};
    if (awaiting_since_ms) {
      inputs.awaiting_since_ = At(*awaiting_since_ms);
    }
    return CheckLiveness(liveness_, inputs);
  }

  ConnectionLiveness liveness_{.confirmed_at_ = kStart};
};

BOOST_FIXTURE_TEST_SUITE(Liveness, LivenessFixture)

// Guards against messages for sound connections: traffic and reports confirm them.
BOOST_AUTO_TEST_CASE(ASoundConnectionIsNotProbed) {
  for (int now = 0; now < 10'000; now += 125) {
    ConfirmSent(liveness_, At(now - 600));
    BOOST_TEST((Check(now, now - 500, now - 300) == LivenessAction::kNone));
  }
}

// Guards against a silent connection that is never noticed, in either direction.
BOOST_AUTO_TEST_CASE(SilenceInEitherDirectionIsSuspected) {
  // Nothing that was sent is confirmed, while bytes arrive.
  BOOST_TEST((Check(900, 890) == LivenessAction::kNone));
  BOOST_TEST((Check(1100, 1090) == LivenessAction::kProbe));
  BOOST_TEST((Check(1300, 1090) == LivenessAction::kNone));
  BOOST_TEST((Check(1450, 1100) == LivenessAction::kSuspect));
  BOOST_TEST((Check(1600, 1100) == LivenessAction::kNone));
  BOOST_TEST(liveness_.suspected_);
  // What is sent is confirmed over another connection, and nothing arrives on this one.
  liveness_ = {.confirmed_at_ = At(3000)};
  BOOST_TEST((Check(3100, 1900) == LivenessAction::kProbe));
  ConfirmSent(liveness_, At(3300));
  BOOST_TEST((Check(3500, 1900) == LivenessAction::kSuspect));
}

// Guards against requests that wait until their deadline on a silent connection that carried
// nothing else for a while.
BOOST_AUTO_TEST_CASE(AnUnansweredRequestCausesAProbeEarly) {
  BOOST_TEST((Check(600, 0, 100) == LivenessAction::kNone));
  BOOST_TEST((Check(850, 0, 100) == LivenessAction::kProbe));
}

// Guards against a silent connection that isn't noticed because each request on it ends early, by
// its deadline or with its caller.
BOOST_AUTO_TEST_CASE(RequestsThatWereGivenUpCauseAProbe) {
  RecordRequest(liveness_, At(100));
  RecordRequest(liveness_, At(600));
  BOOST_TEST((Check(700, 0) == LivenessAction::kNone));
  BOOST_TEST((Check(850, 0) == LivenessAction::kProbe));
  // Any bytes that arrive after it answer for a request.
  liveness_ = {.confirmed_at_ = kStart};
  RecordRequest(liveness_, At(100));
  BOOST_TEST((Check(900, 300) == LivenessAction::kNone));
  BOOST_TEST(!liveness_.requested_at_.has_value());
}

// Guards against the loss of running requests of a slow or paused peer: its probe is answered late,
// which ends the suspicion and allows it more time from then on.
BOOST_AUTO_TEST_CASE(ALateAnswerEndsTheSuspicion) {
  BOOST_TEST((Check(1100, 0) == LivenessAction::kProbe));
  BOOST_TEST((Check(1500, 0) == LivenessAction::kSuspect));
  BOOST_TEST(RecordProbeAnswer(liveness_, At(1600)));
  BOOST_TEST(!liveness_.suspected_);
  BOOST_TEST(liveness_.probe_timeout_.count() == 2000);
  BOOST_TEST((Check(1700, 1600) == LivenessAction::kNone));
  BOOST_TEST((Check(2700, 1600) == LivenessAction::kProbe));
  BOOST_TEST((Check(4600, 1600) == LivenessAction::kNone));
  BOOST_TEST(!RecordProbeAnswer(liveness_, At(4610)));
  // A peer that answers quickly again gets the shortest timeout.
  BOOST_TEST((Check(5700, 4610) == LivenessAction::kProbe));
  BOOST_TEST(!RecordProbeAnswer(liveness_, At(5710)));
  BOOST_TEST(liveness_.probe_timeout_ == kMinProbeTimeout);
}

// Guards against a narrow link that counts as silent while a large message takes its time.
BOOST_AUTO_TEST_CASE(BytesOnTheirWayPostponeTheSuspicion) {
  BOOST_TEST((Check(1100, 0) == LivenessAction::kProbe));
  for (int now = 1200; now < 5000; now += 100) {
    BOOST_TEST((Check(now, now - 150) == LivenessAction::kNone));
  }
  BOOST_TEST((Check(5300, 4900) == LivenessAction::kSuspect));
}

// Guards against an answer without a probe, which would confirm what was never sent.
BOOST_AUTO_TEST_CASE(AnUnexpectedAnswerChangesNothing) {
  BOOST_TEST(!RecordProbeAnswer(liveness_, At(500)));
  BOOST_TEST((liveness_.confirmed_at_ == kStart));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sassafrasbay
