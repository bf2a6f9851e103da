#pragma once

#include <cstdint>
#include <filesystem>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "LibTransport/upstream_client.h"
#include "Soak/ledger.h"
#include "Soak/target.h"
#include "StandIns/proxy_relay.h"
#include "harness/process.h"
#include "platform/store_stand_in.h"

namespace sassafrasbay::soak {

/// Numbers of nodes of the sharded lookup service and of the booking service.
inline constexpr int kLookupNodes = 4;
inline constexpr int kBookingNodes = 3;
inline constexpr int kNodes = kLookupNodes + kBookingNodes;

/// One VM: a node process, the target beside it, and the client that sends its callers' requests.
struct Vm {
  std::string name_;
  std::string host_;
  std::string settings_;
  std::filesystem::path log_;
  std::string advertised_address_;  ///< Address of the proxy in front of the node's peer port.
  std::unique_ptr<harness::Process> process_;
  std::unique_ptr<Target> target_;
  std::unique_ptr<UpstreamClient> callers_;
  BootTime interruption_ended_{};  ///< When the process was last resumed or a link restored.
  bool fault_active_ = false;      ///< Whether a fault affects the process.
};

/// Port of the targets.
inline constexpr std::uint16_t kTargetPort = 8000;

/// Settings of the nodes and of the configuration. Limits that are 0 or null are left out.
struct FleetOptions {
  double link_mbps_ = 0;        ///< Rate of each VM's link.
  int memory_mb_ = 0;           ///< Memory of each VM.
  int max_fds_ = 0;             ///< File descriptors of each node process.
  nlohmann::json for_callers_;  ///< `limits` of the configuration.
  int extra_routes_ = 0;        ///< Routes of the configuration that get no requests.
  /// Port that requests are sent to. Heartbeats come from the target in any case, and name it.
  std::uint16_t upstream_port_ = kTargetPort;
};

/// A small system on loopback addresses: the store, the VMs, and fault proxies on the links from
/// node to node and from node to store.
class Fleet {
 public:
  /// `network` is the second byte of the loopback addresses; concurrent runs need different values.
  Fleet(ReactorLoop& loop, Ledger& ledger, std::mt19937_64& random, int network,
        std::filesystem::path directory);

  /// Starts the proxies, the nodes and the targets. Fails when a proxy's port is taken; ends the
  /// test when a process can't be started.
  Result<void> Start();

  /// Takes the first start out of the settings of later starts.
  void EndFirstStart();
  void StartProcess(Vm& vm);
  /// Sets the faults on the links to a node from the process `from`, or from all nodes when it is
  /// 0. Default-constructed faults clear them, as in `SetStoreFaults`.
  void SetPeerFaults(std::size_t node, pid_t from, const stand_ins::ProxyFaults& faults);
  /// Makes all present connections to a node silent for good, in one or both directions.
  void SilencePeerConnections(std::size_t node, bool to_node, bool from_node);
  /// Sets the faults on a node's link to the store.
  void SetStoreFaults(std::size_t node, const stand_ins::ProxyFaults& faults);
  /// Publishes the configuration under a higher version than before, which is returned.
  std::uint64_t WriteConfiguration();
  /// Writes the newest configuration again, as operators do after a restore of the store.
  void WriteConfigurationAgain();
  /// Prefix of a route that only this version of the configuration has.
  static std::string VersionPath(std::uint64_t version);

  /// Sets the options of later starts and of later versions of the configuration.
  void SetOptions(FleetOptions options) { options_ = std::move(options); }

  /// Sets the requests a second that a cold target takes in later configurations; 0 for no limit.
  void SetColdRate(double per_second) { cold_per_second_ = per_second; }

  std::vector<Vm>& Vms() { return vms_; }
  stand_ins::StoreStandIn& Store() { return store_; }

 private:
  Result<void> OpenProxy(const std::string& name, int port, const std::string& host,
                         std::uint16_t target_port);
  void WriteSettings(const Vm& vm, int index) const;
  std::string NodeSettings(const Vm& vm, int index) const;
  void SetFaults(const std::string& route, pid_t process, const stand_ins::ProxyFaults& faults);

  ReactorLoop& loop_;
  Ledger& ledger_;
  std::mt19937_64& random_;
  int network_;
  std::filesystem::path directory_;
  stand_ins::StoreStandIn store_;
  stand_ins::Proxy proxy_;
  std::vector<Vm> vms_;
  std::uint64_t version_ = 0;
  std::string configuration_;  ///< The newest one.
  FleetOptions options_;
  double cold_per_second_ = 0;
  bool is_first_start_ = true;
};

}  // namespace sassafrasbay::soak
