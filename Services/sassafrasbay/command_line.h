#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sassafrasbay {

/// An option of a subcommand that takes a value.
struct CommandOption {
  const char* name_ = nullptr;
  const char* description_ = nullptr;
  const char* placeholder_ = nullptr;
  std::string* value_ = nullptr;  ///< Holds the default; unchanged when the option is absent.
};

struct ParsedArguments {
  bool valid_ = false;  ///< When false, the error has been written to standard error.
  std::vector<std::string> operands_;
};

/// Parses the arguments of one subcommand with popt. With --help it prints `help` and the options,
/// and ends the process with exit code 0.
ParsedArguments ParseArguments(std::span<const char*> arguments, std::string_view help,
                               std::span<const CommandOption> options);

/// Reads a whole file. When that fails, writes an error to standard error and returns false.
bool ReadFile(std::string_view command, const std::string& path, std::string& text);

}  // namespace sassafrasbay
