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

struct RequestTableTerms {
  /// Largest lead of a caller's clock over the owner's, and largest difference between the clocks
  /// of two nodes.
  std::chrono::milliseconds clock_allowance_{600'000};
  std::chrono::milliseconds retention_{3'600'000};
};

struct StoredEntry : TableEntry {
  WallTime expires_{};
};

/// Request ids of one unit while this node owns it.
struct UnitTable {
  /// Ids up to this time (of the id) may have run under an earlier owner whose table was not
  /// recovered whole. Unset when the table is complete.
  std::optional<WallTime> unknown_until_;
  std::unordered_map<std::string, StoredEntry> entries_;  ///< By id in lower case.
  std::multimap<WallTime, std::string> expiry_;           ///< When an id leaves the table.
};

struct RequestTable {
  std::map<UnitId, UnitTable> units_;
};

/// Time inside a UUIDv7. Errors: kInvalidArgument when the text isn't one.
Result<WallTime> ParseIdTime(std::string_view id);

enum class TableDecision {
  kRun,       ///< Never seen and certain: entered as started; copy it, then hand it over.
  kWait,      ///< The same id is running: answer with its outcome when it is known.
  kReplay,    ///< Answer with the recorded outcome.
  kMismatch,  ///< The id was used for another request: not run, status 422.
  kTooEarly,  ///< The id's time is too far ahead: not run.
  kUnknown,   ///< It may have run; the answer is filled in.
  kInvalid,   ///< No UUIDv7: not run, status 400.
};

struct TableVerdict {
  TableDecision decision_ = TableDecision::kUnknown;
  RoutedAnswer answer_;  ///< Meaningful for kReplay and kUnknown.
  std::string reason_;
};

/// Starts the table of a unit. `incomplete` tables answer unknown for ids that an earlier owner may
/// have run, that is, whose time is up to now + twice the clock allowance: once for the lead that
/// the earlier owner accepted, once for the difference between the two owners' clocks.
void OpenUnit(RequestTable& table, const UnitId& unit, bool incomplete, WallTime now,
              const RequestTableTerms& terms);

/// Adds entries recovered from copies or a hand-over. A started entry becomes unknown, since only
/// its earlier owner can learn how it ended.
void AdoptEntries(RequestTable& table, const UnitId& unit, std::span<const TableEntry> entries,
                  WallTime now, const RequestTableTerms& terms);

/// Declares the table of the unit complete: every id that ever ran and is retained is in it.
void MarkComplete(RequestTable& table, const UnitId& unit);

/// Whether every absent id that a node would still take for new has certainly not run. Copies and
/// hand-overs carry this.
bool IsComplete(const RequestTable& table, const UnitId& unit, WallTime now,
                const RequestTableTerms& terms);

/// Removes the unit's table and returns its entries, for a hand-over.
std::vector<TableEntry> CloseUnit(RequestTable& table, const UnitId& unit);

/// Decides what to do with a binding request; enters it as started on kRun.
TableVerdict Admit(RequestTable& table, const UnitId& unit, std::string_view id,
                   std::uint64_t fingerprint, WallTime now, const RequestTableTerms& terms);

/// Records the outcome. A not-run outcome removes the entry, so that the id may be tried again.
void Finish(RequestTable& table, const UnitId& unit, std::string_view id,
            const RoutedAnswer& answer);

/// Drops entries past their retention.
void ExpireEntries(RequestTable& table, WallTime now);

}  // namespace sassafrasbay
