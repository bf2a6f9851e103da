#pragma once

#include <span>
#include <string>
#include <vector>

#include "LibOwnership/key_table.h"

namespace sassafrasbay {

/// An upstream that can take keys.
struct Candidate {
  Holder holder_;
  std::uint32_t weight_ = 1;  ///< Its share of the keys, relative to the others; its slots.
};

/// Keys that an upstream has released.
struct ReleasedKeys {
  KeySpan keys_;
  std::string handover_;  ///< Empty when the upstream gave none.
};

// Each function returns the next version of the table, to be written on the condition that the
// table is still the one given. A result equal to `table` but for its version changes nothing.

/// Gives the keys without an owner to the candidates, those with the fewest keys for their weight
/// first.
KeyTable AssignUnownedKeys(const KeyTable& table, std::span<const Candidate> candidates);

/// Gives all ranges of an incarnation that is known to hold nothing any more to the candidates.
KeyTable ReplaceOwner(const KeyTable& table, const Holder& gone,
                      std::span<const Candidate> candidates);

/// Names successors for all ranges of `owner` that have none.
KeyTable AssignSuccessors(const KeyTable& table, const Holder& owner,
                          std::span<const Candidate> candidates, bool planned);

/// Starts the planned move of the keys to `successor`. Keys of other owners, or already moving, are
/// left alone.
KeyTable BeginMove(const KeyTable& table, const Holder& owner, KeySpan keys,
                   const Holder& successor);

/// Passes released keys of `owner` on to their successors.
KeyTable ReleaseKeys(const KeyTable& table, const Holder& owner,
                     std::span<const ReleasedKeys> released);

/// Makes the successor of the given ranges their owner, after the wait for the former owner's hold.
KeyTable CompleteMoves(const KeyTable& table, std::span<const KeySpan> ranges);

/// The owner takes back its ranges whose change wasn't planned.
KeyTable CancelUnplannedMoves(const KeyTable& table, const Holder& owner);

/// True when both tables have the same ranges.
bool SameRanges(const KeyTable& left, const KeyTable& right);

}  // namespace sassafrasbay
