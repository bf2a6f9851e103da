#pragma once

#include <span>

namespace sassafrasbay {

/// Exit codes of all subcommands.
enum class ExitCode {
  kSuccess = 0,
  kFailure = 1,      ///< The operation failed; standard error says at which step and peer.
  kUsage = 2,        ///< Wrong command line.
  kInvalidFile = 3,  ///< A settings or routing file has faults.
  kConflict = 4,     ///< Another publication came first.
  kUnknown = 5,      ///< The append got no answer and was not seen; it may still take effect.
};

/// Each takes the arguments after the subcommand's name, for popt: arguments[0] is the name.
ExitCode RunNodeCommand(std::span<const char*> arguments);
ExitCode RunSidecarCommand(std::span<const char*> arguments);
ExitCode RunCheckCommand(std::span<const char*> arguments);
ExitCode RunPublishCommand(std::span<const char*> arguments);
ExitCode RunStatusCommand(std::span<const char*> arguments);
ExitCode RunExplainCommand(std::span<const char*> arguments);

}  // namespace sassafrasbay
