#pragma once

#include <cstdint>
#include <mutex>
#include <optional>

#include "LibOwnership/table_confirmations.h"

namespace sassafrasbay {

/// Confirmations of the key tables or of the configuration, whose versions take the place of the
/// offsets: the control thread records them, the traffic thread reports them together with the
/// state that it knows, which may be older. Thread-safe.
class SharedConfirmations {
 public:
  void Confirm(std::uint64_t end, BootTime since) {
    const std::lock_guard lock(mutex_);
    sassafrasbay::Confirm(confirmations_, end, since);
  }

  std::optional<BootTime> Since(std::uint64_t end) const {
    const std::lock_guard lock(mutex_);
    return ConfirmedSince(confirmations_, end);
  }

 private:
  mutable std::mutex mutex_;
  TableConfirmations confirmations_;
};

}  // namespace sassafrasbay
