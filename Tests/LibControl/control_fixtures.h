#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "LibControl/control_state.h"

namespace sassafrasbay::testing {

/// Returns a routing file with one service.
RoutingFile ServiceFile(std::string_view service, int shards);

/// Returns the join of session `session` in data centre `data_centre` of region "r".
SessionJoined Join(std::string_view session, std::string_view data_centre,
                   std::string_view service = "s");

/// A log as one node reads it: applies records at successive offsets.
struct TestLog {
  ControlState state_;

  ApplyResult Append(RecordBody body);
  /// Publishes the files, based on the version in force.
  ApplyResult Publish(std::vector<RoutingFile> files);
  /// Skips records until `offset` is the next one.
  void SkipTo(Offset offset);
};

/// Ids of the grantors of a session, in the order in which they were added.
std::vector<SessionId> GrantorsOf(const ControlState& state, std::string_view session);

/// The unit with this index of service "s".
const Unit& UnitAt(const ControlState& state, std::uint32_t unit);

}  // namespace sassafrasbay::testing
