#pragma once

#include <cstddef>
#include <cstdint>

#include "LibCore/clock.h"
#include "LibRouting/node_messages.h"

namespace sassafrasbay {

/// What a node knows of the state that all nodes share.
struct KnownState {
  std::uint64_t configuration_version_ = 0;
  std::size_t configuration_bytes_ = 0;
  TopicPosition operators_end_;
  TopicPosition tables_end_;
};

/// Parts of the state that another node lacks.
struct MissingState {
  bool configuration_ = false;
  bool marks_ = false;  ///< Records of the operators' topic other than the configuration.
  bool tables_ = false;
  /// The node reads the operators' topic itself, and a copy would only take the link that it reads
  /// over.
  bool reads_operators_topic_ = false;

  bool IsAny() const { return configuration_ || marks_ || tables_; }
};

/// What the sender of the report lacks of the known state.
MissingState FindMissingState(const NodeReport& report, const KnownState& known);

/// The parts that are sent to the node.
MissingState PartsToSend(const MissingState& missing);

/// Time for which a node lacks state before the `sender`th one, counted from 0, sends it, and
/// between two copies of the same sender. `bytes` is the size of the state.
///
/// Load: a large configuration changes, and the nodes that can't read it would get copies from
/// others faster than their links carry them.
milliseconds StateOfferDelay(std::size_t sender, std::size_t bytes, double link_bytes_per_second);

}  // namespace sassafrasbay
