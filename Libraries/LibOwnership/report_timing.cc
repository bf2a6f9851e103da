#include "LibOwnership/report_timing.h"

#include <algorithm>

namespace sassafrasbay {
namespace {

/// Report interval per node of the system. It limits a node to 125 sent and 125 received reports
/// per second, each of which takes about 50 us of processor time; the smallest VMs have a tenth of
/// a core.
constexpr milliseconds kIntervalPerNode{8};

/// The same for reports from and to the few nodes that read the store. These intervals determine
/// how old the tables of all nodes are, which limits the duration of grants.
constexpr milliseconds kReaderIntervalPerNode{3};

/// Three missed reports in a small system, and the time for a reconnect.
constexpr milliseconds kMinSuspicionTimeout{1500};

/// Time allowed for network delays, in addition to two missed reports.
constexpr milliseconds kSuspicionSlack{500};

/// Time to send a table of 5 KB to one node over a link of 10 Mbit/s.
constexpr milliseconds kReplicationLagPerNode{4};
constexpr milliseconds kMinReplicationLagLimit{60};

}  // namespace

milliseconds ReportInterval(std::size_t nodes, bool reads_store) {
  const milliseconds per_node = reads_store ? kReaderIntervalPerNode : kIntervalPerNode;
  return std::max(kMinReportInterval, per_node * static_cast<milliseconds::rep>(nodes));
}

milliseconds SuspicionTimeout(std::size_t nodes) {
  return std::max(kMinSuspicionTimeout, 2 * ReportInterval(nodes, false) + kSuspicionSlack);
}

milliseconds PresumedAliveTimeout(std::size_t nodes) {
  return SuspicionTimeout(nodes) - kSuspicionSlack;
}

milliseconds MaxReplicationLag(std::size_t nodes) {
  return std::max(kMinReplicationLagLimit,
                  kReplicationLagPerNode * static_cast<milliseconds::rep>(nodes));
}

}  // namespace sassafrasbay
