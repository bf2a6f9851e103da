#pragma once

#include <span>

namespace sassafrasbay {

/// Exit codes of all subcommands.
enum class ExitCode {
  kSuccess = 0,
  kFailure = 1,      ///< The operation failed; standard error says at which operation and peer.
  kUsage = 2,        ///< The command line is invalid.
  kInvalidFile = 3,  ///< A settings or routing file is unreadable or invalid.
  kConflict = 4,     ///< Another version is in force than the publication is based on.
  kUnknown = 5,      ///< The record was not read back in time; it may still take effect.
};

/// Each command takes its arguments as popt expects them: arguments[0] is the subcommand's name.
ExitCode RunNodeCommand(std::span<const char*> arguments);
ExitCode RunSidecarCommand(std::span<const char*> arguments);
ExitCode RunCheckCommand(std::span<const char*> arguments);
ExitCode RunPublishCommand(std::span<const char*> arguments);
ExitCode RunStatusCommand(std::span<const char*> arguments);
ExitCode RunExplainCommand(std::span<const char*> arguments);

}  // namespace sassafrasbay
