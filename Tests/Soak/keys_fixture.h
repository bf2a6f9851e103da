#pragma once

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <span>
#include <string>

#include "LibOwnership/key_table.h"
#include "Soak/fleet_fixture.h"
#include "platform/wire_names.h"

namespace sassafrasbay::soak {

/// Time within which the platform requires a configuration in force, as in the fleet's settings.
inline constexpr milliseconds kMaxConfigurationDelay{2000};

/// From the kill of a process to its next start.
inline constexpr milliseconds kRestartDelay{500};

inline constexpr int kNotFound = 404;

/// A fleet whose key holders and configurations in force can be observed.
struct KeysFixture : FleetFixture {
  using FleetFixture::FleetFixture;

  /// A key that the target beside the node holds.
  static std::optional<int> HeldKey(const Vm& vm) {
    for (int key = 0; key <= static_cast<int>(kLastShardKey); ++key) {
      if (vm.target_->Holds(key)) {
        return key;
      }
    }
    return std::nullopt;
  }

  std::ptrdiff_t CountHolders(int key) {
    return std::count_if(fleet_.Vms().begin(), fleet_.Vms().end(),
                         [key](const Vm& vm) { return vm.target_->Holds(key); });
  }

  /// A key that the target beside the node holds, and no other one.
  int AwaitSingleHolder(const Vm& vm) {
    const BootTime end = BootClock::now() + kStartTimeout;
    while (BootClock::now() < end && (!HeldKey(vm) || CountHolders(*HeldKey(vm)) != 1)) {
      RunFor(kProbeInterval);
    }
    BOOST_REQUIRE(HeldKey(vm).has_value());
    return *HeldKey(vm);
  }

  /// Whether the node has a route that exists only in this version of the configuration. The time
  /// left is too short for the request to be sent to a target.
  bool HasConfiguration(std::size_t node, std::uint64_t version) {
    HttpCall call;
    call.base_url_ = "http://" + fleet_.Vms()[node].host_ + ":7001";
    call.request_ = {"GET",
                     Fleet::VersionPath(version) + "x",
                     {{"Host", "soak.example"},
                      {std::string(platform::kRequestIdHeader), "probe"},
                      {std::string(platform::kRemainingTimeHeader), "1"}},
                     {}};
    const HttpResult result = Get(std::move(call));
    return result.response_ && result.response_.value().status_ != kNotFound;
  }

  /// Probes the node until the configuration is in force there or the limit has passed.
  bool AwaitConfiguration(std::size_t node, std::uint64_t version, milliseconds limit) {
    const BootTime end = BootClock::now() + limit;
    while (BootClock::now() < end) {
      if (HasConfiguration(node, version)) {
        return true;
      }
      RunFor(kProbeInterval);
    }
    return false;
  }

  void KillAndRestartAll() { KillAndRestart(0); }

  /// Kills the processes from the node `first` on, and starts them again.
  void KillAndRestart(std::size_t first) {
    const std::span<Vm> vms = std::span(fleet_.Vms()).subspan(first);
    for (const Vm& vm : vms) {
      vm.process_->Kill();
    }
    RunFor(kRestartDelay);
    for (Vm& vm : vms) {
      fleet_.StartProcess(vm);
    }
    for (const Vm& vm : vms) {
      AwaitReady(vm);
    }
  }
};

}  // namespace sassafrasbay::soak
