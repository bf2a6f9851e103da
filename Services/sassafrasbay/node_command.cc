#include <array>
#include <iostream>
#include <string>

#include "LibConfiguration/node_settings.h"
#include "LibCore/logging.h"
#include "command_line.h"
#include "commands.h"
#include "node.h"

namespace sassafrasbay {
namespace {

constexpr std::string_view kHelp =
    "--config FILE\n\n"
    "Runs a node beside an upstream until SIGTERM or SIGINT, then drains. A second signal\n"
    "ends it at once.\n\n"
    "Example:\n  sassafrasbay node --config node.toml\n";

}  // namespace

ExitCode RunNodeCommand(std::span<const char*> arguments) {
  std::string path;
  const std::array<CommandOption, 1> options = {{{"config", "settings file", "FILE", &path}}};
  const ParsedArguments parsed = ParseArguments(arguments, kHelp, options);
  if (!parsed.valid_) {
    return ExitCode::kUsage;
  }
  if (path.empty() || !parsed.operands_.empty()) {
    std::cerr << "sassafrasbay node: expected --config FILE and no operands\n";
    return ExitCode::kUsage;
  }
  std::string text;
  if (!ReadFile("node", path, text)) {
    return ExitCode::kInvalidFile;
  }
  NodeSettingsResult settings = ParseNodeSettings(path, text);
  for (const Fault& fault : settings.faults_) {
    std::cerr << ToString(fault) << "\n";
  }
  if (!settings.faults_.empty()) {
    return ExitCode::kInvalidFile;
  }
  InitializeLogging({settings.settings_.log_level_, settings.settings_.log_lines_per_second_});
  auto node = NodeBuilder().Settings(std::move(settings.settings_)).Build();
  if (!node) {
    std::cerr << "sassafrasbay node: " << ToString(node.error()) << "\n";
    return ExitCode::kFailure;
  }
  if (auto ran = node.value()->Run(); !ran) {
    std::cerr << "sassafrasbay node: " << ToString(ran.error()) << "\n";
    return ExitCode::kFailure;
  }
  return ExitCode::kSuccess;
}

}  // namespace sassafrasbay
