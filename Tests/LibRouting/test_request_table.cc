#define BOOST_TEST_MODULE RequestTable
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cctype>
#include <string>

#include "LibRouting/request_table.h"
#include "LibRouting/uuid_samples.h"

namespace sassafrasbay {
namespace {

using std::chrono::minutes;

const UnitId kUnit{"allotment", 3};
const RequestTableTerms kTerms;
const WallTime kStart(milliseconds(1'800'000'000'000));

RoutedAnswer Answered(std::string_view body) {
  return {Outcome::kAnswered, {200, {}, std::string(body)}, ""};
}

RequestTable OpenTable(bool incomplete = false) {
  RequestTable table;
  OpenUnit(table, kUnit, incomplete, kStart, kTerms);
  return table;
}

TableDecision Decide(RequestTable& table, std::string_view id, WallTime now = kStart,
                     std::uint64_t fingerprint = 1) {
  return Admit(table, kUnit, id, fingerprint, now, kTerms).decision_;
}

// Guards against running a repeated id again, and against rejecting an id that was refused as not
// run before.
BOOST_AUTO_TEST_CASE(RepeatedIdWaitsThenReplays) {
  RequestTable table = OpenTable();
  const std::string id = MakeId(kStart, 1);
  BOOST_TEST((Decide(table, id) == TableDecision::kRun));
  BOOST_TEST((Decide(table, id) == TableDecision::kWait));
  BOOST_TEST((Decide(table, id, kStart, 2) == TableDecision::kMismatch));
  Finish(table, kUnit, id, {Outcome::kNotRun, {503, {}, ""}, "refused"});
  BOOST_TEST(table.units_.at(kUnit).expiry_.empty());
  BOOST_TEST((Decide(table, id, kStart, 2) == TableDecision::kRun));
  Finish(table, kUnit, id, Answered("lot 7"));
  const TableVerdict verdict = Admit(table, kUnit, id, 2, kStart, kTerms);
  BOOST_TEST((verdict.decision_ == TableDecision::kReplay));
  BOOST_TEST(verdict.answer_.response_.body_ == "lot 7");
  BOOST_TEST((Decide(table, id, kStart, 1) == TableDecision::kMismatch));
}

// Guards against an id running twice when it is repeated in another case.
BOOST_AUTO_TEST_CASE(CaseOfTheIdDoesNotMatter) {
  RequestTable table = OpenTable();
  std::string id = MakeId(kStart, 0xabcdef);
  BOOST_TEST((Decide(table, id) == TableDecision::kRun));
  std::transform(id.begin(), id.end(), id.begin(), [](unsigned char c) { return std::toupper(c); });
  BOOST_TEST((Decide(table, id) == TableDecision::kWait));
  Finish(table, kUnit, id, Answered(""));
  BOOST_TEST((Decide(table, id) == TableDecision::kReplay));
}

// Guards against running an id that isn't a UUIDv7, since its age can't be determined.
BOOST_AUTO_TEST_CASE(OnlyUuid7IsAccepted) {
  RequestTable table = OpenTable();
  const std::string id = MakeId(kStart, 1);
  BOOST_TEST((ParseIdTime(id).value() == kStart));
  std::string wrong_version = id;
  wrong_version[14] = '4';
  std::string wrong_variant = id;
  wrong_variant[19] = 'c';
  std::string no_hyphen = id;
  no_hyphen[8] = '0';
  std::string no_digit = id;
  no_digit[30] = 'g';
  for (const std::string& text :
       {std::string(), id + "0", id.substr(1), wrong_version, wrong_variant, no_hyphen, no_digit}) {
    BOOST_TEST((Decide(table, text) == TableDecision::kInvalid));
  }
}

// Guards against ids outside the accepted range of times being run, or being answered as not run
// although they may have run.
BOOST_AUTO_TEST_CASE(IdTimeIsBounded) {
  RequestTable table = OpenTable();
  const WallTime latest = kStart + kTerms.clock_allowance_;
  const WallTime oldest = kStart - kTerms.retention_;
  BOOST_TEST((Decide(table, MakeId(latest, 1)) == TableDecision::kRun));
  BOOST_TEST((Decide(table, MakeId(latest + milliseconds(1), 2)) == TableDecision::kTooEarly));
  BOOST_TEST((Decide(table, MakeId(oldest + milliseconds(1), 3)) == TableDecision::kRun));
  BOOST_TEST((Decide(table, MakeId(oldest, 4)) == TableDecision::kUnknown));
  RequestTable closed;
  BOOST_TEST((Decide(closed, MakeId(kStart, 5)) == TableDecision::kUnknown));
}

// Guards against treating a lost table as an empty one.
BOOST_AUTO_TEST_CASE(IncompleteTableAnswersUnknown) {
  RequestTable table = OpenTable(true);
  const WallTime last = kStart + 2 * kTerms.clock_allowance_;
  BOOST_TEST((Decide(table, MakeId(kStart, 1)) == TableDecision::kUnknown));
  BOOST_TEST((Decide(table, MakeId(last, 2)) == TableDecision::kUnknown));
  BOOST_TEST((Decide(table, MakeId(last + milliseconds(1), 3)) == TableDecision::kTooEarly));
  BOOST_TEST((Decide(table, MakeId(last + milliseconds(1), 3), last) == TableDecision::kRun));
  BOOST_TEST(!IsComplete(table, kUnit, last, kTerms));
  MarkComplete(table, kUnit);
  BOOST_TEST(IsComplete(table, kUnit, last, kTerms));
  BOOST_TEST((Decide(table, MakeId(kStart, 1)) == TableDecision::kRun));
}

// Guards against a table that stays incomplete for ever, so that each move of the unit opens a new
// window of unknown ids.
BOOST_AUTO_TEST_CASE(IncompleteTableBecomesCompleteWithAge) {
  const RequestTable table = OpenTable(true);
  const WallTime aged = kStart + 3 * kTerms.clock_allowance_ + kTerms.retention_;
  BOOST_TEST(!IsComplete(table, kUnit, aged, kTerms));
  BOOST_TEST(IsComplete(table, kUnit, aged + milliseconds(1), kTerms));
}

// Guards against running, replaying or waiting for an entry that was started by an earlier owner.
BOOST_AUTO_TEST_CASE(AdoptedStartedEntryStaysUnknown) {
  RequestTable table = OpenTable();
  const std::string id = MakeId(kStart, 1);
  const TableEntry started{kUnit, id, 1, EntryPhase::kStarted, {}};
  const TableEntry refused{kUnit, id, 1, EntryPhase::kDone, {Outcome::kNotRun, {503, {}, ""}, ""}};
  AdoptEntries(table, kUnit, std::vector{refused, started, refused}, kStart, kTerms);
  BOOST_TEST((Decide(table, id) == TableDecision::kUnknown));
  Finish(table, kUnit, id, Answered("late"));
  BOOST_TEST((Decide(table, id) == TableDecision::kUnknown));
  BOOST_TEST((Decide(table, id, kStart, 2) == TableDecision::kMismatch));
  RequestTable next = OpenTable();
  AdoptEntries(next, kUnit, CloseUnit(table, kUnit), kStart, kTerms);
  const TableVerdict verdict = Admit(next, kUnit, id, 1, kStart, kTerms);
  BOOST_TEST((verdict.decision_ == TableDecision::kUnknown));
  BOOST_TEST((verdict.answer_.outcome_ == Outcome::kUnknown));
  BOOST_TEST(verdict.answer_.response_.status_ == 504);
}

// Guards against an older copy hiding the recorded outcome, in either order of the copies.
BOOST_AUTO_TEST_CASE(RecordedOutcomeWinsOverStartedCopy) {
  const std::string id = MakeId(kStart, 1);
  const TableEntry started{kUnit, id, 1, EntryPhase::kStarted, {}};
  const TableEntry done{kUnit, id, 1, EntryPhase::kDone, Answered("lot 7")};
  for (const auto& copies : {std::vector{started, done}, std::vector{done, started}}) {
    RequestTable table = OpenTable();
    AdoptEntries(table, kUnit, copies, kStart, kTerms);
    BOOST_TEST((Decide(table, id) == TableDecision::kReplay));
  }
}

// Guards against answering not-run for a request that is started according to one of the copies.
BOOST_AUTO_TEST_CASE(ConflictingStartedCopiesAreUnknownForBoth) {
  RequestTable table = OpenTable();
  const std::string id = MakeId(kStart, 1);
  const TableEntry first{kUnit, id, 1, EntryPhase::kStarted, {}};
  const TableEntry second{kUnit, id, 2, EntryPhase::kStarted, {}};
  AdoptEntries(table, kUnit, std::vector{first, second}, kStart, kTerms);
  BOOST_TEST((Decide(table, id, kStart, 1) == TableDecision::kUnknown));
  BOOST_TEST((Decide(table, id, kStart, 2) == TableDecision::kUnknown));
}

// Guards against copies overwriting entries that this owner itself runs, and against adopting
// entries of another unit.
BOOST_AUTO_TEST_CASE(CopiesDoNotReplaceRunningEntries) {
  RequestTable table = OpenTable();
  const std::string id = MakeId(kStart, 1);
  BOOST_TEST((Decide(table, id) == TableDecision::kRun));
  const TableEntry started{kUnit, id, 1, EntryPhase::kStarted, {}};
  const TableEntry other{{"allotment", 4}, MakeId(kStart, 2), 1, EntryPhase::kStarted, {}};
  AdoptEntries(table, kUnit, std::vector{started, other}, kStart, kTerms);
  BOOST_TEST((Decide(table, id) == TableDecision::kWait));
  BOOST_TEST((Decide(table, MakeId(kStart, 2)) == TableDecision::kRun));
}

// Guards against removing an id while it would still be accepted as new: because its time is ahead
// of the clock, because it was entered late, or because the clock of the next owner is behind.
BOOST_AUTO_TEST_CASE(EntriesAreKeptWhileTheirIdIsAccepted) {
  const WallTime ahead = kStart + kTerms.clock_allowance_;
  const WallTime old = kStart - kTerms.retention_ + minutes(1);
  for (const WallTime time : {ahead, kStart, old}) {
    RequestTable table = OpenTable();
    const std::string id = MakeId(time, 1);
    BOOST_TEST((Decide(table, id) == TableDecision::kRun));
    Finish(table, kUnit, id, Answered(""));
    const WallTime end = std::max(time, kStart) + kTerms.retention_ + kTerms.clock_allowance_;
    ExpireEntries(table, end);
    BOOST_TEST((Decide(table, id, end) == TableDecision::kReplay));
    ExpireEntries(table, end + milliseconds(1));
    BOOST_TEST(table.units_.at(kUnit).entries_.empty());
    const WallTime behind = end + milliseconds(1) - kTerms.clock_allowance_;
    BOOST_TEST((Decide(table, id, behind) == TableDecision::kUnknown));
  }
}

}  // namespace
}  // namespace sassafrasbay
