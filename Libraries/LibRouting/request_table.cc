#include "LibRouting/request_table.h"

#include <algorithm>
#include <utility>

namespace sassafrasbay {
namespace {

constexpr int kStatusUnknown = 504;
constexpr std::size_t kUuidLength = 36;

/// Fingerprint of an entry that stands for more than one possible request; it matches all requests.
constexpr std::uint64_t kAnyFingerprint = 0;

bool IsHyphenPosition(std::size_t index) {
  return index == 8 || index == 13 || index == 18 || index == 23;
}

/// Returns the value of a hexadecimal digit, or -1.
int HexValue(char digit) {
  if (digit >= '0' && digit <= '9') {
    return digit - '0';
  }
  const char lower = static_cast<char>(digit | 0x20);
  return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

/// Converts the id to lower case: otherwise a UUID repeated in another case would run twice.
std::string Normalize(std::string_view id) {
  std::string normalized(id);
  for (char& character : normalized) {
    if (character >= 'A' && character <= 'F') {
      character = static_cast<char>(character | 0x20);
    }
  }
  return normalized;
}

RoutedAnswer UnknownAnswer(std::string_view reason) {
  RoutedAnswer answer;
  answer.outcome_ = Outcome::kUnknown;
  answer.response_.status_ = kStatusUnknown;
  answer.reason_ = reason;
  return answer;
}

TableVerdict UnknownVerdict(std::string_view reason) {
  return TableVerdict{TableDecision::kUnknown, UnknownAnswer(reason), std::string(reason)};
}

TableVerdict MakeVerdict(TableDecision decision, std::string_view reason) {
  TableVerdict verdict;
  verdict.decision_ = decision;
  verdict.reason_ = reason;
  return verdict;
}

/// Returns when an entry may be removed. The owner accepts an id as new until the id's time +
/// retention on its own clock. The clock of a later owner may be behind this one by the allowance,
/// hence the extra term. Counting from the later of both times keeps the outcome of ids whose time
/// is in the future or that were entered late.
WallTime ExpiryOf(WallTime id_time, WallTime now, const RequestTableTerms& terms) {
  return std::max(id_time, now) + terms.retention_ + terms.clock_allowance_;
}

void RemoveExpiry(UnitTable& unit, const StoredEntry& entry) {
  auto [first, last] = unit.expiry_.equal_range(entry.expires_);
  const auto found =
      std::find_if(first, last, [&entry](const auto& item) { return item.second == entry.id_; });
  if (found != last) {
    unit.expiry_.erase(found);
  }
}

void Insert(UnitTable& unit, TableEntry entry, WallTime expires) {
  unit.expiry_.emplace(expires, entry.id_);
  std::string key = entry.id_;
  StoredEntry stored;
  static_cast<TableEntry&>(stored) = std::move(entry);
  stored.expires_ = expires;
  unit.entries_.insert_or_assign(std::move(key), std::move(stored));
}

bool IsAnswered(const TableEntry& entry) {
  return entry.phase_ == EntryPhase::kDone && entry.answer_.outcome_ == Outcome::kAnswered;
}

/// Merges a copy into an existing entry. Copies of an id differ when a message to a grantor was
/// lost.
void MergeCopy(StoredEntry& stored, TableEntry&& copy) {
  if (IsAnswered(stored)) {
    return;
  }
  if (IsAnswered(copy)) {
    static_cast<TableEntry&>(stored) = std::move(copy);
    return;
  }
  // The id was refused as not run and then used for another request. Which of the two started last
  // is unknown, so neither may be answered with not-run.
  if (stored.fingerprint_ != copy.fingerprint_) {
    stored.fingerprint_ = kAnyFingerprint;
  }
}

/// Decides on a request whose id is in the table.
TableVerdict DecideStored(const StoredEntry& entry, std::uint64_t fingerprint) {
  if (entry.fingerprint_ != fingerprint && entry.fingerprint_ != kAnyFingerprint) {
    return MakeVerdict(TableDecision::kMismatch,
                       "the idempotency key was used for another request");
  }
  if (entry.phase_ == EntryPhase::kStarted) {
    return MakeVerdict(TableDecision::kWait, "the request is running");
  }
  const bool unknown = entry.answer_.outcome_ == Outcome::kUnknown;
  return TableVerdict{unknown ? TableDecision::kUnknown : TableDecision::kReplay, entry.answer_,
                      entry.answer_.reason_};
}

}  // namespace

Result<WallTime> ParseIdTime(std::string_view id) {
  const auto fail = [](std::string_view detail) {
    return MakeError(Errc::kInvalidArgument, "read idempotency key", "", detail);
  };
  if (id.empty()) {
    return fail("a binding request needs an Idempotency-Key that is a UUIDv7");
  }
  if (id.size() != kUuidLength) {
    return fail("not a UUID");
  }
  std::int64_t time = 0;
  for (std::size_t i = 0; i < kUuidLength; ++i) {
    const int value = HexValue(id[i]);
    if (IsHyphenPosition(i) ? id[i] != '-' : value < 0) {
      return fail("not a UUID");
    }
    // The time is in the first 48 bits: 12 digits and one hyphen.
    if (i < 13 && value >= 0) {
      time = time * 16 + value;
    }
  }
  if (id[14] != '7' || (HexValue(id[19]) & 0xC) != 0x8) {
    return fail("not a UUID of version 7");
  }
  return WallTime(milliseconds(time));
}

void OpenUnit(RequestTable& table, const UnitId& unit, bool incomplete, WallTime now,
              const RequestTableTerms& terms) {
  // Entries from an earlier ownership of the unit stay, since their outcomes are still valid.
  UnitTable& opened = table.units_[unit];
  opened.unknown_until_.reset();
  if (incomplete) {
    opened.unknown_until_ = now + 2 * terms.clock_allowance_;
  }
}

void AdoptEntries(RequestTable& table, const UnitId& unit, std::span<const TableEntry> entries,
                  WallTime now, const RequestTableTerms& terms) {
  const auto found = table.units_.find(unit);
  if (found == table.units_.end()) {
    return;
  }
  for (const TableEntry& entry : entries) {
    const Result<WallTime> time = ParseIdTime(entry.id_);
    // An outcome not-run doesn't cover a later attempt with the same id, whose copy may be at
    // another grantor.
    const bool refused =
        entry.phase_ == EntryPhase::kDone && entry.answer_.outcome_ == Outcome::kNotRun;
    if (entry.unit_ != unit || !time.has_value() || refused) {
      continue;
    }
    TableEntry adopted = entry;
    adopted.id_ = Normalize(entry.id_);
    if (adopted.phase_ == EntryPhase::kStarted) {
      adopted.phase_ = EntryPhase::kDone;
      adopted.answer_ = UnknownAnswer("the owner was lost while the request ran");
    }
    const auto stored = found->second.entries_.find(adopted.id_);
    if (stored != found->second.entries_.end()) {
      MergeCopy(stored->second, std::move(adopted));
      continue;
    }
    Insert(found->second, std::move(adopted), ExpiryOf(time.value(), now, terms));
  }
}

void MarkComplete(RequestTable& table, const UnitId& unit) {
  if (const auto found = table.units_.find(unit); found != table.units_.end()) {
    found->second.unknown_until_.reset();
  }
}

bool IsComplete(const RequestTable& table, const UnitId& unit, WallTime now,
                const RequestTableTerms& terms) {
  const auto found = table.units_.find(unit);
  if (found == table.units_.end()) {
    return false;
  }
  // Once the whole window of unknown ids is older than the retention on the clock of every node,
  // its ids are refused as too old, and a successor needs no window of its own.
  const std::optional<WallTime>& until = found->second.unknown_until_;
  return !until.has_value() || *until + terms.retention_ + terms.clock_allowance_ < now;
}

std::vector<TableEntry> CloseUnit(RequestTable& table, const UnitId& unit) {
  auto closed = table.units_.extract(unit);
  std::vector<TableEntry> entries;
  if (closed.empty()) {
    return entries;
  }
  entries.reserve(closed.mapped().entries_.size());
  for (auto& [id, entry] : closed.mapped().entries_) {
    entries.push_back(std::move(static_cast<TableEntry&>(entry)));
  }
  return entries;
}

TableVerdict Admit(RequestTable& table, const UnitId& unit, std::string_view id,
                   std::uint64_t fingerprint, WallTime now, const RequestTableTerms& terms) {
  const Result<WallTime> time = ParseIdTime(id);
  if (!time.has_value()) {
    return MakeVerdict(TableDecision::kInvalid, time.error().detail_);
  }
  const auto found = table.units_.find(unit);
  if (found == table.units_.end()) {
    return UnknownVerdict("the request table of the unit is not open");
  }
  UnitTable& opened = found->second;
  std::string key = Normalize(id);
  if (const auto stored = opened.entries_.find(key); stored != opened.entries_.end()) {
    return DecideStored(stored->second, fingerprint);
  }
  // This check precedes the one for ids in the future: an earlier owner whose clock was ahead may
  // have run an id that this owner would refuse as not run.
  if (opened.unknown_until_.has_value() && time.value() <= *opened.unknown_until_) {
    return UnknownVerdict("an earlier owner may have run it and its records are lost");
  }
  if (time.value() > now + terms.clock_allowance_) {
    return MakeVerdict(TableDecision::kTooEarly,
                       "the time of the idempotency key is in the future");
  }
  if (time.value() + terms.retention_ <= now) {
    return UnknownVerdict("the idempotency key is older than the retention");
  }
  TableEntry entry;
  entry.unit_ = unit;
  entry.id_ = std::move(key);
  entry.fingerprint_ = fingerprint;
  Insert(opened, std::move(entry), ExpiryOf(time.value(), now, terms));
  return MakeVerdict(TableDecision::kRun, "");
}

void Finish(RequestTable& table, const UnitId& unit, std::string_view id,
            const RoutedAnswer& answer) {
  const auto found = table.units_.find(unit);
  if (found == table.units_.end()) {
    return;
  }
  const auto stored = found->second.entries_.find(Normalize(id));
  if (stored == found->second.entries_.end() || stored->second.phase_ == EntryPhase::kDone) {
    return;
  }
  if (answer.outcome_ == Outcome::kNotRun) {
    RemoveExpiry(found->second, stored->second);
    found->second.entries_.erase(stored);
    return;
  }
  stored->second.phase_ = EntryPhase::kDone;
  stored->second.answer_ = answer;
}

void ExpireEntries(RequestTable& table, WallTime now) {
  for (auto& [unit, stored] : table.units_) {
    while (!stored.expiry_.empty() && stored.expiry_.begin()->first < now) {
      stored.entries_.erase(stored.expiry_.begin()->second);
      stored.expiry_.erase(stored.expiry_.begin());
    }
  }
}

}  // namespace sassafrasbay
