#include "LibTransport/memory_budget.h"

#include <algorithm>
#include <limits>

namespace sassafrasbay {
namespace {

/// The rest of the memory is for the process itself, the queues behind the server, and copies of
/// requests and responses on their way to other nodes.
constexpr std::size_t kMemoryShare = 3;

/// Enough for the requests of a small node; less would refuse ordinary load.
constexpr std::size_t kMinLimit = 16U << 20U;

}  // namespace

std::size_t MemoryBudget::Room(std::size_t own, std::size_t reserve) const {
  const std::size_t held = held_;
  if (held <= own) {
    return std::numeric_limits<std::size_t>::max();
  }
  const std::size_t limit = limit_;
  const std::size_t taken = held + reserve;
  return limit - std::min(limit, taken);
}

bool MemoryBudget::OfferLargest(const void* server, std::size_t bytes) {
  const std::lock_guard lock(mutex_);
  if (bytes == 0) {
    offers_.erase(server);
    return false;
  }
  offers_[server] = bytes;
  return std::ranges::all_of(
      offers_, [&](const auto& offer) { return offer.first == server || offer.second < bytes; });
}

std::size_t HeldBytesLimit(std::size_t memory_bytes) {
  return std::max(memory_bytes / kMemoryShare, kMinLimit);
}

}  // namespace sassafrasbay
