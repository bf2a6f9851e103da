#pragma once

#include <optional>
#include <string>
#include <vector>

#include "LibCore/clock.h"
#include "LibOwnership/key_table.h"

namespace sassafrasbay {

/// Time from the record that names a successor until the successor's node may take the range
/// without the owner's release. A node renews holds only up to this time after the last moment at
/// which its table was known to be the newest, or all others promised to take nothing. A lost VM's
/// keys are unserved for as long; a node's process restarts in less.
inline constexpr milliseconds kTakeoverDelay{4000};

/// Time from a node's registration until it may take ranges over. Nodes that don't know of it rely
/// on the promises of the others for no longer, which bounds the outage of the store that is
/// bridged.
inline constexpr milliseconds kNewNodeTakeoverDelay{12000};

/// Length of one grant. Covers the restart of a node's process, about 3.5 s, beside an upstream
/// that goes on running.
inline constexpr milliseconds kMaxGrantDuration{4000};

/// Shorter grants than this would lapse before the next heartbeat.
inline constexpr milliseconds kMinGrantDuration{300};

/// An upstream's clock may run this much slower than real time while it measures a grant.
inline constexpr double kMaxClockDriftRatio = 0.02;

/// Length of a grant that a heartbeat received at `now` may get when kTakeoverDelay counts from
/// `base`; nothing when that is too long ago. `longest` is the upstream's bound.
std::optional<milliseconds> GrantDuration(BootTime base, BootTime now, milliseconds longest);

/// When a grant of that length, given at `now`, has certainly ended.
BootTime GrantExpiry(BootTime now, milliseconds length);

/// One range as an upstream says that it holds it, or is told to.
struct HeldRange {
  KeySpan keys_;
  std::uint64_t token_ = 0;
  std::string handover_;  ///< Only in grants.

  friend bool operator==(const HeldRange&, const HeldRange&) = default;
};

/// Ranges to grant to the holder: those that it owns and that are not changing hands.
std::vector<HeldRange> RangesToGrant(const KeyTable& table, const Holder& holder);

/// True when a range of the holder may be taken over because its node seemed lost. Such ranges must
/// not be renewed, nor released, until its node has taken them back.
bool HasUnplannedSuccessor(const KeyTable& table, const Holder& holder);

/// Keys of `span` that are in none of the held ranges.
std::vector<KeySpan> KeysNotHeld(KeySpan span, const std::vector<HeldRange>& held);

}  // namespace sassafrasbay
