#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "LibCore/clock.h"
#include "LibCore/error.h"
#include "LibRouting/messages.h"

namespace sassafrasbay {

/// Limits on the times of the ids that a request table accepts.
struct RequestTableTerms {
  /// Maximum lead of a caller's clock over the owner's, and maximum difference between the clocks
  /// of two nodes.
  std::chrono::milliseconds clock_allowance_{600'000};
  /// Age up to which an id is accepted as new; outcomes are kept at least as long.
  std::chrono::milliseconds retention_{3'600'000};
};

/// A table entry with the time at which it is removed.
struct StoredEntry : TableEntry {
  WallTime expires_{};
};

/// Idempotency keys of the binding requests of one unit, while this node owns it.
struct UnitTable {
  /// Ids whose time is not later than this may have run under an earlier owner whose table was not
  /// recovered completely. Unset when the table is complete.
  std::optional<WallTime> unknown_until_;
  std::unordered_map<std::string, StoredEntry> entries_;  ///< By id in lower case.
  std::multimap<WallTime, std::string> expiry_;  ///< Ids by the time at which they are removed.
};

/// Request tables of all units of this node. They keep a binding request from running twice.
struct RequestTable {
  std::map<UnitId, UnitTable> units_;
};

/// Reads the time from a UUIDv7. Errors: kInvalidArgument when the text isn't a UUIDv7.
Result<WallTime> ParseIdTime(std::string_view id);

/// What to do with a binding request.
enum class TableDecision {
  kRun,       ///< The id has not run. It is entered as started: send copies, then run it.
  kWait,      ///< The id is running: answer with its outcome once known.
  kReplay,    ///< Answer with the recorded outcome.
  kMismatch,  ///< The id was used for another request: not run, status 422.
  kTooEarly,  ///< The id's time is too far in the future: not run.
  kUnknown,   ///< The request may have run; answer with `answer_`.
  kInvalid,   ///< The id is not a UUIDv7: not run, status 400.
};

struct TableVerdict {
  TableDecision decision_ = TableDecision::kUnknown;
  RoutedAnswer answer_;  ///< Set for kReplay and kUnknown.
  std::string reason_;
};

/// Opens the table of a unit. An incomplete table answers unknown for ids that an earlier owner may
/// have run, which are those with a time up to now + twice the clock allowance: one for the lead
/// that the earlier owner accepted, one for the difference between the two owners' clocks.
void OpenUnit(RequestTable& table, const UnitId& unit, bool incomplete, WallTime now,
              const RequestTableTerms& terms);

/// Adds entries recovered from copies or a hand-over. The outcome of a started entry becomes
/// unknown, since only its earlier owner can learn it.
void AdoptEntries(RequestTable& table, const UnitId& unit, std::span<const TableEntry> entries,
                  WallTime now, const RequestTableTerms& terms);

/// Marks the table of the unit as complete: it holds every id that has run and is within the
/// retention.
void MarkComplete(RequestTable& table, const UnitId& unit);

/// Whether every id that is absent from the table and that a node would still accept as new has
/// certainly not run. Sent with copies and hand-overs.
bool IsComplete(const RequestTable& table, const UnitId& unit, WallTime now,
                const RequestTableTerms& terms);

/// Removes the unit's table and returns its entries for a hand-over.
std::vector<TableEntry> CloseUnit(RequestTable& table, const UnitId& unit);

/// Decides what to do with a binding request. Enters it as started when the decision is kRun.
TableVerdict Admit(RequestTable& table, const UnitId& unit, std::string_view id,
                   std::uint64_t fingerprint, WallTime now, const RequestTableTerms& terms);

/// Records the outcome of a request. The outcome not-run removes the entry, so that the id may be
/// tried again.
void Finish(RequestTable& table, const UnitId& unit, std::string_view id,
            const RoutedAnswer& answer);

/// Removes the entries whose expiry has passed.
void ExpireEntries(RequestTable& table, WallTime now);

}  // namespace sassafrasbay
