#include "LibRouting/route_table.h"

#include <algorithm>
#include <cctype>
#include <optional>

namespace sassafrasbay {
namespace {

/// The host in lower case and without a port.
std::string HostName(std::string_view host) {
  std::string name(host.substr(0, host.find(':')));
  std::transform(name.begin(), name.end(), name.begin(), [](unsigned char character) {
    return static_cast<char>(std::tolower(character));
  });
  return name;
}

}  // namespace

void SortRoutes(RouteTable& table) {
  std::optional<int> first_rank;
  table.has_ranks_ = false;
  for (auto& [host, routes] : table.routes_by_host_) {
    std::stable_sort(routes.begin(), routes.end(), [](const Route& left, const Route& right) {
      return left.path_prefix_.size() > right.path_prefix_.size();
    });
    for (const Route& route : routes) {
      table.has_ranks_ = table.has_ranks_ || first_rank.value_or(route.rank_) != route.rank_;
      first_rank = route.rank_;
    }
  }
}

const Route* MatchRoute(const RouteTable& table, std::string_view host, std::string_view path) {
  const auto routes = table.routes_by_host_.find(HostName(host));
  if (routes == table.routes_by_host_.end()) {
    return nullptr;
  }
  const std::string_view without_query = path.substr(0, path.find('?'));
  const auto found = std::find_if(
      routes->second.begin(), routes->second.end(),
      [&](const Route& route) { return without_query.starts_with(route.path_prefix_); });
  return found == routes->second.end() ? nullptr : &*found;
}

const Destination& PickDestination(const Route& route, double sample) {
  double total = 0;
  for (const Destination& destination : route.destinations_) {
    total += destination.weight_;
  }
  double remaining = sample * total;
  for (const Destination& destination : route.destinations_) {
    remaining -= destination.weight_;
    if (remaining < 0) {
      return destination;
    }
  }
  return route.destinations_.back();
}

}  // namespace sassafrasbay
