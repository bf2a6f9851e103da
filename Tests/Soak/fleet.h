#pragma once

#include <filesystem>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "LibTransport/upstream_client.h"
#include "Soak/ledger.h"
#include "Soak/target.h"
#include "StandIns/proxy_relay.h"
#include "harness/process.h"
#include "platform/store_stand_in.h"

namespace sassafrasbay::soak {

/// Nodes for the service whose keys are divided, and for the one that takes bookings.
inline constexpr int kLookupNodes = 4;
inline constexpr int kBookingNodes = 3;
inline constexpr int kNodes = kLookupNodes + kBookingNodes;

/// One VM: a process of the system, the target beside it, and the proxies on its links.
struct Vm {
  std::string name_;
  std::string host_;
  std::string settings_;
  std::filesystem::path log_;
  std::string advertised_;  ///< The proxy in front of the node's port for other nodes.
  std::unique_ptr<harness::Process> process_;
  std::unique_ptr<Target> target_;
  std::unique_ptr<UpstreamClient> callers_;
  BootTime disturbed_{};  ///< When it was thawed or a link of it healed.
  bool held_ = false;     ///< A fault is at work on its process.
};

/// A small system on loopback addresses: the store, the VMs, and the proxies between them.
class Fleet {
 public:
  /// `network` is the second byte of the loopback addresses; runs side by side need different ones.
  Fleet(ReactorLoop& loop, Ledger& ledger, std::mt19937_64& random, int network,
        std::filesystem::path directory);

  /// Starts everything. Errors: a port that is taken, a process that can't be started.
  Result<void> Start();

  void StartProcess(Vm& vm);
  /// Faults of the links of all others, or of the process `from`, to the node; of the node's link
  /// to the store. None when `faults` has none.
  void SetPeerFaults(std::size_t node, pid_t from, const stand_ins::ProxyFaults& faults);
  void SetStoreFaults(std::size_t node, const stand_ins::ProxyFaults& faults);
  void WriteConfiguration();

  std::vector<Vm>& Vms() { return vms_; }
  stand_ins::StoreStandIn& Store() { return store_; }

 private:
  Result<void> OpenProxy(const std::string& name, int port, const std::string& host,
                         std::uint16_t target_port);
  std::string SettingsOf(const Vm& vm, int index) const;
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
};

}  // namespace sassafrasbay::soak
