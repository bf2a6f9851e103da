#pragma once

#include <map>
#include <optional>

#include "LibCore/clock.h"
#include "LibCore/topic_position.h"

namespace sassafrasbay {

/// Times at which the key tables up to some position were known to be the newest ones.
struct TableConfirmations {
  std::map<TopicPosition, BootTime> since_by_end_;
};

/// Records that no change followed the position `end` at the time `since`.
void Confirm(TableConfirmations& confirmations, const TopicPosition& end, BootTime since);

/// Latest time at which the tables up to `end` were known to be the newest ones; nothing when they
/// never were. Confirmations of later offsets say nothing about these tables, and those of another
/// era neither: its changes may be missing here.
std::optional<BootTime> ConfirmedSince(const TableConfirmations& confirmations,
                                       const TopicPosition& end);

}  // namespace sassafrasbay
