#include "LibOwnership/table_confirmations.h"

#include <algorithm>

namespace sassafrasbay {
namespace {

/// Number of offsets whose confirmations are kept. A reader of them lags by one or two changes.
constexpr std::size_t kMaxConfirmations = 16;

}  // namespace

void Confirm(TableConfirmations& confirmations, const TopicPosition& end, BootTime since) {
  const auto found = confirmations.since_by_end_.try_emplace(end, since).first;
  found->second = std::max(found->second, since);
  if (confirmations.since_by_end_.size() > kMaxConfirmations) {
    confirmations.since_by_end_.erase(confirmations.since_by_end_.begin());
  }
}

// Tables up to a later offset of the same era contain those up to an earlier one, so they were at
// least as new.
std::optional<BootTime> ConfirmedSince(const TableConfirmations& confirmations,
                                       const TopicPosition& end) {
  std::optional<BootTime> since;
  for (const auto& [confirmed_end, confirmed_since] : confirmations.since_by_end_) {
    const bool is_contained = confirmed_end.era_ == end.era_ && confirmed_end <= end;
    if (is_contained && (!since || confirmed_since > *since)) {
      since = confirmed_since;
    }
  }
  return since;
}

}  // namespace sassafrasbay
