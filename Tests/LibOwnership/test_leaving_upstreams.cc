#include <boost/test/unit_test.hpp>

#include "LibOwnership/leaving_upstreams.h"
#include "LibOwnership/upstream_registry.h"

namespace sassafrasbay {
namespace {

constexpr milliseconds kLimit{1500};

BootTime At(int ms) { return BootTime(std::chrono::minutes(10)) + milliseconds(ms); }

UpstreamHeartbeat Heartbeat(const std::string& instance, std::int64_t born_ms) {
  UpstreamHeartbeat heartbeat;
  heartbeat.instance_ = instance;
  heartbeat.born_ms_ = born_ms;
  heartbeat.sequence_ = 1;
  heartbeat.slots_ = 4;
  return heartbeat;
}

BOOST_AUTO_TEST_SUITE(LeavingUpstreamRules)

// Guards against requests to an upstream that has left (DRAIN) after the process beside it was
// restarted and reports it as ready, because a heartbeat from before the leave came late.
BOOST_AUTO_TEST_CASE(ALeaveOutlastsTheProcessThatReportedIt) {
  const Holder holder{"a", "i-1", 100};
  LeavingUpstreams upstreams;
  RecordReport(upstreams, holder, true, At(0));
  RecordReport(upstreams, {"a", "", 0}, false, At(500));
  RecordReport(upstreams, holder, false, At(1000));
  BOOST_TEST(FindLeaving(upstreams, "a") != nullptr);
  BOOST_TEST(!HasDrained(upstreams, holder, kLimit, At(1500)));
  BOOST_TEST(HasDrained(upstreams, holder, kLimit, At(1501)));
}

BOOST_AUTO_TEST_CASE(TheNextIncarnationIsNotLeaving) {
  LeavingUpstreams upstreams;
  RecordReport(upstreams, {"a", "i-1", 100}, true, At(0));
  // The instance id may stay the same.
  RecordReport(upstreams, {"a", "i-1", 200}, false, At(3000));
  BOOST_TEST(FindLeaving(upstreams, "a") == nullptr);
  BOOST_TEST(!HasDrained(upstreams, {"a", "i-1", 200}, kLimit, At(9000)));
  RecordReport(upstreams, {"a", "i-2", 300}, true, At(9000));
  RecordReport(upstreams, {"a", "i-1", 200}, false, At(9100));
  BOOST_TEST(FindLeaving(upstreams, "a")->holder_.instance_ == "i-2");
}

// A restarted process hears from its peers that its upstream leaves, before or after the upstream's
// first heartbeat.
BOOST_AUTO_TEST_CASE(ARestartedProcessLearnsOfALeave) {
  for (const bool heartbeat_first : {false, true}) {
    UpstreamRegistry registry;
    registry.self_ = "a";
    if (heartbeat_first) {
      RecordHeartbeat(registry, Heartbeat("i-1", 100), At(0), Arbiter::kPort);
    }
    BOOST_TEST(RecordDraining(registry, {"i-1", 100}, At(-2000)) == heartbeat_first);
    if (!heartbeat_first) {
      RecordHeartbeat(registry, Heartbeat("i-1", 100), At(10), Arbiter::kPort);
    }
    BOOST_TEST(registry.local_upstream_.draining_);
    BOOST_TEST((registry.draining_since_ == At(-2000)));
    // Known already, so the later time doesn't extend the limit.
    BOOST_TEST(!RecordDraining(registry, {"i-1", 100}, At(20)));
    BOOST_TEST((registry.draining_since_ == At(-2000)));
  }
}

BOOST_AUTO_TEST_CASE(ALeaveOfAnotherIncarnationChangesNothing) {
  UpstreamRegistry registry;
  registry.self_ = "a";
  RecordHeartbeat(registry, Heartbeat("i-1", 200), At(0), Arbiter::kPort);
  BOOST_TEST(!RecordDraining(registry, {"i-1", 100}, At(0)));
  BOOST_TEST(!registry.local_upstream_.draining_);
}

// Guards against an upstream out of use until its next start: a late leave of an earlier
// incarnation with the same instance id passed for its own.
BOOST_AUTO_TEST_CASE(ALateLeaveOfAnEarlierIncarnationChangesNothing) {
  UpstreamRegistry registry;
  registry.self_ = "a";
  RecordHeartbeat(registry, Heartbeat("i-1", 200), At(0), Arbiter::kPort);
  BOOST_TEST(!RecordLeave(registry, {"i-1", 100}, At(10)));
  BOOST_TEST(!registry.local_upstream_.has_left_);
  BOOST_TEST(!FindLeaving(registry).has_value());
  BOOST_TEST(RecordLeave(registry, {"i-1", 200}, At(20)));
  BOOST_TEST(registry.local_upstream_.has_left_);
  BOOST_TEST((FindLeaving(registry) == LeavingUpstream{"i-1", 200}));
}

BOOST_AUTO_TEST_CASE(ALeaveBeforeTheFirstHeartbeatIsKept) {
  UpstreamRegistry registry;
  registry.self_ = "a";
  BOOST_TEST(!RecordLeave(registry, {"i-1", 100}, At(0)));
  // A late leave of an earlier incarnation doesn't replace it.
  BOOST_TEST(!RecordLeave(registry, {"i-0", 50}, At(5)));
  BOOST_TEST((FindLeaving(registry) == LeavingUpstream{"i-1", 100}));
  RecordHeartbeat(registry, Heartbeat("i-1", 100), At(10), Arbiter::kPort);
  BOOST_TEST(registry.local_upstream_.has_left_);
  BOOST_TEST((registry.draining_since_ == At(0)));
  RecordHeartbeat(registry, Heartbeat("i-1", 300), At(20), Arbiter::kPort);
  BOOST_TEST(!registry.local_upstream_.has_left_);
  BOOST_TEST(!FindLeaving(registry).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sassafrasbay
