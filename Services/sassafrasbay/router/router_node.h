#pragma once

#include "LibCore/error.h"
#include "platform/node_environment.h"

namespace sassafrasbay {

/// Runs a node on the platform until SIGTERM or SIGINT and the drain that follows. Errors: those of
/// the listening sockets.
Result<void> RunRouterNode(platform::NodeEnvironment environment);

}  // namespace sassafrasbay
