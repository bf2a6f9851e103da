#include <utility>

#include "LibControl/fold.h"

namespace sassafrasbay::fold {
namespace {

/// Name of a service that has units and whose number of shards would change; empty when there is
/// none.
std::string FindServiceWithChangedShardCount(const ControlState& state,
                                             const RoutingConfiguration& next) {
  for (const ServiceSpec& spec : next.services_) {
    const auto units = state.services_.find(spec.name_);
    if (units != state.services_.end() && units->second.shards_.size() != spec.shards_) {
      return spec.name_;
    }
  }
  return {};
}

void AddNewServices(FoldContext& context) {
  for (const ServiceSpec& spec : context.state_.configuration_.services_) {
    const auto [entry, added] = context.state_.services_.try_emplace(spec.name_);
    if (added) {
      Unit unit;
      unit.token_ = context.offset_;
      entry->second.shards_.assign(spec.shards_, unit);
      AssignUnownedUnits(context, spec.name_, "new service");
    }
  }
}

}  // namespace

void Handle(FoldContext& context, const ConfigurationPublished& record) {
  ControlState& state = context.state_;
  if (record.base_version_ != state.configuration_version_) {
    return Reject(context, "the configuration is based on version " +
                               std::to_string(record.base_version_) + ", but version " +
                               std::to_string(state.configuration_version_) + " is in force");
  }
  RoutingConfigurationResult parsed = ParseRoutingFiles(record.files_);
  if (!parsed.faults_.empty()) {
    return Reject(context, ToString(parsed.faults_.front()));
  }
  const std::string changed_service =
      FindServiceWithChangedShardCount(state, parsed.configuration_);
  if (!changed_service.empty()) {
    return Reject(context,
                  "the configuration changes the number of shards of service " + changed_service);
  }
  state.configuration_ = std::move(parsed.configuration_);
  state.files_ = record.files_;
  ++state.configuration_version_;
  state.configuration_since_ = context.offset_;
  // The units of a removed service keep their owners. When the service is published again, the
  // units must not be reassigned, since an owner that has read neither record still serves them.
  AddNewServices(context);
  Accept(context);
}

}  // namespace sassafrasbay::fold
