#pragma once

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "harness/fleet.h"

namespace sassafrasbay::harness {

/// A running sassafrasbay command and the file that receives its output.
struct RunningCommand {
  std::unique_ptr<Process> process_;
  std::filesystem::path output_;
};

struct CommandResult {
  int exit_code_ = -1;  ///< -1 when the command did not exit within a minute.
  std::string output_;  ///< Standard output and standard error.
};

RunningCommand StartCommand(const std::filesystem::path& directory,
                            std::vector<std::string> arguments);
CommandResult FinishCommand(RunningCommand& command);
CommandResult RunCommand(const std::filesystem::path& directory,
                         std::vector<std::string> arguments);

/// Writes a file, creates its directory when needed, and returns its path.
std::string WriteText(const std::filesystem::path& file, std::string_view text);

/// Returns a routing file for a service with one idempotent GET class for "/SERVICE/NAME-...".
std::string MakeRoutingFile(const std::string& service, const std::string& name);

/// The records of the log in offset order: {id, rules, type, body}, or a discarded value for bytes
/// that are not valid CBOR.
std::vector<nlohmann::json> LogRecords(const Fleet& fleet);

/// The bodies of the records of one type.
std::vector<nlohmann::json> LogRecords(const Fleet& fleet, std::string_view type);

/// Configuration version in a node's status; -1 when the status has none or the node doesn't
/// answer.
std::int64_t VersionAt(Fleet& fleet, std::size_t index);

/// The owner's session for each of a fixed set of keys of "bench", from a node's /-/explain.
std::vector<std::string> OwnersAt(Fleet& fleet, std::size_t index);

/// The latest configuration version seen at each node, and the cases in which a node reported an
/// older version than before.
struct VersionMonitor {
  std::map<std::size_t, std::int64_t> latest_;
  Violations violations_;
};

/// Reads the versions of all nodes once and records violations.
void SampleVersions(VersionMonitor& monitor, Fleet& fleet);

/// Samples until all nodes report the version.
bool WaitForVersion(VersionMonitor& monitor, Fleet& fleet, std::int64_t version,
                    milliseconds timeout);

/// Waits until all nodes serve GET PATH with status 200.
bool WaitForService(Fleet& fleet, std::string_view path,
                    milliseconds timeout = std::chrono::seconds(30));

}  // namespace sassafrasbay::harness
