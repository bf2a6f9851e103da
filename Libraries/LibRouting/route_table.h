#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "LibConfiguration/routing_configuration.h"
#include "LibCore/clock.h"

namespace sassafrasbay {

/// A service that a route sends requests to, with its share of them.
struct Destination {
  std::string service_;
  double weight_ = 1;
};

/// Requests of one host and path prefix.
struct Route {
  std::string name_;
  std::string path_prefix_;  ///< Begins and ends with a slash.
  RequestKind kind_ = RequestKind::kBinding;
  int rank_ = 0;                  ///< 0 is the most urgent.
  milliseconds objective_{1000};  ///< An answer within this time is of full worth.
  milliseconds timeout_{1000};    ///< Longest time that a caller may be kept waiting.
  int max_attempts_ = 1;          ///< Upstreams that one request may be sent to.
  std::vector<Destination> destinations_;
};

struct RoutedService {
  std::string name_;
  std::string health_path_;
  std::uint32_t max_connections_ = 64;  ///< That one upstream accepts from all nodes together.
  bool sharded_ = false;
  milliseconds warm_up_{0};  ///< Time for which keys are slow that come without a hand-over.
};

/// Bounds on what callers may send.
struct CallerLimits {
  std::size_t max_header_bytes_ = 16U << 10U;
  std::size_t max_body_bytes_ = 64U << 20U;
  milliseconds header_timeout_{3000};
  milliseconds idle_timeout_{15000};
};

/// One version of the routing configuration.
struct RouteTable {
  std::uint64_t version_ = 0;
  std::map<std::string, std::vector<Route>, std::less<>>
      routes_by_host_;  ///< Longest prefix first.
  std::map<std::string, RoutedService, std::less<>> services_;
  CallerLimits limits_;
};

/// Orders the routes of each host so that MatchRoute finds the longest prefix first.
void SortRoutes(RouteTable& table);

/// The route with the longest prefix of `path` among those of `host`, a Host header with or without
/// a port; null when there is none.
const Route* MatchRoute(const RouteTable& table, std::string_view host, std::string_view path);

/// The destination for one request; `sample` is uniform in [0, 1).
const Destination& PickDestination(const Route& route, double sample);

}  // namespace sassafrasbay
