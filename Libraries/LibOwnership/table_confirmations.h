#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "LibCore/clock.h"

namespace sassafrasbay {

/// Times at which the key tables up to some offset were known to be the newest ones.
struct TableConfirmations {
  std::map<std::uint64_t, BootTime> since_by_end_;
};

/// Records that no change followed the offset `end` at the time `since`.
void Confirm(TableConfirmations& confirmations, std::uint64_t end, BootTime since);

/// Latest time at which the tables up to `end` were known to be the newest ones; nothing when they
/// never were. Confirmations of later offsets say nothing about these tables.
std::optional<BootTime> ConfirmedSince(const TableConfirmations& confirmations, std::uint64_t end);

}  // namespace sassafrasbay
