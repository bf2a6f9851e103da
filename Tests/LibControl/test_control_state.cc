#define BOOST_TEST_MODULE ControlState
#include <boost/test/unit_test.hpp>

#include "LibControl/control_fixtures.h"
#include "LibControl/record_codec.h"

namespace sassafrasbay::testing {
namespace {

// Guards against two publishers on the same base both taking effect.
BOOST_AUTO_TEST_CASE(SecondPublicationOnTheSameBaseIsRejected) {
  TestLog log;
  BOOST_TEST(log.Append(ConfigurationPublished{0, "x", {ServiceFile("s", 2)}}).valid_);
  BOOST_TEST(!log.Append(ConfigurationPublished{0, "y", {ServiceFile("t", 2)}}).valid_);
  BOOST_TEST(log.state_.configuration_version_ == 1U);
  BOOST_TEST(log.state_.services_.size() == 1U);
}

// Guards against a configuration with faults or with another number of shards taking effect.
BOOST_AUTO_TEST_CASE(FaultyFilesAndChangedShardCountsAreRejected) {
  TestLog log;
  BOOST_TEST(!log.Publish({{"bad.toml", "= ="}}).valid_);
  BOOST_TEST(log.Publish({ServiceFile("s", 4)}).valid_);
  const ApplyResult verdict = log.Publish({ServiceFile("s", 8)});
  BOOST_TEST(!verdict.valid_);
  BOOST_TEST(verdict.reason_.find("number of shards of service s") != std::string::npos);
  BOOST_TEST(log.state_.services_.at("s").shards_.size() == 4U);
}

// Guards against a removed service's units getting new owners when it is published again, since an
// owner may have read neither record, and against units of a new service staying unowned.
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

// Guards against a record applied twice or out of order, and against one of unknown rules.
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

// Guards against ended sessions filling the memory, and against forgetting one while a duplicate
// of its join would still be valid.
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
