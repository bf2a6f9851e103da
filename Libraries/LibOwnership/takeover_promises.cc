#include "LibOwnership/takeover_promises.h"

#include <algorithm>

#include "LibOwnership/hold_rules.h"

namespace sassafrasbay {

bool GivePromise(TakeoverPromises& promises, const std::string& owner_node, BootTime now) {
  if (promises.withheld_.contains(owner_node)) {
    return false;
  }
  promises.given_until_[owner_node] = GrantExpiry(now, kTakeoverDelay);
  return true;
}

bool MayTakeOver(const TakeoverPromises& promises, const std::string& owner_node, BootTime now) {
  const auto given = promises.given_until_.find(owner_node);
  return given == promises.given_until_.end() || now > given->second;
}

bool Withhold(TakeoverPromises& promises, const std::string& owner_node,
              const TopicPosition& position, BootTime now) {
  if (!MayTakeOver(promises, owner_node, now)) {
    return false;
  }
  promises.withheld_[owner_node] = position;
  return true;
}

void ResolveWithheld(TakeoverPromises& promises, const TopicPosition& end) {
  std::erase_if(promises.withheld_, [&end](const auto& entry) { return entry.second < end; });
}

// A node that registered after `confirmed` may be missing in `others`. It completes no takeover for
// kNewNodeTakeoverDelay after its registration, which limits how far promises extend the result.
BootTime GrantReferenceTime(BootTime confirmed, const TopicPosition& tables_end,
                            const ReceivedPromises& received, std::span<const std::string> others) {
  BootTime promised = confirmed + (kNewNodeTakeoverDelay - kTakeoverDelay);
  for (const std::string& node : others) {
    const auto found = received.find(node);
    if (found == received.end() || found->second.tables_end_ != tables_end) {
      return confirmed;
    }
    promised = std::min(promised, found->second.since_);
  }
  return std::max(confirmed, promised);
}

}  // namespace sassafrasbay
