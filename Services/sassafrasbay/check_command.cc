#include <iostream>
#include <string>
#include <vector>

#include "LibConfiguration/node_settings.h"
#include "LibConfiguration/routing_configuration.h"
#include "command_line.h"
#include "commands.h"
#include "routing_directory.h"

namespace sassafrasbay {
namespace {

constexpr std::string_view kHelp =
    "FILE...\n\n"
    "Checks settings files, and routing files (*.routing.toml) together as one configuration.\n"
    "Prints every fault as file:line: key: message. Starts nothing.\n\n"
    "Example:\n  sassafrasbay check node.toml bench_lookups.routing.toml\n";

}  // namespace

ExitCode RunCheckCommand(std::span<const char*> arguments) {
  const ParsedArguments parsed = ParseArguments(arguments, kHelp, {});
  if (!parsed.valid_) {
    return ExitCode::kUsage;
  }
  if (parsed.operands_.empty()) {
    std::cerr << "sassafrasbay check: expected at least one FILE\n";
    return ExitCode::kUsage;
  }
  std::vector<RoutingFile> routing_files;
  std::vector<Fault> faults;
  for (const std::string& path : parsed.operands_) {
    std::string text;
    if (!ReadFile("check", path, text)) {
      return ExitCode::kInvalidFile;
    }
    if (IsRoutingFile(path)) {
      routing_files.push_back({path, text});
      continue;
    }
    const NodeSettingsResult settings = ParseNodeSettings(path, text);
    faults.insert(faults.end(), settings.faults_.begin(), settings.faults_.end());
  }
  if (!routing_files.empty()) {
    const RoutingConfigurationResult routing = ParseRoutingFiles(routing_files);
    faults.insert(faults.end(), routing.faults_.begin(), routing.faults_.end());
  }
  for (const Fault& fault : faults) {
    std::cerr << ToString(fault) << "\n";
  }
  if (!faults.empty()) {
    return ExitCode::kInvalidFile;
  }
  std::cout << parsed.operands_.size() << " files are valid.\n";
  return ExitCode::kSuccess;
}

}  // namespace sassafrasbay
