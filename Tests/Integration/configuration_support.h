#pragma once

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "harness/fleet.h"

namespace sassafrasbay::harness {

/// A running command of the program, with its output in a file of its own.
struct RunningCommand {
  std::unique_ptr<Process> process_;
  std::filesystem::path output_;
};

struct CommandResult {
  int exit_code_ = -1;  ///< -1 when the command did not end within a minute.
  std::string output_;  ///< Standard output and standard error.
};

RunningCommand StartCommand(const std::filesystem::path& directory,
                            std::vector<std::string> arguments);
CommandResult FinishCommand(RunningCommand& command);
CommandResult RunCommand(const std::filesystem::path& directory,
                         std::vector<std::string> arguments);

/// Writes a file, creating its directory, and returns its path.
std::string WriteText(const std::filesystem::path& file, std::string_view text);

/// A routing file of a service with one class of reads for the paths "/SERVICE/NAME-...".
std::string Routing(const std::string& service, const std::string& name);

/// The records that the log took, in the order of their offsets: {id, rules, type, body}, or a
/// discarded value for bytes that are no CBOR.
std::vector<nlohmann::json> LogRecords(const Fleet& fleet);

/// The bodies of the records of one type.
std::vector<nlohmann::json> LogRecords(const Fleet& fleet, std::string_view type);

/// Configuration version in a node's status; -1 when it has none or doesn't answer.
std::int64_t VersionAt(Fleet& fleet, std::size_t index);

/// The owner's session of each of a few keys of "bench" by a node's explain call.
std::vector<std::string> OwnersAt(Fleet& fleet, std::size_t index);

/// Samples the versions of all nodes and keeps the cases in which a node showed an older one.
struct VersionWatch {
  std::map<std::size_t, std::int64_t> latest_;
  Violations violations_;
};

void Sample(VersionWatch& watch, Fleet& fleet);

/// Samples until all nodes show the version.
bool WaitForVersion(VersionWatch& watch, Fleet& fleet, std::int64_t version, milliseconds limit);

/// Waits until all nodes serve GET PATH with status 200.
bool WaitForService(Fleet& fleet, std::string_view path,
                    milliseconds limit = std::chrono::seconds(30));

}  // namespace sassafrasbay::harness
