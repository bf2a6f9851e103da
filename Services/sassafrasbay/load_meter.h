#pragma once

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "LibControl/records.h"

namespace sassafrasbay {

/// Exponentially decayed request counts of units and of the keys with the highest rates.
struct LoadMeter {
  std::map<UnitId, double> units_;
  /// Unsorted. A vector, since it has at most a few hundred entries and each request for a key that
  /// is not among them scans all of them.
  std::vector<std::pair<std::uint64_t, double>> keys_;
};

void CountRequest(LoadMeter& meter, const UnitId& unit, std::uint64_t key_hash);

/// Ends a measuring interval of `seconds`. Counts decay with a half-life of one interval.
void EndInterval(LoadMeter& meter, double seconds);

/// Returns up to `count` keys with the highest values, in descending order.
std::vector<std::pair<std::uint64_t, double>> TopKeysByRate(const LoadMeter& meter,
                                                            std::size_t count);

/// Returns up to `count` units with the highest values, in descending order.
std::vector<std::pair<UnitId, double>> TopUnitsByRate(const LoadMeter& meter, std::size_t count);

}  // namespace sassafrasbay
