#include <popt.h>

#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>
#include <string>

#include "LibConfiguration/node_settings.h"
#include "LibCore/logging.h"
#include "commands.h"
#include "node.h"

namespace sassafrasbay {
namespace {

using PoptContext = std::unique_ptr<poptContext_s, decltype(&poptFreeContext)>;

}  // namespace

ExitCode RunNodeCommand(std::span<const char*> arguments) {
  const char* config = nullptr;
  const poptOption options[] = {
      {"config", 'c', POPT_ARG_STRING, static_cast<void*>(&config), 0, "settings file", "FILE"},
      POPT_AUTOHELP POPT_TABLEEND};
  const PoptContext context(poptGetContext("sassafrasbay node", static_cast<int>(arguments.size()),
                                           arguments.data(), options, 0),
                            &poptFreeContext);
  poptSetOtherOptionHelp(context.get(),
                         "--config FILE\n\nRuns a node beside an upstream.\n"
                         "Example: sassafrasbay node --config node.toml");
  const int result = poptGetNextOpt(context.get());
  const std::string path = config == nullptr ? "" : config;
  free(const_cast<char*>(config));  // NOLINT(google-readability-casting): popt allocates it
  if (result != -1) {
    std::cerr << "sassafrasbay node: " << poptBadOption(context.get(), 0) << ": "
              << poptStrerror(result) << "\n";
    return ExitCode::kUsage;
  }
  if (path.empty()) {
    std::cerr << "sassafrasbay node: --config FILE is needed\n";
    return ExitCode::kUsage;
  }
  std::ifstream file(path);
  if (!file) {
    std::cerr << "sassafrasbay node: " << path << ": cannot be read\n";
    return ExitCode::kInvalidFile;
  }
  const std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
  NodeSettingsResult settings = ParseNodeSettings(path, text);
  if (!settings.faults_.empty()) {
    for (const Fault& fault : settings.faults_) {
      std::cerr << ToString(fault) << "\n";
    }
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
