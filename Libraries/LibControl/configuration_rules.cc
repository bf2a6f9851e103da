#include <utility>

#include "LibControl/fold.h"

namespace sassafrasbay::fold {
namespace {

/// Name of a service with units whose number of shards would change; empty when there is none.
std::string ResizedService(const ControlState& state, const RoutingConfiguration& next) {
  for (const ServiceSpec& spec : next.services_) {
    const auto units = state.services_.find(spec.name_);
    if (units != state.services_.end() && units->second.shards_.size() != spec.shards_) {
      return spec.name_;
    }
  }
  return {};
}

void AddNewServices(Step& step) {
  for (const ServiceSpec& spec : step.state_.configuration_.services_) {
    const auto [entry, added] = step.state_.services_.try_emplace(spec.name_);
    if (added) {
      Unit unit;
      unit.token_ = step.offset_;
      entry->second.shards_.assign(spec.shards_, unit);
      AssignUnownedUnits(step, spec.name_, "new service");
    }
  }
}

}  // namespace

void Handle(Step& step, const ConfigurationPublished& record) {
  ControlState& state = step.state_;
  if (record.base_version_ != state.configuration_version_) {
    return Refuse(step, "based on version " + std::to_string(record.base_version_) + ", version " +
                            std::to_string(state.configuration_version_) + " is in force");
  }
  RoutingConfigurationResult parsed = ParseRoutingFiles(record.files_);
  if (!parsed.faults_.empty()) {
    return Refuse(step, ToString(parsed.faults_.front()));
  }
  const std::string resized = ResizedService(state, parsed.configuration_);
  if (!resized.empty()) {
    return Refuse(step, "changes the number of shards of service " + resized);
  }
  state.configuration_ = std::move(parsed.configuration_);
  state.files_ = record.files_;
  ++state.configuration_version_;
  state.configuration_since_ = step.offset_;
  // The units of a removed service keep their owners. Publishing the service again must not assign
  // them anew, since an owner that has read neither record still serves.
  AddNewServices(step);
  Accept(step);
}

}  // namespace sassafrasbay::fold
