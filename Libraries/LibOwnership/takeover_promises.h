#pragma once

#include <map>
#include <span>
#include <string>

#include "LibCore/clock.h"
#include "LibCore/topic_position.h"

namespace sassafrasbay {

/// Promises by this node not to take over ranges from other nodes. They allow the nodes of the
/// owners to renew grants while no node reaches the store.
struct TakeoverPromises {
  /// Time until which each promise holds, by the owner's node.
  std::map<std::string, BootTime> given_until_;
  /// Nodes of owners whose ranges this node is taking over, with the position of that write.
  /// Nothing is promised to them until the topic has been read beyond that position.
  std::map<std::string, TopicPosition> withheld_;
};

/// Promises the owner's node that this node completes no takeover of its ranges for kTakeoverDelay.
/// Returns false, without a promise, while such a takeover may be in progress.
bool GivePromise(TakeoverPromises& promises, const std::string& owner_node, BootTime now);

/// True when no promise to the owner's node prevents a takeover.
bool MayTakeOver(const TakeoverPromises& promises, const std::string& owner_node, BootTime now);

/// Withholds promises to the owner's node, before a takeover is written at that position. Returns
/// false when a promise still holds, in which case the takeover must not be written.
bool Withhold(TakeoverPromises& promises, const std::string& owner_node,
              const TopicPosition& position, BootTime now);

/// Allows promises again after the topic has been read to `end`: writes at positions below `end`
/// either have taken effect or never will.
void ResolveWithheld(TakeoverPromises& promises, const TopicPosition& end);

/// A promise received by this node.
struct ReceivedPromise {
  BootTime since_{};  ///< On this node's clock; the promise had certainly not been given yet.
  /// Up to where the sender knew the tables. It may know nothing of the changes after that, so the
  /// promise counts only for tables at the same position.
  TopicPosition tables_end_;
};

/// Newest promise by the sender's address.
using ReceivedPromises = std::map<std::string, ReceivedPromise>;

/// The time from which kTakeoverDelay counts for the grants of this node, whose tables end at
/// `tables_end`. Either these tables were confirmed to be the latest ones at that time, or all
/// `others` have promised later than that not to take over its ranges.
BootTime GrantReferenceTime(BootTime confirmed, const TopicPosition& tables_end,
                            const ReceivedPromises& received, std::span<const std::string> others);

}  // namespace sassafrasbay
