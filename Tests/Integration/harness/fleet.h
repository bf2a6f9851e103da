#pragma once

#include <filesystem>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "harness/history.h"
#include "harness/process.h"
#include "harness/support.h"

namespace sassafrasbay::harness {

/// Configuration of a node and of the upstream stand-in beside it.
struct NodeOptions {
  std::string name_;
  std::string data_centre_ = "dc1";
  std::string region_ = "region1";
  std::string service_ = "bench";
  bool checks_grants_ = true;
  int slots_ = 20;
  int service_ms_ = 2;
  int cold_ms_ = 0;
  int checkpoint_records_ = 2000;
  std::string extra_settings_;  ///< TOML that is appended to the settings file.
};

struct FleetNode {
  NodeOptions options_;
  std::uint16_t callers_port_ = 0;
  std::uint16_t traffic_port_ = 0;
  std::uint16_t control_port_ = 0;
  std::uint16_t upstream_port_ = 0;
  std::uint16_t upstream_admin_port_ = 0;
  std::unique_ptr<Process> node_;
  std::unique_ptr<Process> upstream_;
};

/// Processes of a fleet: the log stand-in, nodes with their upstream stand-ins, and optionally a
/// fault proxy in front of every port.
class Fleet {
 public:
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  std::size_t Size() const { return nodes_.size(); }
  FleetNode& Node(std::size_t index) { return nodes_.at(index); }
  const std::filesystem::path& Directory() const { return directory_.Path(); }
  std::uint16_t LogPort() const { return log_port_; }

  /// Starts or restarts the process; kills it first when it is running.
  Result<void> StartNode(std::size_t index);
  Result<void> StartUpstream(std::size_t index);

  /// Publishes routing files (name to text) with the program's publish command. Returns whether the
  /// exit code was 0.
  bool Publish(const std::map<std::string, std::string>& files);

  /// Sets the faults of the log stand-in. Returns whether it accepted them.
  bool SetLogFaults(const nlohmann::json& faults);

  /// Sets the faults of one proxy route. The routes control.NAME, traffic.NAME and callers.NAME
  /// lead to a node, log.NAME from a node to the log, and upstream.NAME from a node to its
  /// upstream. Replaces earlier faults of that route for the same process; `process` 0 means every
  /// process.
  bool SetProxyFaults(std::string_view route, nlohmann::json faults, pid_t process = 0);

  /// Cuts or restores all connections between two nodes in both directions. The faults apply to the
  /// current processes: after a restart, a node is a new process and can connect again.
  bool SetPartition(std::size_t left, std::size_t right, bool cut);

  /// Cuts or restores the connections from a node to the log.
  bool SetLogPartition(std::size_t index, bool cut);

  /// Returns the runs of all upstreams, including those that were killed.
  std::vector<RunRecord> Runs() const;

 private:
  friend class FleetBuilder;
  Fleet() = default;
  Result<void> StartLog();
  Result<void> StartProxy();
  std::uint16_t Advertised(std::string_view part, const FleetNode& node, std::uint16_t port) const;
  std::string Settings(const FleetNode& node) const;
  Result<std::unique_ptr<Process>> StartProgram(const std::filesystem::path& program,
                                                std::span<const std::string> arguments,
                                                const std::string& log_name) const;

  TemporaryDirectory directory_;  // Declared first: removed after all processes have ended.
  std::uint16_t log_port_ = 0;
  std::uint16_t proxy_admin_port_ = 0;
  // Listening port of the proxy by route.
  std::map<std::string, std::uint16_t, std::less<>> routes_;
  std::vector<FleetNode> nodes_;
  std::unique_ptr<Process> log_;
  std::unique_ptr<Process> proxy_;
};

class FleetBuilder {
 public:
  FleetBuilder& AddNode(NodeOptions options);
  /// Puts a fault proxy in front of every port.
  FleetBuilder& UseProxies();
  /// Starts the log, and the proxies if used, but neither nodes nor upstreams. The test starts them
  /// by StartNode and StartUpstream.
  FleetBuilder& StartOnlyLog();
  Result<std::unique_ptr<Fleet>> Build();

 private:
  std::vector<NodeOptions> nodes_;
  bool proxies_ = false;
  bool start_nodes_ = true;
};

}  // namespace sassafrasbay::harness
