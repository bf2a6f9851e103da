#pragma once

#include <cstddef>

#include "LibCore/clock.h"

namespace sassafrasbay {

/// Shortest interval between two reports to the same node.
inline constexpr milliseconds kMinReportInterval{250};

/// Interval of the reports to one other node in a system of that many nodes. `reads` is set when
/// either of the two follows the store for all others.
milliseconds ReportInterval(std::size_t nodes, bool reads);

/// A node that has not been heard of for this long may be lost.
milliseconds SuspicionTimeout(std::size_t nodes);

/// A node heard of within this time is taken to be alive.
milliseconds PresumedAliveTimeout(std::size_t nodes);

/// Time for which a node may lack a record that others know, before it reads the store itself. The
/// writer sends the record to all nodes one after the other.
milliseconds MaxReplicationLag(std::size_t nodes);

}  // namespace sassafrasbay
