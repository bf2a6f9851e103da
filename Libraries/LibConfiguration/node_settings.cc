#include "LibConfiguration/node_settings.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>
#include <optional>

#include "LibConfiguration/toml_scope.h"

namespace sassafrasbay {
namespace {

constexpr std::int64_t kSecondsPerDay = 86400;
// A forwarded body is sent with its headers in one frame of at most 4 MiB; see section 11 of the
// design page.
constexpr std::int64_t kMaxBodyBytes = 3 << 20;
// The lease must survive the loss of two consecutive heartbeats.
constexpr int kMinHeartbeatsPerLease = 3;

std::optional<std::string> ParseAddress(int family, const std::string& text) {
  std::array<unsigned char, sizeof(in6_addr)> bytes{};
  if (inet_pton(family, text.c_str(), bytes.data()) != 1) {
    return std::nullopt;
  }
  // In canonical form, different spellings of one address compare equal, such as "::1" and
  // "0:0:0:0:0:0:0:1".
  std::array<char, INET6_ADDRSTRLEN> canonical{};
  inet_ntop(family, bytes.data(), canonical.data(), canonical.size());
  return std::string(canonical.data());
}

std::optional<std::string> ParseHost(std::string_view text) {
  if (text.size() >= 2 && text.front() == '[' && text.back() == ']') {
    return ParseAddress(AF_INET6, std::string(text.substr(1, text.size() - 2)));
  }
  return ParseAddress(AF_INET, std::string(text));
}

std::optional<std::uint16_t> ParsePort(std::string_view text) {
  std::uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, port);
  if (text.empty() || result.ec != std::errc{} || result.ptr != end) {
    return std::nullopt;
  }
  return port;
}

bool IsWildcard(const Endpoint& endpoint) {
  return endpoint.host_ == "0.0.0.0" || endpoint.host_ == "::";
}

void ReadName(const TomlScope& scope, std::string_view key, std::string& target) {
  const auto name = RequireString(scope, key);
  if (!name.has_value()) {
    return;
  }
  if (!IsName(*name, "._-")) {
    AddFault(scope, key, "must have 1 to 64 letters, digits, '.', '_' and '-'");
    return;
  }
  target = *name;
}

void ReadNode(const TomlScope& root, NodeSettings& settings) {
  const TomlScope scope = EnterTable(root, "node");
  CheckKnownKeys(scope, {"name", "data_centre", "region"});
  ReadName(scope, "name", settings.name_);
  ReadName(scope, "data_centre", settings.data_centre_);
  ReadName(scope, "region", settings.region_);
}

void SetAddress(const TomlScope& scope, std::string_view key, const std::string& text,
                Endpoint& target) {
  Endpoint endpoint = ParseEndpoint(text);
  if (endpoint.host_.empty() || endpoint.port_ == 0) {
    AddFault(scope, key, "must be a numeric address with a port, such as \"127.0.0.1:8080\"");
    return;
  }
  target = std::move(endpoint);
}

void ReadListenAddress(const TomlScope& scope, std::string_view key, Endpoint& target) {
  if (const auto text = RequireString(scope, key)) {
    SetAddress(scope, key, *text, target);
  }
}

/// Reads an address announced to other nodes, which defaults to the listening address.
void ReadAdvertisedAddress(const TomlScope& scope, std::string_view key, const Endpoint& listening,
                           Endpoint& target) {
  target = listening;
  if (const auto text = ReadString(scope, key)) {
    SetAddress(scope, key, *text, target);
  }
}

bool Overlap(const Endpoint& left, const Endpoint& right) {
  if (left.host_.empty() || right.host_.empty() || left.port_ != right.port_) {
    return false;
  }
  return left.host_ == right.host_ || IsWildcard(left) || IsWildcard(right);
}

void CheckDistinct(const TomlScope& scope, std::string_view key, const Endpoint& endpoint,
                   std::string_view other_key, const Endpoint& other) {
  if (Overlap(endpoint, other)) {
    AddFault(scope, key, "overlaps the address of " + PathOf(scope, other_key));
  }
}

// Other nodes connect to the announced address, so it must not be a wildcard address.
void CheckNotWildcard(const TomlScope& scope, std::string_view key, const Endpoint& endpoint) {
  if (IsWildcard(endpoint)) {
    AddFault(scope, key, "must not be a wildcard, since it is announced");
  }
}

void ReadListen(const TomlScope& root, NodeSettings& settings) {
  const TomlScope scope = EnterTable(root, "listen");
  CheckKnownKeys(scope, {"callers", "traffic", "control"});
  ReadListenAddress(scope, "callers", settings.callers_);
  ReadListenAddress(scope, "traffic", settings.traffic_);
  ReadListenAddress(scope, "control", settings.control_);
  CheckNotWildcard(scope, "traffic", settings.traffic_);
  CheckNotWildcard(scope, "control", settings.control_);
  CheckDistinct(scope, "traffic", settings.traffic_, "callers", settings.callers_);
  CheckDistinct(scope, "control", settings.control_, "callers", settings.callers_);
  CheckDistinct(scope, "control", settings.control_, "traffic", settings.traffic_);
}

void ReadAdvertise(const TomlScope& root, NodeSettings& settings) {
  const TomlScope scope = EnterTable(root, "advertise");
  CheckKnownKeys(scope, {"callers", "traffic", "control"});
  ReadAdvertisedAddress(scope, "callers", settings.callers_, settings.advertised_callers_);
  ReadAdvertisedAddress(scope, "traffic", settings.traffic_, settings.advertised_traffic_);
  ReadAdvertisedAddress(scope, "control", settings.control_, settings.advertised_control_);
}

bool IsLogUrl(std::string_view url) {
  constexpr std::string_view kScheme = "http://";
  if (!url.starts_with(kScheme)) {
    return false;
  }
  const std::string_view authority = url.substr(kScheme.size());
  const std::size_t colon = authority.rfind(':');
  if (colon == std::string_view::npos || colon == 0) {
    return false;
  }
  const std::string_view host = authority.substr(0, colon);
  const auto port = ParsePort(authority.substr(colon + 1));
  if (!port.has_value() || *port == 0) {
    return false;
  }
  return ParseHost(host).has_value() || IsName(host, ".-");
}

void ReadLog(const TomlScope& root, NodeSettings& settings) {
  const TomlScope scope = EnterTable(root, "log");
  CheckKnownKeys(scope, {"url", "checkpoint_records"});
  SetInteger(scope, "checkpoint_records", {10, 100000}, settings.checkpoint_records_);
  const auto url = RequireString(scope, "url");
  if (!url.has_value()) {
    return;
  }
  if (!IsLogUrl(*url)) {
    AddFault(scope, "url", "must be \"http://HOST:PORT\" without a path");
    return;
  }
  settings.log_url_ = *url;
}

std::optional<LogLevel> ParseLogLevel(std::string_view text) {
  if (text == "debug") {
    return LogLevel::kDebug;
  }
  if (text == "info") {
    return LogLevel::kInfo;
  }
  if (text == "warning") {
    return LogLevel::kWarning;
  }
  if (text == "error") {
    return LogLevel::kError;
  }
  return std::nullopt;
}

void ReadLogging(const TomlScope& root, NodeSettings& settings) {
  const TomlScope scope = EnterTable(root, "logging");
  CheckKnownKeys(scope, {"level", "lines_per_second"});
  SetInteger(scope, "lines_per_second", {1, 100000}, settings.log_lines_per_second_);
  const auto text = ReadString(scope, "level");
  if (!text.has_value()) {
    return;
  }
  const auto level = ParseLogLevel(*text);
  if (!level.has_value()) {
    AddFault(scope, "level", R"(must be "debug", "info", "warning" or "error")");
    return;
  }
  settings.log_level_ = *level;
}

void ReadPeers(const TomlScope& root, NodeSettings& settings) {
  const TomlScope scope = EnterTable(root, "peers");
  CheckKnownKeys(scope, {"seeds"});
  const toml::node* node = FindNode(scope, "seeds");
  if (node == nullptr) {
    return;
  }
  const toml::array* seeds = node->as_array();
  if (seeds == nullptr) {
    AddFault(scope, "seeds", "must be an array of numeric addresses with ports");
    return;
  }
  for (const toml::node& seed : *seeds) {
    const auto text = seed.value_exact<std::string>();
    const Endpoint endpoint = text.has_value() ? ParseEndpoint(*text) : Endpoint{};
    if (endpoint.host_.empty() || endpoint.port_ == 0 || IsWildcard(endpoint)) {
      scope.faults_->push_back({.file_ = scope.file_,
                                .line_ = LineOf(seed),
                                .key_ = PathOf(scope, "seeds"),
                                .message_ = "must hold numeric addresses with ports"});
      continue;
    }
    settings.seeds_.push_back(endpoint);
  }
}

void ReadLease(const TomlScope& root, NodeSettings& settings) {
  const TomlScope scope = EnterTable(root, "lease");
  CheckKnownKeys(scope, {"duration_ms", "heartbeat_ms", "drift_percent"});
  SetInteger(scope, "duration_ms", {100, 60000}, settings.lease_);
  SetInteger(scope, "heartbeat_ms", {10, 20000}, settings.heartbeat_);
  SetInteger(scope, "drift_percent", {1, 50}, settings.drift_percent_);
  if (HasFault(scope, "duration_ms") || HasFault(scope, "heartbeat_ms")) {
    return;
  }
  if (settings.heartbeat_ * kMinHeartbeatsPerLease > settings.lease_) {
    AddFault(scope, "heartbeat_ms",
             std::to_string(settings.heartbeat_.count()) + " is more than a third of duration_ms " +
                 std::to_string(settings.lease_.count()));
  }
}

void ReadDrain(const TomlScope& root, NodeSettings& settings) {
  const TomlScope scope = EnterTable(root, "drain");
  CheckKnownKeys(scope, {"grace_ms", "limit_ms"});
  SetInteger(scope, "grace_ms", {0, 60000}, settings.drain_grace_);
  SetInteger(scope, "limit_ms", {100, 3600000}, settings.drain_limit_);
  if (HasFault(scope, "grace_ms") || HasFault(scope, "limit_ms")) {
    return;
  }
  if (settings.drain_limit_ < settings.drain_grace_) {
    AddFault(scope, "limit_ms",
             std::to_string(settings.drain_limit_.count()) + " is less than grace_ms " +
                 std::to_string(settings.drain_grace_.count()));
  }
}

void ReadRequests(const TomlScope& root, NodeSettings& settings) {
  const TomlScope scope = EnterTable(root, "requests");
  CheckKnownKeys(scope, {"clock_allowance_s", "table_retention_s", "suspect_refusal_s",
                         "retry_budget_percent", "queue_length", "max_body_bytes"});
  SetInteger(scope, "clock_allowance_s", {1, kSecondsPerDay}, settings.clock_allowance_);
  SetInteger(scope, "table_retention_s", {1, 7 * kSecondsPerDay},
             settings.request_table_retention_);
  SetInteger(scope, "suspect_refusal_s", {1, kSecondsPerDay}, settings.suspect_refusal_);
  SetInteger(scope, "retry_budget_percent", {0, 100}, settings.retry_budget_percent_);
  SetInteger(scope, "queue_length", {0, 10000}, settings.queue_length_);
  SetInteger(scope, "max_body_bytes", {1, kMaxBodyBytes}, settings.max_body_bytes_);
  if (HasFault(scope, "clock_allowance_s") || HasFault(scope, "table_retention_s")) {
    return;
  }
  // Otherwise all requests of a caller whose clock is late by the allowance would get `unknown`.
  if (settings.request_table_retention_ <= settings.clock_allowance_) {
    AddFault(scope, "table_retention_s",
             std::to_string(settings.request_table_retention_.count()) +
                 " must be more than clock_allowance_s " +
                 std::to_string(settings.clock_allowance_.count()));
  }
}

void ReadPlacement(const TomlScope& root, NodeSettings& settings) {
  const TomlScope scope = EnterTable(root, "placement");
  CheckKnownKeys(scope, {"imbalance_threshold", "moves_per_minute", "interval_ms"});
  if (const auto threshold = ReadNumber(scope, "imbalance_threshold", {1.01, 10.0})) {
    settings.imbalance_threshold_ = *threshold;
  }
  SetInteger(scope, "moves_per_minute", {0, 10000}, settings.moves_per_minute_);
  SetInteger(scope, "interval_ms", {100, 600000}, settings.planner_interval_);
}

}  // namespace

