#include "harness/fleet.h"

#include <fstream>
#include <utility>

namespace sassafrasbay::harness {
namespace {

const std::filesystem::path kStandIns = SASSAFRASBAY_STAND_INS;
const std::filesystem::path kProgram = SASSAFRASBAY_PROGRAM;
constexpr std::chrono::seconds kPublishTimeout{60};

bool WriteFile(const std::filesystem::path& file, std::string_view text) {
  std::ofstream stream(file);
  stream << text;
  return stream.flush().good();
}

Result<void> WaitForPort(std::uint16_t port, std::string_view path, std::string_view program) {
  if (!WaitUntil([&] { return CallStatus(port, "GET", path) != 0; })) {
    return MakeError(Errc::kTimedOut, "start program", program,
                     "no HTTP response from its port before the timeout");
  }
  return boost::outcome_v2::success();
}

std::string Option(std::string_view name, std::string_view value) {
  return std::string("--").append(name).append("=").append(value);
}

std::string Option(std::string_view name, int value) { return Option(name, std::to_string(value)); }

}  // namespace

Result<std::unique_ptr<Process>> Fleet::StartProgram(const std::filesystem::path& program,
                                                     std::span<const std::string> arguments,
                                                     const std::string& log_name) const {
  return Process::Start(program, arguments, Directory() / (log_name + ".log"));
}

Result<void> Fleet::StartLog() {
  log_port_ = FreePort();
  const std::vector<std::string> arguments = {Option("port", log_port_)};
  SASSAFRASBAY_TRY(process, StartProgram(kStandIns / "log_stand_in", arguments, "log"));
  log_ = std::move(process);
  return WaitForPort(log_port_, "/offsets", "log_stand_in");
}

Result<void> Fleet::StartProxy() {
  proxy_admin_port_ = FreePort();
  std::vector<std::string> arguments = {Option("admin-port", proxy_admin_port_)};
  for (const FleetNode& node : nodes_) {
    const std::vector<std::pair<std::string, std::uint16_t>> targets = {
        {"control", node.control_port_},
        {"traffic", node.traffic_port_},
        {"callers", node.callers_port_},
        {"log", log_port_},
        {"upstream", node.upstream_port_}};
    for (const auto& [part, target] : targets) {
      const std::string name = part + "." + node.options_.name_;
      routes_[name] = FreePort();
      arguments.push_back(Option(
          "route", name + "=" + std::to_string(routes_[name]) + ":" + std::to_string(target)));
    }
  }
  SASSAFRASBAY_TRY(process, StartProgram(kStandIns / "fault_proxy", arguments, "proxy"));
  proxy_ = std::move(process);
  return WaitForPort(proxy_admin_port_, "/", "fault_proxy");
}

std::uint16_t Fleet::Advertised(std::string_view part, const FleetNode& node,
                                std::uint16_t port) const {
  const auto route = routes_.find(std::string(part) + "." + node.options_.name_);
  return route == routes_.end() ? port : route->second;
}

std::string Fleet::Settings(const FleetNode& node) const {
  const auto quoted = [](const std::string& text) { return "\"" + text + "\"\n"; };
  const auto advertised = [&](std::string_view part, std::uint16_t port) {
    return quoted(LocalAddress(Advertised(part, node, port)));
  };
  std::string seeds;
  for (const FleetNode& other : nodes_) {
    if (&other != &node) {
      seeds += seeds.empty() ? "" : ", ";
      seeds += "\"" + LocalAddress(Advertised("control", other, other.control_port_)) + "\"";
    }
  }
  std::string text = "[node]\nname = " + quoted(node.options_.name_);
  text += "data_centre = " + quoted(node.options_.data_centre_);
  text += "region = " + quoted(node.options_.region_);
  text += "[listen]\ncallers = " + quoted(LocalAddress(node.callers_port_));
  text += "traffic = " + quoted(LocalAddress(node.traffic_port_));
  text += "control = " + quoted(LocalAddress(node.control_port_));
  if (!routes_.empty()) {
    text += "[advertise]\ncallers = " + advertised("callers", node.callers_port_);
    text += "traffic = " + advertised("traffic", node.traffic_port_);
    text += "control = " + advertised("control", node.control_port_);
  }
  text += "[log]\nurl = " + quoted(LocalUrl(Advertised("log", node, log_port_)));
  text += "checkpoint_records = " + std::to_string(node.options_.checkpoint_records_) + "\n";
  text += "[peers]\nseeds = [" + seeds + "]\n";
  return text + node.options_.extra_settings_;
}

Result<void> Fleet::StartNode(std::size_t index) {
  FleetNode& node = Node(index);
  node.node_.reset();
  const std::filesystem::path file = Directory() / (node.options_.name_ + ".toml");
  if (!WriteFile(file, Settings(node))) {
    return MakeError(Errc::kUnavailable, "write settings", file.string(), "");
  }
  const std::vector<std::string> arguments = {"node", "--config", file.string()};
  SASSAFRASBAY_TRY(process, StartProgram(kProgram, arguments, node.options_.name_));
  node.node_ = std::move(process);
  return boost::outcome_v2::success();
}

Result<void> Fleet::StartUpstream(std::size_t index) {
  FleetNode& node = Node(index);
  const NodeOptions& options = node.options_;
  node.upstream_.reset();
  std::vector<std::string> arguments = {
      Option("port", node.upstream_port_),
      Option("advertised-port", Advertised("upstream", node, node.upstream_port_)),
      Option("admin-port", node.upstream_admin_port_),
      Option("service", options.service_),
      Option("node", LocalAddress(node.callers_port_)),
      Option("slots", options.slots_),
      Option("service-ms", options.service_ms_),
      Option("cold-ms", options.cold_ms_),
      Option("record-file", (Directory() / (options.name_ + ".records")).string())};
  if (options.checks_grants_) {
    arguments.emplace_back("--checks-grants");
  }
  SASSAFRASBAY_TRY(process, StartProgram(kStandIns / "upstream_stand_in", arguments,
                                         options.name_ + ".upstream"));
  node.upstream_ = std::move(process);
  return WaitForPort(node.upstream_admin_port_, "/", "upstream_stand_in");
}

bool Fleet::Publish(const std::map<std::string, std::string>& files) {
  const std::filesystem::path directory = Directory() / "routing";
  std::filesystem::remove_all(directory);
  std::filesystem::create_directory(directory);
  for (const auto& [name, text] : files) {
    if (!WriteFile(directory / name, text)) {
      return false;
    }
  }
  const std::vector<std::string> arguments = {"publish", "--log", LocalUrl(log_port_),
                                              directory.string()};
  const auto process = StartProgram(kProgram, arguments, "publish");
  return process && process.value()->Wait(kPublishTimeout) == 0;
}

bool Fleet::SetLogFaults(const nlohmann::json& faults) {
  return CallStatus(log_port_, "POST", "/-/faults", faults.dump()) == 200;
}

bool Fleet::SetProxyFaults(std::string_view route, nlohmann::json faults, pid_t process) {
  faults["route"] = route;
  faults["from_process"] = process;
  return CallStatus(proxy_admin_port_, "POST", "/-/faults", faults.dump()) == 200;
}

bool Fleet::SetPartition(std::size_t left, std::size_t right, bool cut) {
  bool done = true;
  for (const auto& [from, to] : {std::pair(left, right), std::pair(right, left)}) {
    const std::unique_ptr<Process>& process = Node(from).node_;
    for (const char* part : {"control.", "traffic.", "callers."}) {
      done &= process != nullptr &&
              SetProxyFaults(part + Node(to).options_.name_, {{"cut", cut}}, process->Id());
    }
  }
  return done;
}

bool Fleet::SetLogPartition(std::size_t index, bool cut) {
  return SetProxyFaults("log." + Node(index).options_.name_, {{"cut", cut}});
}

std::vector<RunRecord> Fleet::Runs() const {
  std::vector<RunRecord> all;
  for (const FleetNode& node : nodes_) {
    const auto runs = ReadRuns(Directory() / (node.options_.name_ + ".records"));
    all.insert(all.end(), runs.begin(), runs.end());
  }
  return all;
}

FleetBuilder& FleetBuilder::AddNode(NodeOptions options) {
  if (options.name_.empty()) {
    options.name_ = "node" + std::to_string(nodes_.size());
  }
  nodes_.push_back(std::move(options));
  return *this;
}

FleetBuilder& FleetBuilder::UseProxies() {
  proxies_ = true;
  return *this;
}

FleetBuilder& FleetBuilder::StartOnlyLog() {
  start_nodes_ = false;
  return *this;
}

Result<std::unique_ptr<Fleet>> FleetBuilder::Build() {
  std::unique_ptr<Fleet> fleet(new Fleet);
  for (const NodeOptions& options : nodes_) {
    FleetNode& node = fleet->nodes_.emplace_back();
    node.options_ = options;
    for (std::uint16_t* port : {&node.callers_port_, &node.traffic_port_, &node.control_port_,
                                &node.upstream_port_, &node.upstream_admin_port_}) {
      *port = FreePort();
    }
  }
  SASSAFRASBAY_TRY(fleet->StartLog());
  if (proxies_) {
    SASSAFRASBAY_TRY(fleet->StartProxy());
  }
  for (std::size_t index = 0; start_nodes_ && index < fleet->Size(); ++index) {
    SASSAFRASBAY_TRY(fleet->StartNode(index));
    SASSAFRASBAY_TRY(fleet->StartUpstream(index));
  }
  return fleet;
}

}  // namespace sassafrasbay::harness
