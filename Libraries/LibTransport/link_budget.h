#pragma once

#include <cstddef>

#include "LibCore/clock.h"

namespace sassafrasbay {

/// Model of the queue in front of a VM's outgoing link. It decides when bulk data may be written,
/// so that small messages don't wait behind it.
struct LinkBudget {
  double bytes_per_second_ = 0;  ///< Rate of the link; 0 when unknown, and nothing is limited.
  double queued_bytes_ = 0;      ///< Bytes written to sockets that the link has not carried yet.
  BootTime updated_at_{};
};

/// Counts bytes that were written to a socket, bulk data or not.
void CountSent(LinkBudget& budget, std::size_t bytes, BootTime now);

/// Number of bytes of bulk data that may be written now.
///
/// Load: large responses need more than a link carries, while calls with a short deadline need the
/// same link.
std::size_t BulkAllowance(LinkBudget& budget, BootTime now);

}  // namespace sassafrasbay
