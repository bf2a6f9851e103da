#include "LibOwnership/report_timing.h"

#include <algorithm>

namespace sassafrasbay {
namespace {

/// With this interval for each node of the system, a node sends and gets 125 reports a second, at
/// about 50 us of processor time each. The smallest VMs have a tenth of a core.
constexpr milliseconds kIntervalPerNode{8};

/// Reports of and to the few nodes that read the store bound the age of what all know, which the
/// length of grants depends on.
constexpr milliseconds kReaderIntervalPerNode{3};

/// Three missed reports of a small system and the time of a reconnect.
constexpr milliseconds kShortestSuspicion{1500};

/// Beyond two missed reports, for delays on the way.
constexpr milliseconds kSuspicionSlack{500};

/// A table of 5 KB takes 4 ms on a link of 10 Mbit/s.
constexpr milliseconds kLagPerNode{4};
constexpr milliseconds kLeastLag{60};

}  // namespace

milliseconds ReportInterval(std::size_t nodes, bool reads) {
  const milliseconds per_node = reads ? kReaderIntervalPerNode : kIntervalPerNode;
  return std::max(kMinReportInterval, per_node * static_cast<milliseconds::rep>(nodes));
}

milliseconds SuspicionTimeout(std::size_t nodes) {
  return std::max(kShortestSuspicion, 2 * ReportInterval(nodes, false) + kSuspicionSlack);
}

milliseconds PresumedAliveTimeout(std::size_t nodes) {
  return SuspicionTimeout(nodes) - kSuspicionSlack;
}

milliseconds MaxReplicationLag(std::size_t nodes) {
  return std::max(kLeastLag, kLagPerNode * static_cast<milliseconds::rep>(nodes));
}

}  // namespace sassafrasbay
