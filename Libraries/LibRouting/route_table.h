#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "LibConfiguration/routing_configuration.h"
#include "LibCore/clock.h"

namespace sassafrasbay {

/// A service that a route sends requests to, and its weight among them.
struct Destination {
  std::string service_;
  double weight_ = 1;
};

/// A route: matches requests by host and path prefix.
struct Route {
  std::string name_;
  std::string path_prefix_;  ///< Starts and ends with a slash.
  RequestKind kind_ = RequestKind::kBinding;
  int rank_ = 0;  ///< Priority; 0 is the highest.
  /// Latency objective; a later answer is worth less to the caller.
  milliseconds objective_{1000};
  milliseconds timeout_{1000};  ///< Maximum time until the caller gets an answer.
  int max_attempts_ = 1;        ///< Maximum number of upstreams that a request is sent to.
  std::vector<Destination> destinations_;
};

/// A service that routes lead to.
struct RoutedService {
  std::string name_;
  std::string health_path_;
  /// Connections that one upstream accepts; nothing when not stated.
  std::optional<std::uint32_t> max_connections_;
  bool sharded_ = false;
  /// Time for which requests for a key are slow after the key has moved without a hand-over.
  milliseconds warm_up_{0};
  /// Time for which an upstream is cold after its start; nothing when not stated.
  std::optional<milliseconds> cold_start_;
  /// Requests a second that a cold upstream takes from all nodes together; nothing for no limit.
  std::optional<double> cold_per_second_;
};

/// Limits on requests and connections of callers.
struct CallerLimits {
  std::size_t max_header_bytes_ = 16U << 10U;
  std::size_t max_body_bytes_ = 64U << 20U;
  milliseconds header_timeout_{3000};
  milliseconds idle_timeout_{15000};
};

/// One version of the routing configuration.
struct RouteTable {
  std::uint64_t version_ = 0;
  /// Routes of each host, longest prefix first.
  std::map<std::string, std::vector<Route>, std::less<>> routes_by_host_;
  std::map<std::string, RoutedService, std::less<>> services_;
  CallerLimits limits_;
  bool has_ranks_ = false;  ///< Routes differ in rank. Set by SortRoutes.
};

/// Sorts the routes of each host by falling length of the path prefix, as MatchRoute requires, and
/// sets has_ranks_.
void SortRoutes(RouteTable& table);

/// Finds the route of `host` with the longest prefix of `path`; null when none matches. `host` is a
/// Host header with or without a port.
const Route* MatchRoute(const RouteTable& table, std::string_view host, std::string_view path);

/// Picks a destination at random by weight. `sample` is uniform in [0, 1).
const Destination& PickDestination(const Route& route, double sample);

}  // namespace sassafrasbay
