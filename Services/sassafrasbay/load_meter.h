#pragma once

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "LibControl/records.h"

namespace sassafrasbay {

/// Decayed request rates of units and of the busiest keys.
struct LoadMeter {
  std::map<UnitId, double> units_;
  /// Unsorted, at most a few hundred. A vector, since each request for a new key scans all of them.
  std::vector<std::pair<std::uint64_t, double>> keys_;
};

void CountRequest(LoadMeter& meter, const UnitId& unit, std::uint64_t key_hash);

/// Ends a measuring interval of `seconds`; rates decay with a half-life of one interval.
void EndInterval(LoadMeter& meter, double seconds);

/// The heaviest keys with their rates, heaviest first.
std::vector<std::pair<std::uint64_t, double>> HeaviestKeys(const LoadMeter& meter,
                                                           std::size_t count);

std::vector<std::pair<UnitId, double>> HeaviestUnits(const LoadMeter& meter, std::size_t count);

}  // namespace sassafrasbay
