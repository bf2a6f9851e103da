#pragma once

#include <map>
#include <mutex>
#include <string>

#include "LibOwnership/takeover_promises.h"

namespace sassafrasbay {

/// Takeover promises of this node: the traffic thread gives them with its reports, the control
/// thread respects them when it decides. Thread-safe.
class SharedPromises {
 public:
  bool Give(const std::string& owner_node, BootTime now) {
    const std::lock_guard lock(mutex_);
    return GivePromise(promises_, owner_node, now);
  }

  std::map<std::string, BootTime> GivenUntil() const {
    const std::lock_guard lock(mutex_);
    return promises_.given_until_;
  }

  bool Withhold(const std::string& owner_node, const TopicPosition& position, BootTime now) {
    const std::lock_guard lock(mutex_);
    return sassafrasbay::Withhold(promises_, owner_node, position, now);
  }

  void Resolve(const TopicPosition& end) {
    const std::lock_guard lock(mutex_);
    ResolveWithheld(promises_, end);
  }

 private:
  mutable std::mutex mutex_;
  TakeoverPromises promises_;
};

}  // namespace sassafrasbay
