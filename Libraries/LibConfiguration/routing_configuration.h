#pragma once

#include <chrono>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sassafrasbay {

enum class RequestKind { kIdempotent, kBinding };

/// A class of requests to a service, selected by method and by longest matching path prefix.
struct RequestClass {
  std::string name_;
  std::string method_;  ///< "*" matches every method.
  std::string path_prefix_;
  RequestKind kind_ = RequestKind::kIdempotent;
  int worth_ = 1;  ///< 1 to 100; requests of lower worth are shed first.
  std::chrono::milliseconds deadline_{2000};
};

/// Specifies the part of a request that contains its key.
struct KeyRule {
  enum class Source { kPathSegment, kHeader, kQuery };
  Source source_ = Source::kPathSegment;
  std::string name_;           ///< Name of the header or query parameter.
  std::uint32_t segment_ = 1;  ///< Index of the path segment; 0 is the service name.
};

struct ServiceSpec {
  std::string name_;
  std::uint32_t shards_ = 64;
  KeyRule key_;
  std::vector<RequestClass> classes_;
};

/// The merged content of all routing files, services sorted by name.
struct RoutingConfiguration {
  std::vector<ServiceSpec> services_;
};

/// A published routing file.
struct RoutingFile {
  std::string name_;  ///< File name without directory.
  std::string text_;  ///< TOML.
};

/// An error found in a settings or routing file.
struct Fault {
  std::string file_;
  int line_ = 0;  ///< 1-based; 0 when the fault has no line.
  std::string key_;
  std::string message_;
};

/// "file:line: key: message".
std::string ToString(const Fault& fault);

struct RoutingConfigurationResult {
  RoutingConfiguration configuration_;  ///< Valid only when there are no faults.
  std::vector<Fault> faults_;           ///< All faults; a conflict names both files.
};

/// Parses and merges routing files. Every node derives the same result, whatever their order.
RoutingConfigurationResult ParseRoutingFiles(std::span<const RoutingFile> files);

}  // namespace sassafrasbay
