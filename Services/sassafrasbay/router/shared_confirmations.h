#pragma once

#include <mutex>
#include <optional>

#include "LibOwnership/table_confirmations.h"

namespace sassafrasbay {

/// Position that stands for a version of the configuration. Versions count on when the store is
/// restored.
inline TopicPosition ConfigurationPosition(std::uint64_t version) { return {0, version}; }

/// Confirmations of the key tables, or of the configuration by ConfigurationPosition(): the control
/// thread records them, the traffic thread reports them together with the state that it knows,
/// which may be older. Thread-safe.
class SharedConfirmations {
 public:
  void Confirm(const TopicPosition& end, BootTime since) {
    const std::lock_guard lock(mutex_);
    sassafrasbay::Confirm(confirmations_, end, since);
  }

  std::optional<BootTime> Since(const TopicPosition& end) const {
    const std::lock_guard lock(mutex_);
    return ConfirmedSince(confirmations_, end);
  }

 private:
  mutable std::mutex mutex_;
  TableConfirmations confirmations_;
};

}  // namespace sassafrasbay
