#pragma once

#include <span>
#include <string>
#include <vector>

#include "LibOwnership/key_table.h"

namespace sassafrasbay {

/// An upstream that can take keys.
struct Candidate {
  Holder holder_;
  std::uint32_t weight_ = 1;  ///< Relative share of the keys: the upstream's number of slots.
};

/// Keys of a moving range that an upstream has released.
struct ReleasedKeys {
  KeySpan keys_;
  std::string handover_;  ///< Data for the successor's upstream; may be empty.
};

// Each of these functions returns the next version of the table, which has to be written on the
// condition that the given table is still the latest. When nothing changes, the result differs from
// `table` only in its version.

/// Assigns keys without an owner to the candidates, first to those with the fewest keys per weight.
KeyTable AssignUnownedKeys(const KeyTable& table, std::span<const Candidate> candidates);

/// Assigns all ranges of an incarnation that has exited to their successors or, without one, to the
/// candidates.
KeyTable ReplaceOwner(const KeyTable& table, const Holder& former_owner,
                      std::span<const Candidate> candidates);

/// Assigns successors to all ranges of `owner` that have none.
KeyTable AssignSuccessors(const KeyTable& table, const Holder& owner,
                          std::span<const Candidate> candidates, bool planned);

/// Starts the planned move of the keys to `successor`. Keys of other owners and keys that are
/// already moving aren't changed.
KeyTable BeginMove(const KeyTable& table, const Holder& owner, KeySpan keys,
                   const Holder& successor);

/// Makes the successors of released keys of `owner` their owners.
KeyTable ReleaseKeys(const KeyTable& table, const Holder& owner,
                     std::span<const ReleasedKeys> released);

/// Makes the successors of the given ranges their owners, without a release. The grants of the
/// former owners must have expired.
KeyTable CompleteMoves(const KeyTable& table, std::span<const KeySpan> ranges);

/// Removes the successors from ranges of `owner` with an unplanned move.
KeyTable CancelUnplannedMoves(const KeyTable& table, const Holder& owner);

/// True when both tables have the same ranges.
bool SameRanges(const KeyTable& left, const KeyTable& right);

}  // namespace sassafrasbay
