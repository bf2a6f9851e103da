#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>

#include "LibCore/clock.h"

namespace sassafrasbay {

/// Promises of this node not to complete a change that takes ranges from another node. They let the
/// owners renew their grants while no node reaches the store.
struct TakeoverPromises {
  std::map<std::string, BootTime> given_until_;  ///< By the owner's node.
  /// Owners from whom ranges are being taken, with the offset of that write. Nothing is promised to
  /// them until the topic has gone on beyond it.
  std::map<std::string, std::uint64_t> withheld_;
};

/// Promises the owner's node to complete nothing for kTakeoverDelay from now. False when that can't
/// be promised.
bool GivePromise(TakeoverPromises& promises, const std::string& owner_node, BootTime now);

/// Whether a change may be completed as far as promises go.
bool MayTakeOver(const TakeoverPromises& promises, const std::string& owner_node, BootTime now);

/// Stops promising before a write at that offset is sent. False when a promise still holds.
bool Withhold(TakeoverPromises& promises, const std::string& owner_node, std::uint64_t offset,
              BootTime now);

/// The topic has been read to `end`: writes below it have taken effect or never will.
void ResolveWithheld(TakeoverPromises& promises, std::uint64_t end);

/// Promises that this node got: for each node, when it was certainly not yet given, on this node's
/// clock.
using ReceivedPromises = std::map<std::string, BootTime>;

/// The moment from which kTakeoverDelay counts for the grants of this node: its tables were the
/// newest then, or all `others` promised after it to take nothing.
BootTime GrantReferenceTime(BootTime confirmed, const ReceivedPromises& received,
                            std::span<const std::string> others);

}  // namespace sassafrasbay
