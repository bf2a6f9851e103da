#define BOOST_TEST_MODULE RequestTableHistories
#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <iostream>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "LibRouting/request_table.h"
#include "LibRouting/uuid_samples.h"

// Random histories of one unit under a sequence of owners whose clocks differ by up to the
// allowance. Requests carry ids of callers whose clocks are wrong by minutes, and are repeated with
// the same or another body. Ownership changes by hand-over or crash, with all, some or none of the
// copies recovered.
namespace sassafrasbay {
namespace {

using std::chrono::minutes;
using Random = std::mt19937_64;

constexpr std::uint64_t kFirstSeed = 31'000;
constexpr int kHistories = 60;
constexpr int kSteps = 3000;
const UnitId kUnit{"booking", 1};
const WallTime kStart(milliseconds(1'800'000'000'000));

/// Window of unknown ids with which a table is opened after its copies were lost.
enum class Window { kByOpenUnit, kSingleAllowance, kNone };

struct Violations {
  int duplicate_runs_ = 0;  ///< Decided kRun for an id that had run.
  int wrong_not_run_ = 0;   ///< Answered as not run although the id had run.
  int wrong_outcome_ = 0;   ///< Replayed an outcome, or waited for one, that does not exist.
  int runs_ = 0;            ///< Requests that ran; shows that the history is not trivial.
  int unknown_window_ = 0;  ///< Ids answered unknown although they had not run.
};

struct History {
  Random random_;
  Window window_ = Window::kByOpenUnit;
  RequestTableTerms terms_;
  WallTime true_time_ = kStart;
  milliseconds owner_clock_{0};  ///< Offset of the owner's clock from the true time.
  RequestTable table_;
  /// Copies at two grantors, and whether each got a complete table after the last change of
  /// ownership.
  std::array<std::map<std::string, TableEntry>, 2> copies_;
  std::array<bool, 2> covered_{true, true};
  std::vector<std::string> ids_;
  /// Ids that ran, with the fingerprint of the request.
  std::map<std::string, std::uint64_t> ran_;
  /// Ids started at the current owner, with the fingerprint of the request.
  std::map<std::string, std::uint64_t> running_;
  Violations violations_;
};

std::uint64_t Pick(History& history, std::uint64_t bound) { return history.random_() % bound; }

milliseconds PickTime(History& history, milliseconds low, milliseconds high) {
  return low + milliseconds(Pick(history, static_cast<std::uint64_t>((high - low).count() + 1)));
}

WallTime OwnerNow(const History& history) { return history.true_time_ + history.owner_clock_; }

/// A copy reaches at least one grantor before the owner continues; the other may miss it.
void SendCopy(History& history, const TableEntry& entry) {
  const std::uint64_t reached = 1 + Pick(history, 3);
  for (std::size_t grantor = 0; grantor < 2; ++grantor) {
    if (((reached >> grantor) & 1U) != 0) {
      history.copies_.at(grantor)[entry.id_] = entry;
    }
  }
}

void SendWholeTable(History& history) {
  const bool complete = IsComplete(history.table_, kUnit, OwnerNow(history), history.terms_);
  for (std::size_t grantor = 0; grantor < 2; ++grantor) {
    history.copies_.at(grantor).clear();
    history.covered_.at(grantor) = complete && Pick(history, 40) != 0;
    for (const auto& [id, entry] : history.table_.units_.at(kUnit).entries_) {
      history.copies_.at(grantor)[id] = entry;
    }
  }
}

void OpenAtNextOwner(History& history, bool incomplete) {
  // The clock offset is between -allowance/2 and +allowance/2, so that two owners differ by at most
  // the allowance.
  const milliseconds half = history.terms_.clock_allowance_ / 2;
  history.owner_clock_ = Pick(history, 2) == 0 ? PickTime(history, -half, half)
                                               : half * (Pick(history, 2) == 0 ? 1 : -1);
  history.table_ = RequestTable{};
  history.running_.clear();
  OpenUnit(history.table_, kUnit, incomplete && history.window_ != Window::kNone, OwnerNow(history),
           history.terms_);
  if (incomplete && history.window_ == Window::kSingleAllowance) {
    history.table_.units_.at(kUnit).unknown_until_ =
        OwnerNow(history) + history.terms_.clock_allowance_;
  }
}

void FinishOne(History& history) {
  if (history.running_.empty()) {
    return;
  }
  const auto running =
      std::next(history.running_.begin(),
                static_cast<std::ptrdiff_t>(Pick(history, history.running_.size())));
  const auto [id, fingerprint] = *running;
  history.running_.erase(running);
  RoutedAnswer answer{Outcome::kNotRun, {503, {}, ""}, "refused"};
  if (history.ran_.contains(id)) {
    answer = {Outcome::kAnswered, {200, {}, id}, ""};
    if (Pick(history, 10) == 0) {
      answer = {Outcome::kUnknown, {504, {}, ""}, "deadline"};
    }
  }
  Finish(history.table_, kUnit, id, answer);
  SendCopy(history, TableEntry{kUnit, id, fingerprint, EntryPhase::kDone, answer});
}

void HandOver(History& history) {
  while (!history.running_.empty()) {
    FinishOne(history);
  }
  const bool complete = IsComplete(history.table_, kUnit, OwnerNow(history), history.terms_);
  const std::vector<TableEntry> entries = CloseUnit(history.table_, kUnit);
  OpenAtNextOwner(history, !complete);
  AdoptEntries(history.table_, kUnit, entries, OwnerNow(history), history.terms_);
  SendWholeTable(history);
}

void CrashOwner(History& history) {
  // Usually both grantors answer; otherwise the table is lost.
  const std::uint64_t answering = Pick(history, 16);
  const bool both = answering >= 3;
  OpenAtNextOwner(history, !(both && history.covered_[0] && history.covered_[1]));
  for (std::size_t grantor = 0; grantor < 2; ++grantor) {
    if (both || answering == grantor) {
      std::vector<TableEntry> entries;
      for (const auto& [id, entry] : history.copies_.at(grantor)) {
        entries.push_back(entry);
      }
      AdoptEntries(history.table_, kUnit, entries, OwnerNow(history), history.terms_);
    }
  }
  SendWholeTable(history);
}

/// Makes a new id of a caller whose clock is wrong by minutes, or repeats a recent id.
std::string PickId(History& history) {
  if (!history.ids_.empty() && Pick(history, 3) != 0) {
    const std::uint64_t recent = std::min<std::uint64_t>(history.ids_.size(), 60);
    return history.ids_[history.ids_.size() - 1 - Pick(history, recent)];
  }
  const milliseconds error = Pick(history, 10) == 0 ? PickTime(history, minutes(-80), minutes(30))
                                                    : PickTime(history, minutes(-16), minutes(16));
  history.ids_.push_back(MakeId(history.true_time_ + error, history.ids_.size()));
  return history.ids_.back();
}

void Start(History& history, const std::string& id, std::uint64_t fingerprint) {
  history.violations_.duplicate_runs_ += history.ran_.contains(id) ? 1 : 0;
  history.running_[id] = fingerprint;
  SendCopy(history, TableEntry{kUnit, id, fingerprint, EntryPhase::kStarted, {}});
  if (Pick(history, 5) != 0) {  // Otherwise the upstream refuses it without running it.
    history.ran_[id] = fingerprint;
    ++history.violations_.runs_;
  }
}

void AdmitOne(History& history) {
  const std::string id = PickId(history);
  const std::uint64_t fingerprint = 1 + (Pick(history, 5) == 0 ? 1 : 0);
  const TableVerdict verdict =
      Admit(history.table_, kUnit, id, fingerprint, OwnerNow(history), history.terms_);
  const auto ran = history.ran_.find(id);
  const bool this_ran = ran != history.ran_.end() && ran->second == fingerprint;
  Violations& violations = history.violations_;
  switch (verdict.decision_) {
    case TableDecision::kRun:
      return Start(history, id, fingerprint);
    case TableDecision::kWait:
      violations.wrong_outcome_ += history.running_.contains(id) ? 0 : 1;
      return;
    case TableDecision::kReplay:
      violations.wrong_outcome_ +=
          this_ran && verdict.answer_.outcome_ == Outcome::kAnswered ? 0 : 1;
      return;
    case TableDecision::kMismatch:
      violations.wrong_not_run_ += this_ran ? 1 : 0;
      return;
    case TableDecision::kTooEarly:
    case TableDecision::kInvalid:
      violations.wrong_not_run_ += ran != history.ran_.end() ? 1 : 0;
      return;
    case TableDecision::kUnknown:
      violations.unknown_window_ += ran == history.ran_.end() ? 1 : 0;
      return;
  }
}

void Step(History& history) {
  const std::uint64_t kind = Pick(history, 100);
  if (kind < 60) {
    AdmitOne(history);
  } else if (kind < 85) {
    FinishOne(history);
  } else if (kind < 97) {
    history.true_time_ += PickTime(history, milliseconds(0), minutes(2));
    ExpireEntries(history.table_, OwnerNow(history));
  } else if (kind < 98) {
    HandOver(history);
  } else if (kind < 99) {
    CrashOwner(history);
  } else if (Pick(history, 4) == 0) {
    history.true_time_ += PickTime(history, minutes(10), minutes(75));
    ExpireEntries(history.table_, OwnerNow(history));
  }
}

Violations RunHistories(Window window) {
  Violations total;
  for (int i = 0; i < kHistories; ++i) {
    History history;
    history.random_.seed(kFirstSeed + static_cast<std::uint64_t>(i));
    history.window_ = window;
    OpenAtNextOwner(history, false);
    for (int step = 0; step < kSteps; ++step) {
      Step(history);
    }
    total.duplicate_runs_ += history.violations_.duplicate_runs_;
    total.wrong_not_run_ += history.violations_.wrong_not_run_;
    total.wrong_outcome_ += history.violations_.wrong_outcome_;
    total.runs_ += history.violations_.runs_;
    total.unknown_window_ += history.violations_.unknown_window_;
  }
  std::cout << "seeds " << kFirstSeed << " to " << kFirstSeed + kHistories - 1 << ": runs "
            << total.runs_ << ", doubled " << total.duplicate_runs_ << ", wrong not-run "
            << total.wrong_not_run_ << ", wrong outcome " << total.wrong_outcome_
            << ", unknown without a run " << total.unknown_window_ << '\n';
  return total;
}

// Guards against an id running twice, and against answering not-run for an id that has run.
BOOST_AUTO_TEST_CASE(NoIdRunsTwice) {
  const Violations violations = RunHistories(Window::kByOpenUnit);
  BOOST_TEST(violations.duplicate_runs_ == 0);
  BOOST_TEST(violations.wrong_not_run_ == 0);
  BOOST_TEST(violations.wrong_outcome_ == 0);
  BOOST_TEST(violations.runs_ > kHistories * 100);
}

// Shows that NoIdRunsTwice detects lost tables that are opened as complete.
BOOST_AUTO_TEST_CASE(NoIdRunsTwiceFailsWithoutUnknownWindow) {
  BOOST_TEST(RunHistories(Window::kNone).duplicate_runs_ > 0);
}

// Shows that a window of one allowance is too short when the owners' clocks differ by the
// allowance.
BOOST_AUTO_TEST_CASE(NoIdRunsTwiceFailsWithWindowOfOneAllowance) {
  const Violations violations = RunHistories(Window::kSingleAllowance);
  BOOST_TEST(violations.duplicate_runs_ + violations.wrong_not_run_ > 0);
}

}  // namespace
}  // namespace sassafrasbay
