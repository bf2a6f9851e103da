#define BOOST_TEST_MODULE Lease
#include <boost/test/unit_test.hpp>

#include "LibControl/control_fixtures.h"
#include "LibControl/lease.h"

namespace sassafrasbay::testing {
namespace {

BootTime At(int milliseconds_since_boot) { return BootTime(milliseconds(milliseconds_since_boot)); }

TestLog Fleet() {
  TestLog log;
  log.Append(Join("a1", "a"));
  log.Append(Join("b1", "b"));
  log.Append(Join("c1", "c"));
  return log;
}

// Guards against a lease that is counted from the arrival of the acknowledgement, that is extended
// by an acknowledgement for another session or epoch or from a session that isn't a grantor, or
// that a late acknowledgement of an earlier heartbeat changes.
BOOST_AUTO_TEST_CASE(LeaseIsCountedFromTheSendTime) {
  TestLog log = Fleet();
  const Session& own = *FindSession(log.state_, "a1");
  HolderLease lease;
  BOOST_TEST(ExtendByAcknowledgement(lease, own, {"a1", 1, 7, "b1"}, At(100), {}));
  BOOST_TEST(IsHeld(lease, At(1099)));
  BOOST_TEST(!IsHeld(lease, At(1100)));
  BOOST_TEST(ExtendByAcknowledgement(lease, own, {"a1", 1, 6, "c1"}, At(50), {}));
  BOOST_TEST(IsHeld(lease, At(1099)));
  BOOST_TEST(!ExtendByAcknowledgement(lease, own, {"a1", 2, 8, "b1"}, At(900), {}));
  BOOST_TEST(!ExtendByAcknowledgement(lease, own, {"a1", 1, 8, "x"}, At(900), {}));
  BOOST_TEST(!ExtendByAcknowledgement(lease, own, {"b1", 1, 8, "c1"}, At(900), {}));
  BOOST_TEST(!IsHeld(lease, At(1100)));
  ExtendByRecord(lease, 2, At(300), {});
  BOOST_TEST(lease.epoch_ == 2U);
  BOOST_TEST(IsHeld(lease, At(1299)));
}

// Guards against an attestation before the lease and the drift margin have passed, and against a
// second attestation.
BOOST_AUTO_TEST_CASE(AttestationWaitsForLeaseAndDriftMargin) {
  TestLog log = Fleet();
  GrantorState grantor;
  SynchronizeGrantees(grantor, log.state_, "b1", At(0));
  BOOST_TEST(grantor.grantees_.size() == 2U);
  BOOST_TEST(Acknowledge(grantor, {"a1", 1, 1}, true, At(500)));
  BOOST_TEST(TakeDueAttestations(grantor, "b1", At(1099), {}).empty());
  auto due = TakeDueAttestations(grantor, "b1", At(1100), {});
  BOOST_REQUIRE(due.size() == 1U);
  BOOST_TEST(due[0].session_ == "c1");
  BOOST_TEST(due[0].grantor_ == "b1");
  BOOST_TEST(TakeDueAttestations(grantor, "b1", At(1599), {}).empty());
  BOOST_TEST(TakeDueAttestations(grantor, "b1", At(1600), {}).size() == 1U);
  BOOST_TEST(TakeDueAttestations(grantor, "b1", At(9000), {}).empty());
}

// Guards against an acknowledgement after the attestation, without an own lease, for another epoch
// or for a session that isn't a grantee.
BOOST_AUTO_TEST_CASE(AttestedEpochIsNeverAcknowledged) {
  TestLog log = Fleet();
  GrantorState grantor;
  SynchronizeGrantees(grantor, log.state_, "b1", At(0));
  BOOST_TEST(!Acknowledge(grantor, {"a1", 1, 1}, false, At(10)));
  BOOST_TEST(!Acknowledge(grantor, {"a1", 2, 1}, true, At(10)));
  BOOST_TEST(!Acknowledge(grantor, {"x", 1, 1}, true, At(10)));
  TakeDueAttestations(grantor, "b1", At(1100), {});
  BOOST_TEST(!Acknowledge(grantor, {"a1", 1, 2}, true, At(1200)));
  SynchronizeGrantees(grantor, log.state_, "b1", At(1300));
  BOOST_TEST(!Acknowledge(grantor, {"a1", 1, 3}, true, At(1300)));
  log.Append(SessionRenewed{"a1", 2});
  SynchronizeGrantees(grantor, log.state_, "b1", At(1400));
  BOOST_TEST(Acknowledge(grantor, {"a1", 2, 4}, true, At(1500)));
}

// Guards against attestations because the grantor's own event loop was paused and heartbeats of its
// grantees weren't processed.
BOOST_AUTO_TEST_CASE(PauseRestartsLeaseTimers) {
  TestLog log = Fleet();
  GrantorState grantor;
  SynchronizeGrantees(grantor, log.state_, "b1", At(0));
  RestartLeaseTimers(grantor, At(5000));
  BOOST_TEST(TakeDueAttestations(grantor, "b1", At(6099), {}).empty());
  BOOST_TEST(TakeDueAttestations(grantor, "b1", At(6100), {}).size() == 2U);
}

// Guards against acknowledgements for sessions that don't have this node as a grantor, or after the
// end of the node's own session.
BOOST_AUTO_TEST_CASE(GranteesFollowTheLog) {
  TestLog log = Fleet();
  GrantorState grantor;
  SynchronizeGrantees(grantor, log.state_, "b1", At(0));
  log.Append(SessionEnded{"a1"});
  SynchronizeGrantees(grantor, log.state_, "b1", At(100));
  BOOST_TEST(!grantor.grantees_.contains("a1"));
  log.Append(SessionEnded{"b1"});
  SynchronizeGrantees(grantor, log.state_, "b1", At(200));
  BOOST_TEST(grantor.grantees_.empty());
}

// Guards against an attestation before the lease has ended, when the lease in the grantor's
// settings is shorter than the grantee's.
BOOST_AUTO_TEST_CASE(GrantorWaitsForTheLeaseOfItsGrantee) {
  TestLog log;
  SessionJoined join = Join("a1", "a");
  join.lease_ms_ = 3000;
  log.Append(join);
  log.Append(Join("b1", "b"));
  GrantorState grantor;
  SynchronizeGrantees(grantor, log.state_, "b1", At(0));
  const LeaseSettings shorter{milliseconds(500), milliseconds(100), 10};
  BOOST_TEST(TakeDueAttestations(grantor, "b1", At(3299), shorter).empty());
  BOOST_TEST(TakeDueAttestations(grantor, "b1", At(3300), shorter).size() == 1U);
}

}  // namespace
}  // namespace sassafrasbay::testing
