#include <array>
#include <iostream>
#include <string_view>

#include "commands.h"

namespace {

using sassafrasbay::ExitCode;

struct Command {
  std::string_view name_;
  std::string_view summary_;
  ExitCode (*run_)(std::span<const char*> arguments);
};

constexpr std::array<Command, 6> kCommands = {{
    {"node", "runs a node beside an upstream", &sassafrasbay::RunNodeCommand},
    {"check", "checks settings and routing files", &sassafrasbay::RunCheckCommand},
    {"publish", "publishes routing files through the log", &sassafrasbay::RunPublishCommand},
    {"status", "shows what a node knows", &sassafrasbay::RunStatusCommand},
    {"sidecar", "runs a node on the users' platform", &sassafrasbay::RunSidecarCommand},
    {"explain", "shows who owns a key", &sassafrasbay::RunExplainCommand},
}};

void PrintUsage(std::ostream& output) {
  output << "Usage: sassafrasbay COMMAND [OPTION...]\n\nCommands:\n";
  for (const Command& command : kCommands) {
    output << "  " << command.name_ << "\t" << command.summary_ << "\n";
  }
  output << "\nsassafrasbay COMMAND --help describes a command.\n"
            "Exit codes: 0 success, 1 failure, 2 wrong command line, 3 faults in a file,\n"
            "4 another publication came first, 5 the outcome of an append is not known.\n";
}

}  // namespace

int main(int argc, const char** argv) {
  if (argc < 2) {
    PrintUsage(std::cerr);
    return static_cast<int>(ExitCode::kUsage);
  }
  const std::string_view name = argv[1];
  if (name == "--help" || name == "help") {
    PrintUsage(std::cout);
    return static_cast<int>(ExitCode::kSuccess);
  }
  for (const Command& command : kCommands) {
    if (command.name_ == name) {
      return static_cast<int>(command.run_({argv + 1, static_cast<std::size_t>(argc - 1)}));
    }
  }
  std::cerr << "sassafrasbay: unknown command \"" << name << "\"\n";
  PrintUsage(std::cerr);
  return static_cast<int>(ExitCode::kUsage);
}
