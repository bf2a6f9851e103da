#include <boost/test/unit_test.hpp>

#include "LibOwnership/upstream_registry.h"

namespace sassafrasbay {
namespace {

BootTime At(int ms) { return BootTime(std::chrono::minutes(10)) + milliseconds(ms); }

UpstreamHeartbeat Heartbeat(const std::string& instance, std::int64_t born_ms,
                            std::uint64_t sequence) {
  UpstreamHeartbeat heartbeat;
  heartbeat.instance_ = instance;
  heartbeat.born_ms_ = born_ms;
  heartbeat.sequence_ = sequence;
  heartbeat.slots_ = 4;
  return heartbeat;
}

struct RegistryFixture {
  HeartbeatEffect Record(const std::string& instance, std::int64_t born_ms, std::uint64_t sequence,
                         int at_ms) {
    return RecordHeartbeat(registry_, Heartbeat(instance, born_ms, sequence), At(at_ms), arbiter_);
  }

  HeartbeatEffect NamePort(const std::string& instance, int at_ms) {
    return RecordPortAnswer(registry_, instance, At(at_ms));
  }

  UpstreamRegistry registry_;
  Arbiter arbiter_ = Arbiter::kPort;
};

BOOST_FIXTURE_TEST_SUITE(Registry, RegistryFixture)

// Guards against two owners of a key (OWNER): heartbeats of another writer with a later start time
// passed for proof that the upstream had exited, one of them or two in a row, and its keys went to
// others at once.
BOOST_AUTO_TEST_CASE(HeartbeatsOfALaterIncarnationProveNothing) {
  Record("i-1", 100, 1, 0);
  Record("i-1", 100, 2, 900);
  BOOST_TEST(ConfirmedBornMs(registry_) == 0);
  for (int i = 0; i < 6; ++i) {
    BOOST_TEST((Record("i-2", 200, 1 + static_cast<std::uint64_t>(i), 1000 + 200 * i) ==
                HeartbeatEffect::kUnconfirmed));
  }
  BOOST_TEST(ConfirmedBornMs(registry_) == 0);
  // The upstream runs on, and its heartbeats renew its grants.
  BOOST_TEST((Record("i-1", 100, 3, 2300) == HeartbeatEffect::kUnchanged));
  BOOST_TEST((Record("i-2", 200, 7, 2400) == HeartbeatEffect::kUnconfirmed));
  BOOST_TEST(registry_.newest_->instance_ == "i-1");
}

// Guards against the same at a process that has just started and hears of the other writer first.
BOOST_AUTO_TEST_CASE(TheFirstHeartbeatsToAProcessProveNothing) {
  BOOST_TEST((Record("i-2", 200, 1, 0) == HeartbeatEffect::kNewIncarnation));
  BOOST_TEST(ConfirmedBornMs(registry_) == 0);
  BOOST_TEST((Record("i-1", 100, 8, 100) == HeartbeatEffect::kNewIncarnation));
  BOOST_TEST((Record("i-1", 100, 9, 970) == HeartbeatEffect::kChanged));
  BOOST_TEST(ConfirmedBornMs(registry_) == 0);
  BOOST_TEST((NamePort("i-1", 980) == HeartbeatEffect::kChanged));
  BOOST_TEST(ConfirmedBornMs(registry_) == 100);
}

// Guards against keys that stay with an upstream that has exited, whether or not it was silent
// before the next one's first heartbeat.
BOOST_AUTO_TEST_CASE(ARestartedUpstreamIsConfirmedByThePort) {
  for (const int at_ms : {500, 1700}) {
    registry_ = UpstreamRegistry{};
    Record("i-1", 100, 7, 0);
    BOOST_TEST((Record("i-2", 200, 1, at_ms) == HeartbeatEffect::kUnconfirmed));
    BOOST_TEST(CanPortDecide(registry_));
    BOOST_TEST((NamePort("i-2", at_ms + 10) == HeartbeatEffect::kNewIncarnation));
    BOOST_TEST(registry_.newest_->instance_ == "i-2");
    BOOST_TEST(ConfirmedBornMs(registry_) == 200);
    // Delayed on its way.
    BOOST_TEST((Record("i-1", 100, 8, at_ms + 20) == HeartbeatEffect::kOutdated));
  }
}

// Guards against an upstream that is replaced because its own heartbeats are cut off while those of
// another writer arrive.
BOOST_AUTO_TEST_CASE(AnUpstreamThatAnswersAtItsPortKeepsItsPlace) {
  Record("i-1", 100, 7, 0);
  for (int i = 0; i < 20; ++i) {
    const int at_ms = 1000 + 400 * i;
    BOOST_TEST((Record("i-2", 200, 1 + static_cast<std::uint64_t>(i), at_ms) ==
                HeartbeatEffect::kUnconfirmed));
    // Not every heartbeat is followed by a probe, and not every probe is answered.
    if (i % 5 == 0) {
      NamePort("i-1", at_ms + 10);
    } else if (i % 5 == 1) {
      NamePort("", at_ms + 10);
    }
  }
  BOOST_TEST(registry_.newest_->instance_ == "i-1");
  BOOST_TEST((Record("i-1", 100, 8, 9000) != HeartbeatEffect::kOutdated));
}

// Guards against an upstream that gets no keys for good, since another writer's heartbeats took its
// place while it was silent and its port didn't answer.
BOOST_AUTO_TEST_CASE(AReplacedUpstreamReturnsThroughThePort) {
  Record("i-1", 100, 7, 0);
  BOOST_TEST((Record("i-2", 200, 1, 1700) == HeartbeatEffect::kUnconfirmed));
  BOOST_TEST((Record("i-2", 200, 2, 2100) == HeartbeatEffect::kNewIncarnation));
  BOOST_TEST(ConfirmedBornMs(registry_) == 0);
  BOOST_TEST((Record("i-1", 100, 8, 2200) == HeartbeatEffect::kUnconfirmed));
  BOOST_TEST((NamePort("i-1", 2210) == HeartbeatEffect::kNewIncarnation));
  BOOST_TEST(registry_.newest_->instance_ == "i-1");
  BOOST_TEST((Record("i-1", 100, 9, 3070) == HeartbeatEffect::kUnchanged));
}

// An upstream may start again under its id, which the port can't tell from the one before. Guards
// against a place that goes to another writer with that id while the upstream is heard.
BOOST_AUTO_TEST_CASE(AStartUnderTheSameIdWaitsForSilence) {
  Record("i-1", 100, 7, 0);
  BOOST_TEST((Record("i-1", 200, 1, 500) == HeartbeatEffect::kUnconfirmed));
  BOOST_TEST(!CanPortDecide(registry_));
  BOOST_TEST((Record("i-1", 200, 2, 1370) == HeartbeatEffect::kUnconfirmed));
  BOOST_TEST((Record("i-1", 200, 3, 2240) == HeartbeatEffect::kNewIncarnation));
  NamePort("i-1", 2250);
  BOOST_TEST(ConfirmedBornMs(registry_) == 200);
}

// The next incarnation serves from its first heartbeat on if the port has proved the exit.
BOOST_AUTO_TEST_CASE(AnUpstreamWithARefusingPortIsReplacedAtOnce) {
  Record("i-1", 100, 7, 0);
  BOOST_TEST(RecordClosedPort(registry_, At(1400), milliseconds(870)));
  BOOST_TEST((Record("i-2", 200, 1, 1500) == HeartbeatEffect::kNewIncarnation));
  BOOST_TEST(ConfirmedBornMs(registry_) == 200);
}

// Guards against two owners of a key (OWNER): an upstream without heartbeats, with all the
// connections that it accepts, refused one more, and counted as exited while it held its keys.
BOOST_AUTO_TEST_CASE(AFullUpstreamHasNotClosedItsPort) {
  constexpr std::uint32_t kSlots = 18;
  constexpr std::uint32_t kMaxConnections = 12;
  // All its connections are open, or fewer while requests wait for its slots.
  BOOST_TEST(!IsPortClosed({12, 0, kSlots, kMaxConnections}));
  BOOST_TEST(!IsPortClosed({1, 0, kSlots, kMaxConnections}));
  // It is frozen, and this node has given up all requests on them.
  BOOST_TEST(!IsPortClosed({0, 12, kSlots, kMaxConnections}));
  BOOST_TEST(!IsPortClosed({0, 18, kSlots, std::nullopt}));
  BOOST_TEST(!IsPortClosed({0, 1, 1, kMaxConnections}));
}

// Guards against an upstream that is replaced later than needed after a crash, which ends its
// connections, also if some had been given up shortly before.
BOOST_AUTO_TEST_CASE(ACrashedUpstreamHasClosedItsPort) {
  BOOST_TEST(IsPortClosed({0, 0, 1, std::nullopt}));
  BOOST_TEST(IsPortClosed({0, 0, 18, 130}));
  BOOST_TEST(IsPortClosed({0, 11, 18, 12}));
  BOOST_TEST(IsPortClosed({0, 17, 18, 130}));
}

// A closed port alone proves nothing while heartbeats arrive.
BOOST_AUTO_TEST_CASE(AClosedPortCountsOnceHeartbeatsAreOverdue) {
  Record("i-1", 100, 7, 0);
  BOOST_TEST(!RecordClosedPort(registry_, At(1300), milliseconds(870)));
  BOOST_TEST(!registry_.local_upstream_.has_exited_);
  BOOST_TEST(RecordClosedPort(registry_, At(1310), milliseconds(870)));
  BOOST_TEST(!RecordClosedPort(registry_, At(1320), milliseconds(870)));
}

// Where no keys are at stake no health check is made: a silent upstream is replaced by the first
// heartbeat of the next, and one that is heard by two in a row.
BOOST_AUTO_TEST_CASE(WithoutKeysHeartbeatsDecide) {
  arbiter_ = Arbiter::kHeartbeats;
  Record("i-1", 100, 7, 0);
  BOOST_TEST((Record("i-2", 200, 1, 500) == HeartbeatEffect::kUnconfirmed));
  // A copy of the first one that comes late.
  BOOST_TEST((Record("i-2", 200, 1, 600) == HeartbeatEffect::kUnconfirmed));
  BOOST_TEST((Record("i-2", 200, 2, 1370) == HeartbeatEffect::kNewIncarnation));
  BOOST_TEST((Record("i-1", 100, 8, 1400) == HeartbeatEffect::kOutdated));
  BOOST_TEST((Record("i-3", 300, 1, 3000) == HeartbeatEffect::kNewIncarnation));
  BOOST_TEST(ConfirmedBornMs(registry_) == 0);
}

// Guards against grants that are forgotten when another incarnation takes the place: the keys must
// not pass on before they have expired.
BOOST_AUTO_TEST_CASE(GrantsOfEarlierIncarnationsAreRemembered) {
  Record("i-1", 100, 7, 0);
  HeartbeatAnswer answer;
  answer.grant_duration_ = milliseconds(4000);
  answer.ranges_ = {{{0, 99}, 1, {}}};
  RecordGrant(registry_, answer, At(0));
  const BootTime granted_until = registry_.local_upstream_.granted_until_;
  Record("i-2", 200, 1, 1700);
  Record("i-2", 200, 2, 2100);
  RecordGrant(registry_, answer, At(2100));
  BOOST_TEST(registry_.newest_->instance_ == "i-2");
  BOOST_TEST((registry_.local_upstream_.earlier_granted_until_ == granted_until));
  BOOST_TEST((registry_.local_upstream_.granted_until_ > granted_until));
}

// Guards against load on a cold upstream that a node takes for its predecessor: an upstream may
// start again under the same id before its heartbeats are overdue.
BOOST_AUTO_TEST_CASE(HeartbeatsTellWhetherTheUpstreamIsCold) {
  Record("i-1", 100, 1, 0);
  BOOST_TEST((registry_.local_upstream_.cold_until_ <= At(0)));
  UpstreamHeartbeat cold = Heartbeat("i-1", 200, 1);
  cold.warmup_remaining_ = milliseconds(3000);
  BOOST_TEST((RecordHeartbeat(registry_, cold, At(500), Arbiter::kHeartbeats) ==
              HeartbeatEffect::kUnconfirmed));
  BOOST_TEST((registry_.local_upstream_.cold_until_ == At(3500)));
  cold.sequence_ = 2;
  cold.warmup_remaining_ = milliseconds(2100);
  RecordHeartbeat(registry_, cold, At(1370), Arbiter::kHeartbeats);
  BOOST_TEST((registry_.local_upstream_.cold_until_ == At(3470)));
  // It may also turn cold, or warm, without a new start.
  Record("i-1", 200, 3, 2240);
  BOOST_TEST((registry_.local_upstream_.cold_until_ <= At(2240)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sassafrasbay
