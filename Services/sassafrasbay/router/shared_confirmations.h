#pragma once

#include <cstdint>
#include <mutex>
#include <optional>

#include "LibOwnership/table_confirmations.h"

namespace sassafrasbay {

/// Confirmations of the key tables: the control thread records them, the traffic thread reports
/// them together with the tables that it knows, which may be older ones. Thread-safe.
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
