#include <boost/test/unit_test.hpp>

#include "LibControl/control_fixtures.h"

namespace sassafrasbay::testing {
namespace {

using Ids = std::vector<SessionId>;

// Guards against grantors in the session's own data centre, and against two grantors in the same
// data centre.
BOOST_AUTO_TEST_CASE(GrantorsAreInTwoOtherDataCentres) {
  TestLog log;
  log.Append(Join("a1", "a"));
  log.Append(Join("b1", "b"));
  log.Append(Join("b2", "b"));
  log.Append(Join("c1", "c"));
  log.Append(Join("a2", "a"));
  const Ids grantors = GrantorsOf(log.state_, "a2");
  // b2 has fewer grantees than b1 and c1 is the only one in its data centre.
  BOOST_TEST((grantors == Ids{"b2", "c1"} || grantors == Ids{"c1", "b2"}));
}

// Guards against an early session that stays without grantors after other sessions have joined.
BOOST_AUTO_TEST_CASE(NewSessionBecomesGrantorOfSessionsWithTooFew) {
  TestLog log;
  log.Append(Join("a1", "a"));
  BOOST_TEST(GrantorsOf(log.state_, "a1").empty());
  log.Append(Join("a2", "a"));
  BOOST_TEST((GrantorsOf(log.state_, "a1") == Ids{"a2"}));
  log.Append(Join("b1", "b"));
  log.Append(Join("c1", "c"));
  log.Append(Join("c2", "c"));
  // The active grantor in the session's own data centre stays; two in other data centres are added.
  BOOST_TEST((GrantorsOf(log.state_, "a1") == Ids{"a2", "b1", "c1"}));
}

// Guards against a grantor in another region while a session in another data centre of the same
// region is active.
BOOST_AUTO_TEST_CASE(OtherRegionIsOnlyAFallback) {
  TestLog log;
  log.Append(Join("a1", "a"));
  SessionJoined far = Join("x1", "x");
  far.region_ = "far";
  log.Append(far);
  BOOST_TEST((GrantorsOf(log.state_, "a1") == Ids{"x1"}));
  log.Append(Join("b1", "b"));
  BOOST_TEST((GrantorsOf(log.state_, "b1") == Ids{"a1"}));
}

// Guards against ending a session while one of its grantors may still extend its lease.
BOOST_AUTO_TEST_CASE(AllGrantorsMustAttestTheCurrentEpoch) {
  TestLog log;
  log.Append(Join("a1", "a"));
  log.Append(Join("b1", "b"));
  log.Append(Join("c1", "c"));
  BOOST_TEST(log.Append(LapseAttested{"a1", 1, "b1"}).valid_);
  BOOST_TEST(!log.Append(LapseAttested{"a1", 1, "b1"}).valid_);
  BOOST_TEST(!log.Append(SessionRenewed{"a1", 3}).valid_);
  BOOST_TEST(log.Append(SessionRenewed{"a1", 2}).valid_);
  BOOST_TEST(!log.Append(LapseAttested{"a1", 1, "c1"}).valid_);
  BOOST_TEST(log.Append(LapseAttested{"a1", 2, "c1"}).valid_);
  BOOST_TEST(FindSession(log.state_, "a1") != nullptr);
  BOOST_TEST(log.Append(LapseAttested{"a1", 2, "b1"}).valid_);
  BOOST_TEST(FindSession(log.state_, "a1") == nullptr);
  BOOST_TEST((log.state_.ended_.at("a1").grantors_ == Ids{"b1", "c1"}));
  BOOST_TEST(!log.Append(SessionRenewed{"a1", 3}).valid_);
  BOOST_TEST(!log.Append(Join("a1", "a")).valid_);
}

// Guards against ending a session by an attestation from itself or from a session that isn't one of
// its grantors.
BOOST_AUTO_TEST_CASE(OnlyGrantorsAttest) {
  TestLog log;
  log.Append(Join("a1", "a"));
  BOOST_TEST(!log.Append(LapseAttested{"a1", 1, "a1"}).valid_);
  BOOST_TEST(!log.Append(LapseAttested{"a1", 1, ""}).valid_);
  BOOST_TEST(FindSession(log.state_, "a1") != nullptr);
}

// Guards against a session that keeps an ended grantor. Such a session could never be ended, since
// all grantors must attest.
BOOST_AUTO_TEST_CASE(EndedGrantorIsReplaced) {
  TestLog log;
  log.Append(Join("a1", "a"));
  log.Append(Join("b1", "b"));
  log.Append(Join("c1", "c"));
  log.Append(Join("c2", "c"));
  log.Append(LapseAttested{"a1", 1, "b1"});
  const Offset offset = log.state_.next_offset_;
  log.Append(SessionEnded{"c1"});
  BOOST_TEST((GrantorsOf(log.state_, "a1") == Ids{"b1", "c2"}));
  const Session& session = *FindSession(log.state_, "a1");
  BOOST_TEST(session.grantors_changed_at_ == offset);
  BOOST_TEST(session.grantors_[1].since_ == offset);
  BOOST_TEST(!session.grantors_[1].attested_);
}

// Guards against ending a session by the attestation of its remaining grantor, while the lease is
// still held by a heartbeat that the lost grantor acknowledged just before its end.
BOOST_AUTO_TEST_CASE(LossOfGrantorWithoutReplacementStartsNewEpoch) {
  TestLog log;
  log.Append(Join("a1", "a"));
  log.Append(Join("b1", "b"));
  log.Append(Join("c1", "c"));
  const Offset offset = log.state_.next_offset_;
  BOOST_TEST(log.Append(LapseAttested{"a1", 1, "b1"}).valid_);
  log.Append(SessionEnded{"c1"});
  const Session& session = *FindSession(log.state_, "a1");
  BOOST_TEST((GrantorsOf(log.state_, "a1") == Ids{"b1"}));
  BOOST_TEST(session.epoch_ == 2U);
  BOOST_TEST(session.epoch_since_ == offset + 1);
  BOOST_TEST(!session.grantors_[0].attested_);
  BOOST_TEST(!log.Append(LapseAttested{"a1", 1, "b1"}).valid_);
  BOOST_TEST(log.Append(LapseAttested{"a1", 2, "b1"}).valid_);
  BOOST_TEST(FindSession(log.state_, "a1") == nullptr);
}

}  // namespace
}  // namespace sassafrasbay::testing
