#include "LibControl/service_load.h"

#include <algorithm>
#include <cmath>

namespace sassafrasbay::placement {
namespace {

/// Load that a unit without measured load counts with, as a fraction of the mean load of a unit.
constexpr double kIdleUnitLoadFraction = 0.01;

double TotalLoad(const ServiceLoad& load) {
  double total = 0;
  for (const auto& [session, value] : load.sessions_) {
    total += value;
  }
  return total;
}

double MeanLoad(const ServiceLoad& load) {
  return load.sessions_.empty() ? 0 : TotalLoad(load) / static_cast<double>(load.sessions_.size());
}

bool HasLowerLoad(const std::pair<const SessionId, double>& left,
                  const std::pair<const SessionId, double>& right) {
  return left.second < right.second;
}

/// Calls visit(UnitId, Unit, measured load) for each unit of the service.
template <typename Visit>
void ForEachUnitWithLoad(std::string_view name, const ServiceState& service,
                         const MeasuredLoad& measured, Visit visit) {
  UnitId id{std::string(name), 0};
  for (const Unit& shard : service.shards_) {
    const auto load = measured.units_.find(id);
    visit(id, shard, load == measured.units_.end() ? 0.0 : load->second);
    ++id.unit_;
  }
  for (const auto& [hash, entry] : service.overrides_) {
    id.unit_ = entry.unit_;
    visit(id, entry.ownership_, MeasuredLoadOfUnit(measured, id, hash));
  }
}

}  // namespace

double MeasuredLoadOfUnit(const MeasuredLoad& measured, const UnitId& unit,
                          std::uint64_t key_hash) {
  const auto load = measured.units_.find(unit);
  if (load != measured.units_.end()) {
    return load->second;
  }
  const auto key = measured.hot_keys_.find({unit.service_, key_hash});
  return key == measured.hot_keys_.end() ? 0.0 : key->second;
}

ServiceLoad ComputeServiceLoad(const ControlState& state, std::string_view service,
                               const MeasuredLoad& measured) {
  ServiceLoad load;
  for (const auto& [id, session] : state.sessions_) {
    if (session.join_.service_ == service && !session.draining_) {
      load.sessions_[id] = 0;
    }
  }
  const auto units = state.services_.find(service);
  if (units == state.services_.end() || load.sessions_.empty()) {
    return load;
  }
  std::size_t count = 0;
  ForEachUnitWithLoad(service, units->second, measured,
                      [&](const UnitId&, const Unit&, double value) {
                        load.measured_total_ += value;
                        ++count;
                      });
  const double mean = load.measured_total_ / static_cast<double>(std::max<std::size_t>(count, 1));
  const double idle_unit_load = mean > 0 ? mean * kIdleUnitLoadFraction : 1.0;
  ForEachUnitWithLoad(
      service, units->second, measured, [&](const UnitId& id, const Unit& unit, double value) {
        const double weight = std::max(value, idle_unit_load);
        const auto holder = load.sessions_.find(unit.move_ ? unit.move_->to_ : unit.owner_);
        if (holder != load.sessions_.end()) {
          holder->second += weight;
        }
        if (unit.move_) {
          ++load.running_moves_;
        } else if (!unit.owner_.empty()) {
          load.units_.push_back({id, unit.owner_, unit.token_, weight});
        }
      });
  return load;
}

double MaxOverMean(const ServiceLoad& load) {
  const double mean = MeanLoad(load);
  return mean > 0 ? std::ranges::max_element(load.sessions_, HasLowerLoad)->second / mean : 1.0;
}

double MinOverMean(const ServiceLoad& load) {
  const double mean = MeanLoad(load);
  return mean > 0 ? std::ranges::min_element(load.sessions_, HasLowerLoad)->second / mean : 1.0;
}

double RelativeDeviation(const ServiceLoad& load) {
  const double mean = MeanLoad(load);
  double absolute_deviations = 0;
  for (const auto& [session, value] : load.sessions_) {
    absolute_deviations += std::abs(value - mean);
  }
  return mean > 0 ? absolute_deviations / TotalLoad(load) : 0.0;
}

SessionId SessionWithMaxLoad(const ServiceLoad& load) {
  return std::ranges::max_element(load.sessions_, HasLowerLoad)->first;
}

SessionId SessionWithMinLoad(const ServiceLoad& load) {
  return std::ranges::min_element(load.sessions_, HasLowerLoad)->first;
}

}  // namespace sassafrasbay::placement
