#include "LibRouting/state_offer.h"

#include <algorithm>

namespace sassafrasbay {
namespace {

/// Takes a link of 10 Mbit/s for 0.1 s. A smaller copy costs less than the wait for a read that may
/// fail.
constexpr std::size_t kLargeBytes = 128U << 10U;

/// Delay before the state is sent to a node that lacks some of it, and between repetitions. A node
/// that reaches the store is faster by itself.
constexpr milliseconds kMinOfferDelay{600};

/// Number of nodes that send a small state in the same turn, since one of them may lack it too.
constexpr std::size_t kSendersPerTurn = 2;

/// Multiple of the time that a copy takes after which the next one is sent. Reports show only then
/// whether it has arrived.
constexpr double kTransferMargin = 2;

}  // namespace

// The reads of a node that has all of the operators' topic won't return what it lacks: a restored
// store may have lost the configuration.
MissingState FindMissingState(const NodeReport& report, const KnownState& known) {
  MissingState missing;
  missing.configuration_ = report.configuration_version_ < known.configuration_version_;
  missing.marks_ = report.operators_end_ && *report.operators_end_ < known.operators_end_;
  missing.tables_ = report.tables_end_ < known.tables_end_;
  missing.reads_operators_topic_ =
      missing.marks_ && report.reads_operators_topic_ && known.configuration_bytes_ >= kLargeBytes;
  return missing;
}

MissingState PartsToSend(const MissingState& missing) {
  MissingState parts = missing;
  parts.configuration_ = missing.configuration_ && !missing.reads_operators_topic_;
  parts.marks_ = missing.marks_ && !missing.reads_operators_topic_;
  return parts;
}

milliseconds StateOfferDelay(std::size_t sender, std::size_t bytes, double link_bytes_per_second) {
  if (bytes < kLargeBytes) {
    return kMinOfferDelay * (1 + sender / kSendersPerTurn);
  }
  const double transfer_ms =
      link_bytes_per_second > 0
          ? kTransferMargin * 1000 * static_cast<double>(bytes) / link_bytes_per_second
          : 0;
  const auto turn = std::max(kMinOfferDelay, milliseconds(static_cast<std::int64_t>(transfer_ms)));
  return turn * (1 + sender);
}

}  // namespace sassafrasbay
