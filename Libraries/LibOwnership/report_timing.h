#pragma once

#include <cstddef>

#include "LibCore/clock.h"

namespace sassafrasbay {

/// Minimum interval between two reports to the same node.
inline constexpr milliseconds kMinReportInterval{250};

/// Interval between reports to one other node, in a system with that many nodes. `reads_store` is
/// set when one of the two nodes reads the store on behalf of the other nodes.
milliseconds ReportInterval(std::size_t nodes, bool reads_store);

/// Time without a report after which a node may be lost.
milliseconds SuspicionTimeout(std::size_t nodes);

/// Time since the latest report within which a node is presumed alive.
milliseconds PresumedAliveTimeout(std::size_t nodes);

/// Maximum time for which a node may lack a record that other nodes have received, before it reads
/// the store itself. The writer sends the record to the other nodes one after the other.
milliseconds MaxReplicationLag(std::size_t nodes);

}  // namespace sassafrasbay
