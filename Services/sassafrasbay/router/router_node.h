#pragma once

#include <functional>
#include <string>

#include "LibCore/error.h"
#include "platform/node_environment.h"

namespace sassafrasbay {

/// Runs a node on the platform until SIGTERM or SIGINT and the drain that follows. Errors: those of
/// the listening sockets.
///
/// Other nodes connect to `advertised`, "ip:port", or to the listening address when it is empty.
/// The two differ behind a proxy. `reload` reads the settings again. It is called on SIGHUP and
/// once a second, since the settings may change without a signal.
Result<void> RunRouterNode(platform::NodeEnvironment environment, std::string advertised,
                           const std::function<Result<platform::NodeEnvironment>()>& reload);

}  // namespace sassafrasbay
