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

/// One node and the upstream beside it.
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
  std::string extra_settings_;  ///< TOML, appended to the settings file.
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

/// A log, nodes with their upstreams, and optionally a fault proxy in front of each part.
class Fleet {
 public:
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  std::size_t Size() const { return nodes_.size(); }
  FleetNode& Node(std::size_t index) { return nodes_.at(index); }
  const std::filesystem::path& Directory() const { return directory_.Path(); }
  std::uint16_t LogPort() const { return log_port_; }

  /// Starts or restarts; a running process is killed first.
  Result<void> StartNode(std::size_t index);
  Result<void> StartUpstream(std::size_t index);

  /// Publishes routing files (name to text) by the program's publish command. True on exit code 0.
  bool Publish(const std::map<std::string, std::string>& files);

  /// True when the log took the faults.
  bool SetLogFaults(const nlohmann::json& faults);

  /// Sets the faults of one proxy route: control.NAME, traffic.NAME and callers.NAME lead to a
  /// node, log.NAME from a node to the log, upstream.NAME from a node to its upstream. Replaces
  /// earlier faults of that route for the same process; `process` 0 means every process.
  bool SetProxyFaults(std::string_view route, nlohmann::json faults, pid_t process = 0);

  /// Cuts or restores all connections between two nodes, in both directions. A restarted node is a
  /// new process and is not covered.
  bool SetPartition(std::size_t left, std::size_t right, bool cut);

  /// Cuts or restores the connections of a node to the log.
  bool SetLogPartition(std::size_t index, bool cut);

  /// The runs of all upstreams, also of those that were killed.
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

  TemporaryDirectory directory_;  // First, so that processes end before it is removed.
  std::uint16_t log_port_ = 0;
  std::uint16_t proxy_admin_port_ = 0;
  std::map<std::string, std::uint16_t, std::less<>> routes_;  // Listening port of each route.
  std::vector<FleetNode> nodes_;
  std::unique_ptr<Process> log_;
  std::unique_ptr<Process> proxy_;
};

class FleetBuilder {
 public:
  FleetBuilder& AddNode(NodeOptions options);
  /// Puts a fault proxy in front of every port.
  FleetBuilder& UseProxies();
  /// Leaves nodes and upstreams to StartNode and StartUpstream.
  FleetBuilder& StartOnlyLog();
  Result<std::unique_ptr<Fleet>> Build();

 private:
  std::vector<NodeOptions> nodes_;
  bool proxies_ = false;
  bool start_nodes_ = true;
};

}  // namespace sassafrasbay::harness
