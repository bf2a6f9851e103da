#pragma once

#include <optional>
#include <string>
#include <vector>

#include "LibCore/clock.h"
#include "LibOwnership/key_table.h"

namespace sassafrasbay {

/// Delay between the record that assigns a successor and the takeover of the range by the
/// successor's node without a release by the owner. Grants by the owner's node expire at the latest
/// this long after the last time at which its table was known to be the latest one, or at which all
/// other nodes promised not to complete a takeover. The keys of a lost VM are unserved for this
/// time; the process of a node restarts in less.
inline constexpr milliseconds kTakeoverDelay{4000};

/// Delay between a node's registration and its first takeover. Nodes that don't know the new node
/// yet rely on the promises of the others for no longer than this, which limits the duration of a
/// store outage in which grants can still be renewed.
inline constexpr milliseconds kNewNodeTakeoverDelay{12000};

/// Maximum duration of one grant. Covers the restart of a node's process, about 3.5 s, while the
/// upstream beside it keeps running.
inline constexpr milliseconds kMaxGrantDuration{4000};

/// Minimum duration of one grant. A shorter grant would expire before the next heartbeat.
inline constexpr milliseconds kMinGrantDuration{300};

/// Maximum fraction by which an upstream's clock may run slower than real time while it measures
/// the duration of a grant.
inline constexpr double kMaxClockDriftRatio = 0.02;

/// Duration of the grant in the answer to a heartbeat received at `now`, when kTakeoverDelay counts
/// from `reference` (see GrantReferenceTime). Returns nothing when the rest of that delay is
/// shorter than kMinGrantDuration. `max_duration` is the limit that the upstream sets.
std::optional<milliseconds> GrantDuration(BootTime reference, BootTime now,
                                          milliseconds max_duration);

/// Time at which a grant of that duration, given at `now`, has expired on any clock.
BootTime GrantExpiry(BootTime now, milliseconds duration);

/// A range that an upstream reports as held, or that is granted to it.
struct HeldRange {
  KeySpan keys_;
  std::uint64_t token_ = 0;
  std::string handover_;  ///< Set only in grants.

  friend bool operator==(const HeldRange&, const HeldRange&) = default;
};

/// Ranges to grant to the holder: those that it owns and that aren't moving.
std::vector<HeldRange> RangesToGrant(const KeyTable& table, const Holder& holder);

/// True when a range of the holder has a successor because the holder's node was presumed lost.
/// Such ranges must be neither renewed nor released until the holder's node has cancelled the move.
bool HasUnplannedSuccessor(const KeyTable& table, const Holder& holder);

/// The parts of `span` that are in none of the held ranges.
std::vector<KeySpan> KeysNotHeld(KeySpan span, const std::vector<HeldRange>& held);

}  // namespace sassafrasbay
