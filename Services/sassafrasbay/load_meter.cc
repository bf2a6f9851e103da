#include "load_meter.h"

#include <algorithm>
#include <type_traits>

namespace sassafrasbay {
namespace {

/// Capacity of the key table. A key that is not in a full table replaces the entry with the minimum
/// count and inherits that count (Space-Saving algorithm), so a key with more than 1/256 of the
/// load is always in the table.
constexpr std::size_t kMaxCountedKeys = 256;

/// Entries with a rate below this, in requests per second, are removed.
constexpr double kMinTrackedRate = 0.01;

template <typename Rates>
auto TopByRate(const Rates& rates, std::size_t count) {
  using Key = std::remove_const_t<typename Rates::value_type::first_type>;
  std::vector<std::pair<Key, double>> sorted(rates.begin(), rates.end());
  const std::size_t result_size = std::min(count, sorted.size());
  std::partial_sort(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(result_size),
                    sorted.end(),
                    [](const auto& left, const auto& right) { return left.second > right.second; });
  sorted.resize(result_size);
  return sorted;
}

}  // namespace

void CountRequest(LoadMeter& meter, const UnitId& unit, std::uint64_t key_hash) {
  meter.units_[unit] += 1;
  const auto found = std::find_if(meter.keys_.begin(), meter.keys_.end(),
                                  [key_hash](const auto& item) { return item.first == key_hash; });
  if (found != meter.keys_.end()) {
    found->second += 1;
    return;
  }
  if (meter.keys_.size() < kMaxCountedKeys) {
    meter.keys_.emplace_back(key_hash, 1);
    return;
  }
  const auto min_entry = std::min_element(
      meter.keys_.begin(), meter.keys_.end(),
      [](const auto& left, const auto& right) { return left.second < right.second; });
  *min_entry = {key_hash, min_entry->second + 1};
}

void EndInterval(LoadMeter& meter, double seconds) {
  // One value holds both the count of the interval and the decayed counts of earlier ones. With a
  // constant rate r the value v after an interval converges to v = (v + r * seconds) / 2, so the
  // rate is v / seconds.
  for (auto& [unit, value] : meter.units_) {
    value /= 2;
  }
  for (auto& [key, value] : meter.keys_) {
    value /= 2;
  }
  std::erase_if(meter.units_,
                [seconds](const auto& item) { return item.second < kMinTrackedRate * seconds; });
  std::erase_if(meter.keys_,
                [seconds](const auto& item) { return item.second < kMinTrackedRate * seconds; });
}

std::vector<std::pair<std::uint64_t, double>> TopKeysByRate(const LoadMeter& meter,
                                                            std::size_t count) {
  return TopByRate(meter.keys_, count);
}

std::vector<std::pair<UnitId, double>> TopUnitsByRate(const LoadMeter& meter, std::size_t count) {
  return TopByRate(meter.units_, count);
}

}  // namespace sassafrasbay
