#include <array>
#include <cstdlib>
#include <iostream>
#include <string>

#include "LibCore/logging.h"
#include "command_line.h"
#include "commands.h"
#include "platform/node_environment.h"
#include "router/router_node.h"

namespace sassafrasbay {
namespace {

constexpr std::string_view kHelp =
    "\n\nRuns a node on the users' platform, with the settings file that the environment variable\n"
    "SASSAFRASBAY_SETTINGS names, until SIGTERM or SIGINT.\n\n"
    "Example:\n  SASSAFRASBAY_SETTINGS=/etc/sassafrasbay/node.toml sassafrasbay sidecar\n";

}  // namespace

ExitCode RunSidecarCommand(std::span<const char*> arguments) {
  std::string advertised;
  const std::array<CommandOption, 1> table = {{
      {"advertise", "address for other nodes, if it differs from the listening address", "IP:PORT",
       &advertised},
  }};
  const ParsedArguments parsed = ParseArguments(arguments, kHelp, table);
  if (!parsed.valid_ || !parsed.operands_.empty()) {
    return ExitCode::kUsage;
  }
  const char* path = std::getenv(platform::kSettingsVariable);
  if (path == nullptr) {
    std::cerr << "sassafrasbay sidecar: " << platform::kSettingsVariable
              << " is not set; it must name the settings file\n";
    return ExitCode::kUsage;
  }
  const auto load = [path]() -> Result<platform::NodeEnvironment> {
    std::string text;
    if (!ReadFile("sidecar", path, text)) {
      return MakeError(Errc::kUnavailable, "read settings", path,
                       "the file cannot be opened for reading");
    }
    return platform::DecodeNodeEnvironment(path, text);
  };
  Result<platform::NodeEnvironment> environment = load();
  if (!environment) {
    std::cerr << "sassafrasbay sidecar: " << ToString(environment.error()) << "\n";
    return ExitCode::kInvalidFile;
  }
  InitializeLogging({});
  if (auto ran = RunRouterNode(std::move(environment.value()), advertised, load); !ran) {
    std::cerr << "sassafrasbay sidecar: " << ToString(ran.error()) << "\n";
    return ExitCode::kFailure;
  }
  return ExitCode::kSuccess;
}

}  // namespace sassafrasbay
