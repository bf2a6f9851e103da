#include "LibConfiguration/routing_configuration.h"

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <tuple>
#include <utility>

#include "LibConfiguration/toml_scope.h"

namespace sassafrasbay {
namespace {

// Limits memory: every node stores owner and token of each unit.
constexpr std::int64_t kMaxShards = 16384;
constexpr std::int64_t kMaxPathSegment = 32;
constexpr std::int64_t kMaxWorth = 100;
constexpr std::int64_t kMaxDeadlineMs = 600000;
// Paths with the prefix "/-/" are reserved for operators and upstreams.
constexpr std::string_view kReservedService = "-";

struct Definition {
  std::string file_;
  int line_ = 0;
};

using Definitions = std::map<std::string, Definition, std::less<>>;  // Keyed by service name.

std::optional<std::string> RequireName(const TomlScope& scope, std::string_view key) {
  auto name = RequireString(scope, key);
  if (name.has_value() && !IsName(*name, "_-")) {
    AddFault(scope, key, "must have 1 to 64 letters, digits, '_' and '-'");
    return std::nullopt;
  }
  return name;
}

void CheckAbsent(const TomlScope& scope, std::string_view key, std::string_view source) {
  if (FindNode(scope, key) != nullptr) {
    AddFault(scope, key, "has no meaning with from = \"" + std::string(source) + "\"");
  }
}

void ReadKeyName(const TomlScope& scope, std::string_view source, KeyRule& rule) {
  CheckAbsent(scope, "segment", source);
  if (auto name = RequireName(scope, "name")) {
    rule.name_ = std::move(*name);
  }
}

KeyRule ReadKeyRule(const TomlScope& service) {
  KeyRule rule;
  if (FindNode(service, "key") == nullptr) {
    return rule;
  }
  const TomlScope scope = EnterTable(service, "key");
  if (scope.table_ == nullptr) {
    return rule;
  }
  CheckKnownKeys(scope, {"from", "segment", "name"});
  const auto from = RequireString(scope, "from");
  if (!from.has_value()) {
    return rule;
  }
  if (*from == "path") {
    CheckAbsent(scope, "name", *from);
    // Segment 0 is the service name, which would map all requests to one shard.
    SetInteger(scope, "segment", {1, kMaxPathSegment}, rule.segment_);
  } else if (*from == "header") {
    rule.source_ = KeyRule::Source::kHeader;
    ReadKeyName(scope, *from, rule);
  } else if (*from == "query") {
    rule.source_ = KeyRule::Source::kQuery;
    ReadKeyName(scope, *from, rule);
  } else {
    AddFault(scope, "from", R"(must be "path", "header" or "query")");
  }
  return rule;
}

void ReadMethod(const TomlScope& scope, RequestClass& request_class) {
  request_class.method_ = "*";
  const auto method = ReadString(scope, "method");
  if (!method.has_value()) {
    return;
  }
  const bool upper_case =
      std::all_of(method->begin(), method->end(), [](char c) { return c >= 'A' && c <= 'Z'; });
  if (*method != "*" && !upper_case) {
    AddFault(scope, "method", "must be a method in capital letters or \"*\"");
    return;
  }
  request_class.method_ = *method;
}

bool IsPathOfService(std::string_view path_prefix, std::string_view service) {
  const std::string root = "/" + std::string(service);
  return path_prefix == root || path_prefix.starts_with(root + "/");
}

void ReadPathPrefix(const TomlScope& scope, std::string_view service, RequestClass& request_class) {
  auto prefix = RequireString(scope, "path_prefix");
  if (!prefix.has_value()) {
    return;
  }
  if (!IsPathOfService(*prefix, service)) {
    AddFault(scope, "path_prefix", "lies outside \"/" + std::string(service) + "\"");
    return;
  }
  if (prefix->find_first_of("?# \t") != std::string::npos) {
    AddFault(scope, "path_prefix", "must not contain '?', '#' or white space");
    return;
  }
  request_class.path_prefix_ = std::move(*prefix);
}

void ReadKind(const TomlScope& scope, RequestClass& request_class) {
  const auto kind = RequireString(scope, "kind");
  if (!kind.has_value()) {
    return;
  }
  if (*kind == "idempotent") {
    request_class.kind_ = RequestKind::kIdempotent;
  } else if (*kind == "binding") {
    request_class.kind_ = RequestKind::kBinding;
  } else {
    AddFault(scope, "kind", R"(must be "idempotent" or "binding")");
  }
}

RequestClass ReadClass(const TomlScope& scope, std::string_view service) {
  RequestClass request_class;
  CheckKnownKeys(scope, {"name", "method", "path_prefix", "kind", "worth", "deadline_ms"});
  if (auto name = RequireName(scope, "name")) {
    request_class.name_ = std::move(*name);
  }
  ReadMethod(scope, request_class);
  ReadPathPrefix(scope, service, request_class);
  ReadKind(scope, request_class);
  SetInteger(scope, "worth", {1, kMaxWorth}, request_class.worth_);
  SetInteger(scope, "deadline_ms", {1, kMaxDeadlineMs}, request_class.deadline_);
  return request_class;
}

// Of two classes with equal method and prefix, their order would decide which one applies.
void CheckDuplicateClass(const TomlScope& scope, const std::vector<RequestClass>& earlier,
                         const RequestClass& request_class) {
  for (const RequestClass& other : earlier) {
    if (!other.name_.empty() && other.name_ == request_class.name_) {
      AddFault(scope, "name", "class '" + other.name_ + "' is defined twice");
    }
    if (!other.path_prefix_.empty() && other.path_prefix_ == request_class.path_prefix_ &&
        other.method_ == request_class.method_) {
      AddFault(scope, "path_prefix", "has the method and prefix of class '" + other.name_ + "'");
    }
  }
}

void ReadClasses(const TomlScope& service, ServiceSpec& spec) {
  const toml::node* node = FindNode(service, "class");
  const toml::array* classes = node == nullptr ? nullptr : node->as_array();
  if (classes == nullptr || classes->empty()) {
    AddFault(service, "class", "must be an array of at least one table");
    return;
  }
  std::size_t index = 0;
  for (const toml::node& element : *classes) {
    const TomlScope scope{.table_ = element.as_table(),
                          .file_ = service.file_,
                          .path_ = PathOf(service, "class[" + std::to_string(index++) + "]"),
                          .line_ = LineOf(element),
                          .faults_ = service.faults_};
    if (scope.table_ == nullptr) {
      AddFault(service, "class", "must hold tables only");
      continue;
    }
    RequestClass request_class = ReadClass(scope, spec.name_);
    CheckDuplicateClass(scope, spec.classes_, request_class);
    spec.classes_.push_back(std::move(request_class));
  }
}

ServiceSpec ReadService(const TomlScope& services, std::string_view name) {
  ServiceSpec spec;
  spec.name_ = std::string(name);
  const TomlScope scope = EnterTable(services, name);
  if (scope.table_ == nullptr) {
    return spec;
  }
  if (!IsName(name, "_-") || name == kReservedService) {
    AddFault(services, name,
             "a service name must have 1 to 64 letters, digits, '_' and '-', and not be \"-\"");
  }
  CheckKnownKeys(scope, {"shards", "key", "class"});
  SetInteger(scope, "shards", {1, kMaxShards}, spec.shards_);
  spec.key_ = ReadKeyRule(scope);
  ReadClasses(scope, spec);
  return spec;
}

// Each service is defined in one file by one author; a second definition is a fault, not merged.
void CheckDuplicateService(const TomlScope& services, std::string_view name,
                           Definitions& definitions) {
  const int line = LineOf(*FindNode(services, name));
  const auto [definition, added] = definitions.try_emplace(
      std::string(name), Definition{.file_ = services.file_, .line_ = line});
  if (!added) {
    AddFault(services, name,
             "service conflicts with its definition in " + definition->second.file_ + ":" +
                 std::to_string(definition->second.line_));
  }
}

void ReadFile(const RoutingFile& file, RoutingConfigurationResult& result,
              Definitions& definitions) {
  const auto table = ParseToml(file.name_, file.text_, result.faults_);
  if (!table.has_value()) {
    return;
  }
  const TomlScope root{
      .table_ = &*table, .file_ = file.name_, .path_ = {}, .line_ = 0, .faults_ = &result.faults_};
  CheckKnownKeys(root, {"service"});
  const TomlScope services = EnterTable(root, "service");
  if (FindNode(root, "service") == nullptr) {
    AddFault(root, "service", "is missing");
  }
  if (services.table_ == nullptr) {
    return;
  }
  for (const auto& [key, value] : *services.table_) {
    CheckDuplicateService(services, key.str(), definitions);
    result.configuration_.services_.push_back(ReadService(services, key.str()));
  }
}

std::vector<const RoutingFile*> SortedFiles(std::span<const RoutingFile> files) {
  std::vector<const RoutingFile*> sorted;
  sorted.reserve(files.size());
  for (const RoutingFile& file : files) {
    sorted.push_back(&file);
  }
  std::sort(sorted.begin(), sorted.end(), [](const RoutingFile* left, const RoutingFile* right) {
    return std::tie(left->name_, left->text_) < std::tie(right->name_, right->text_);
  });
  return sorted;
}

void CheckFileName(const RoutingFile& file, std::string_view previous, std::vector<Fault>& faults) {
  if (file.name_.empty()) {
    faults.push_back({.file_ = {}, .line_ = 0, .key_ = {}, .message_ = "a file has no name"});
  } else if (file.name_ == previous) {
    faults.push_back(
        {.file_ = file.name_, .line_ = 0, .key_ = {}, .message_ = "two files have this name"});
  }
}

}  // namespace

std::string ToString(const Fault& fault) {
  std::string text = fault.file_;
  if (fault.line_ > 0) {
    text += ":" + std::to_string(fault.line_);
  }
  if (!fault.key_.empty()) {
    text += ": " + fault.key_;
  }
  return text + ": " + fault.message_;
}

RoutingConfigurationResult ParseRoutingFiles(std::span<const RoutingFile> files) {
  RoutingConfigurationResult result;
  Definitions definitions;
  std::string_view previous;
  // Of two conflicting files the later one is reported, so files are processed in sorted order,
  // whatever the order in which they were published.
  for (const RoutingFile* file : SortedFiles(files)) {
    CheckFileName(*file, previous, result.faults_);
    previous = file->name_;
    ReadFile(*file, result, definitions);
  }
  auto& services = result.configuration_.services_;
  std::sort(
      services.begin(), services.end(),
      [](const ServiceSpec& left, const ServiceSpec& right) { return left.name_ < right.name_; });
  SortFaults(result.faults_);
  return result;
}

}  // namespace sassafrasbay
