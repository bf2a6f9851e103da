#define BOOST_TEST_MODULE ControlState
#include <boost/test/unit_test.hpp>

#include "LibControl/control_fixtures.h"
#include "LibControl/record_codec.h"

namespace sassafrasbay::testing {
namespace {

// Guards against two publications on the same base version both taking effect, which would lose the
// first one.
BOOST_AUTO_TEST_CASE(SecondPublicationOnTheSameBaseIsRejected) {
  TestLog log;
  BOOST_TEST(log.Append(ConfigurationPublished{0, "x", {ServiceFile("s", 2)}}).valid_);
  BOOST_TEST(!log.Append(ConfigurationPublished{0, "y", {ServiceFile("t", 2)}}).valid_);
  BOOST_TEST(log.state_.configuration_version_ == 1U);
  BOOST_TEST(log.state_.services_.size() == 1U);
}

// Guards against a configuration that doesn't parse, or that changes the number of shards of a
// service with units, taking effect.
BOOST_AUTO_TEST_CASE(FaultyFilesAndChangedShardCountsAreRejected) {
  TestLog log;
  BOOST_TEST(!log.Publish({{"bad.toml", "= ="}}).valid_);
  BOOST_TEST(log.Publish({ServiceFile("s", 4)}).valid_);
  const ApplyResult result = log.Publish({ServiceFile("s", 8)});
  BOOST_TEST(!result.valid_);
  BOOST_TEST(result.reason_.find("number of shards of service s") != std::string::npos);
  BOOST_TEST(log.state_.services_.at("s").shards_.size() == 4U);
}

// Guards against new owners for the units of a service that is removed and published again, since
// an owner that has read neither record still serves them. Also guards against units of a new
// service that stay without owner.
BOOST_AUTO_TEST_CASE(RepublishedServiceKeepsItsOwners) {
  TestLog log;
  log.Append(Join("s1", "a"));
  log.Publish({ServiceFile("s", 4)});
  BOOST_TEST(UnitAt(log.state_, 3).owner_ == "s1");
  BOOST_TEST(UnitAt(log.state_, 3).token_ == 1U);
  BOOST_TEST(UnitAt(log.state_, 3).inherited_from_.empty());
  log.Publish({ServiceFile("t", 2)});
  BOOST_TEST(FindService(log.state_.configuration_, "s") == nullptr);
  BOOST_TEST(log.state_.services_.at("t").shards_[0].owner_.empty());
  log.Append(Join("s2", "a"));
  BOOST_TEST(!log.Publish({ServiceFile("s", 5)}).valid_);
  BOOST_TEST(log.Publish({ServiceFile("s", 4)}).valid_);
  BOOST_TEST(UnitAt(log.state_, 3).owner_ == "s1");
  BOOST_TEST(UnitAt(log.state_, 3).token_ == 1U);
}

// Guards against a record that is applied twice, out of order or under an unknown rules version.
BOOST_AUTO_TEST_CASE(OnlyTheNextOffsetIsApplied) {
  TestLog log;
  log.Publish({ServiceFile("s", 1)});
  const std::string before = EncodeState(log.state_);
  BOOST_TEST(!Apply(log.state_, 0, {"id", kRulesVersion, Join("s1", "a")}).valid_);
  BOOST_TEST(!Apply(log.state_, 2, {"id", kRulesVersion, Join("s1", "a")}).valid_);
  BOOST_TEST(!Apply(log.state_, 1, {"id", kRulesVersion + 1, Join("s1", "a")}).valid_);
  BOOST_TEST(EncodeState(log.state_) == before);
  SkipRecord(log.state_, 1);
  BOOST_TEST(log.state_.next_offset_ == 2U);
}

// Guards against a list of ended sessions that grows without limit, and against pruning a session
// while a duplicate of its join would still be accepted.
BOOST_AUTO_TEST_CASE(EndedSessionsArePrunedOnlyWhenTheirJoinIsTooOld) {
  TestLog log;
  SessionJoined join = Join("s1", "a");
  join.based_on_ = 1;
  log.SkipTo(1);
  BOOST_TEST(log.Append(join).valid_);
  BOOST_TEST(log.Append(SessionEnded{"s1"}).valid_);
  log.SkipTo(kEndedSessionRetention + 1);
  BOOST_TEST(!log.Append(join).valid_);
  log.SkipTo(kEndedSessionRetention + 2048);
  BOOST_TEST(log.state_.ended_.empty());
  BOOST_TEST(!log.Append(join).valid_);
}

}  // namespace
}  // namespace sassafrasbay::testing