std::string ToString(const Endpoint& endpoint) {
  const bool has_colon = endpoint.host_.find(':') != std::string::npos;
  const std::string host = has_colon ? "[" + endpoint.host_ + "]" : endpoint.host_;
  return host + ":" + std::to_string(endpoint.port_);
}

Endpoint ParseEndpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return {};
  }
  const auto host = ParseHost(text.substr(0, colon));
  const auto port = ParsePort(text.substr(colon + 1));
  if (!host.has_value() || !port.has_value()) {
    return {};
  }
  return Endpoint{.host_ = *host, .port_ = *port};
}

NodeSettingsResult ParseNodeSettings(std::string_view file_name, std::string_view text) {
  NodeSettingsResult result;
  const auto table = ParseToml(file_name, text, result.faults_);
  if (!table.has_value()) {
    return result;
  }
  const TomlScope root{.table_ = &*table,
                       .file_ = std::string(file_name),
                       .path_ = {},
                       .line_ = 0,
                       .faults_ = &result.faults_};
  CheckKnownKeys(root, {"node", "listen", "advertise", "log", "logging", "peers", "lease", "drain",
                        "requests", "placement"});
  ReadNode(root, result.settings_);
  ReadListen(root, result.settings_);
  ReadAdvertise(root, result.settings_);
  ReadLog(root, result.settings_);
  ReadLogging(root, result.settings_);
  ReadPeers(root, result.settings_);
  ReadLease(root, result.settings_);
  ReadDrain(root, result.settings_);
  ReadRequests(root, result.settings_);
  ReadPlacement(root, result.settings_);
  SortFaults(result.faults_);
  return result;
}

}  // namespace sassafrasbay
