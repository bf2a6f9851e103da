#include "Soak/fleet.h"

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

#include "platform/node_environment.h"
#include "platform/wire_names.h"

namespace sassafrasbay::soak {
namespace {

constexpr std::uint16_t kCallersPort = 7001;
constexpr std::uint16_t kReadyPort = 7002;
constexpr std::uint16_t kHeartbeatPort = 7003;
constexpr std::uint16_t kPeerPort = 7620;

/// First port of the proxies. They lie below the ephemeral port range of the system.
constexpr int kFirstProxyPort = 20'000;
constexpr int kProxyPortsPerNetwork = 40;

constexpr std::string_view kLookupService = "lookup";
constexpr std::string_view kBookingService = "booking";

std::string HostAndPort(std::string_view host, int port) {
  return std::string(host) + ":" + std::to_string(port);
}

std::string LimitSettings(const FleetOptions& options) {
  std::string text = "[limits]\n";
  if (options.link_mbps_ > 0) {
    text += "link-mbps = " + std::to_string(options.link_mbps_) + "\n";
  }
  if (options.memory_mb_ > 0) {
    text += "memory-mb = " + std::to_string(options.memory_mb_) + "\n";
  }
  if (options.max_fds_ > 0) {
    text += "max-fds = " + std::to_string(options.max_fds_) + "\n";
  }
  return text;
}

}  // namespace

Fleet::Fleet(ReactorLoop& loop, Ledger& ledger, std::mt19937_64& random, int network,
             std::filesystem::path directory)
    : loop_(loop),
      ledger_(ledger),
      random_(random),
      network_(network),
      directory_(std::move(directory)),
      store_(loop),
      proxy_(loop) {}

Result<void> Fleet::OpenProxy(const std::string& name, int port, const std::string& host,
                              std::uint16_t target_port) {
  stand_ins::ProxyRoute& route = proxy_.routes_[name];
  route.name_ = name;
  route.listen_port_ = static_cast<std::uint16_t>(port);
  route.target_host_ = host;
  route.target_port_ = target_port;
  return stand_ins::OpenRoute(proxy_, route);
}

Result<void> Fleet::Start() {
  WriteConfiguration();
  const std::string store = store_.Address();
  const auto store_port = static_cast<std::uint16_t>(std::stoi(store.substr(store.rfind(':') + 1)));
  vms_.resize(kNodes);
  for (int i = 0; i < kNodes; ++i) {
    Vm& vm = vms_[static_cast<std::size_t>(i)];
    const bool lookup = i < kLookupNodes;
    const int first_port = kFirstProxyPort + network_ * kProxyPortsPerNetwork + 2 * i;
    vm.name_ = "vm-" + std::to_string(i);
    vm.host_ = "127." + std::to_string(network_) + ".0." + std::to_string(10 + i);
    vm.advertised_address_ = HostAndPort("127.0.0.1", first_port);
    vm.log_ = directory_ / (vm.name_ + ".log");
    vm.settings_ = directory_ / (vm.name_ + ".toml");
    SASSAFRASBAY_TRY(OpenProxy("peer-" + vm.name_, first_port, vm.host_, kPeerPort));
    SASSAFRASBAY_TRY(OpenProxy("store-" + vm.name_, first_port + 1, "127.0.0.1", store_port));
    WriteSettings(vm, i);
    StartProcess(vm);
    TargetOptions options{std::string(lookup ? kLookupService : kBookingService),
                          vm.host_,
                          kTargetPort,
                          options_.upstream_port_,
                          "dc-" + std::to_string(i % 3),
                          "http://" + HostAndPort(vm.host_, kHeartbeatPort),
                          lookup,
                          [&vm] {
                            constexpr milliseconds kInterruptionEffectPeriod{300};
                            return BootClock::now() - vm.interruption_ended_ <
                                   kInterruptionEffectPeriod;
                          }};
    vm.target_ = std::make_unique<Target>(loop_, ledger_, random_, std::move(options));
    vm.target_->Start();
    vm.callers_ = std::make_unique<UpstreamClient>(loop_);
    vm.callers_->SetAddress(HostAndPort(vm.host_, kCallersPort));
  }
  return boost::outcome_v2::success();
}

void Fleet::EndFirstStart() {
  is_first_start_ = false;
  for (std::size_t i = 0; i < vms_.size(); ++i) {
    WriteSettings(vms_[i], static_cast<int>(i));
  }
}

void Fleet::WriteSettings(const Vm& vm, int index) const {
  std::ofstream(vm.settings_) << NodeSettings(vm, index);
}

std::string Fleet::NodeSettings(const Vm& vm, int index) const {
  const std::string quoted_host = "\"" + vm.host_ + ":";
  const int store_proxy = kFirstProxyPort + network_ * kProxyPortsPerNetwork + 2 * index + 1;
  const std::string service(index < kLookupNodes ? kLookupService : kBookingService);
  return "node = \"" + vm.name_ + "\"\nip = \"" + vm.host_ + "\"\nzone = \"dc-" +
         std::to_string(index % 3) + "\"\nservice = \"" + service +
         "\"\napp-addr = " + quoted_host + std::to_string(options_.upstream_port_) +
         "\"\nbeat-interval = \"870ms\"\nbootstrap = " + (is_first_start_ ? "true" : "false") +
         "\nport-range = [" + std::to_string(kPeerPort) + ", " + std::to_string(kPeerPort + 15) +
         "]\nbounds = [\"converge=2000ms\", \"drain-timeout=2000ms\", \"grace-period=6s\", "
         "\"hold-max=10000ms\", " +
         "\"retry-ratio=0.2\", \"budget-window=10s\", \"budget-slack=62\"]\n" +
         "[listen-addrs]\noutbound-addr = " + quoted_host + std::to_string(kCallersPort) +
         "\"\nready-addr = " + quoted_host + std::to_string(kReadyPort) +
         "\"\ncontrol-addr = " + quoted_host + std::to_string(kHeartbeatPort) +
         "\"\n[platform]\naddr = \"" + HostAndPort("127.0.0.1", store_proxy) + "\"\n" +
         LimitSettings(options_);
}

void Fleet::StartProcess(Vm& vm) {
  // setenv is safe here since the process has only the loop's thread. The child reads the variable
  // when it starts, so each node gets its own settings file.
  setenv(platform::kSettingsVariable, vm.settings_.c_str(), 1);
  const std::vector<std::string> arguments = {"sidecar", "--advertise", vm.advertised_address_};
  auto process = harness::Process::Start(SASSAFRASBAY_PROGRAM, arguments, vm.log_);
  if (!process) {
    std::cout << "cannot start a node process: " << ToString(process.error()) << std::endl;
    std::exit(EXIT_FAILURE);
  }
  vm.process_ = std::move(process.value());
}

std::string Fleet::VersionPath(std::uint64_t version) {
  return "/version/" + std::to_string(version) + "/";
}

std::uint64_t Fleet::WriteConfiguration() {
  const auto route = [](const char* name, const char* kind, int priority, const std::string& prefix,
                        std::string_view service, const char* timeout = "800ms") {
    return nlohmann::json{
        {"name", name},
        {"kind", kind},
        {"slo", "300ms"},
        {"priority", priority},
        {"match", {{"path-prefix", prefix}}},
        {"action", {{"service", std::string(service)}, {"timeout", timeout}, {"max-attempts", 2}}}};
  };
  const auto cluster = [this](std::string_view name, bool sharded) {
    nlohmann::json value{{"name", std::string(name)},
                         {"health-path", "/healthz"},
                         {"max-conns", 130},
                         {"sharded", sharded}};
    if (cold_per_second_ > 0) {
      value["cold-start"] = "3s";
      value["cold-per-s"] = cold_per_second_;
    }
    return value;
  };
  constexpr int kVersionDigits = 8;
  version_ += 1 + random_() % 3;
  std::string version(kVersionDigits + 1, '\0');
  std::snprintf(version.data(), version.size(), "%08llx",
                static_cast<unsigned long long>(version_));
  version.pop_back();
  nlohmann::json configuration = {
      {"version", version},
      {"listeners",
       {{{"host", "soak.example"},
         {"rules",
          {route("lookup", "idempotent", 2, "/lookup/", kLookupService),
           route("report", "idempotent", 2, "/report/", kBookingService),
           route("book", "non_idempotent", 0, "/book/", kBookingService),
           route("long", "non_idempotent", 1, "/long/", kBookingService, "12000ms"),
           route("version", "idempotent", 2, VersionPath(version_), kBookingService)}}}}},
      {"clusters", {cluster(kLookupService, true), cluster(kBookingService, false)}}};
  nlohmann::json& rules = configuration["listeners"][0]["rules"];
  for (int i = 0; i < options_.extra_routes_; ++i) {
    const std::string name = "extra-" + std::to_string(i);
    rules.push_back(route(name.c_str(), "idempotent", 2, "/" + name + "/", kBookingService));
  }
  if (!options_.for_callers_.is_null()) {
    configuration["limits"] = options_.for_callers_;
  }
  configuration_ = configuration.dump();
  WriteConfigurationAgain();
  return version_;
}

void Fleet::WriteConfigurationAgain() {
  store_.Append(platform::kOperatorTopic, platform::kConfigurationKey, configuration_);
}

void Fleet::SetFaults(const std::string& route, pid_t process,
                      const stand_ins::ProxyFaults& faults) {
  stand_ins::ProxyRoute& found = proxy_.routes_.at(route);
  found.faults_[process] = faults;
  stand_ins::UpdateConnectionFaults(proxy_, found);
}

void Fleet::SetPeerFaults(std::size_t node, pid_t from, const stand_ins::ProxyFaults& faults) {
  SetFaults("peer-" + vms_[node].name_, from, faults);
}

void Fleet::SilencePeerConnections(std::size_t node, bool to_node, bool from_node) {
  stand_ins::SilenceConnections(proxy_, proxy_.routes_.at("peer-" + vms_[node].name_), to_node,
                                from_node);
}

void Fleet::SetStoreFaults(std::size_t node, const stand_ins::ProxyFaults& faults) {
  SetFaults("store-" + vms_[node].name_, 0, faults);
}

}  // namespace sassafrasbay::soak
