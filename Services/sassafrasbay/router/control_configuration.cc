#include <utility>

#include "LibCore/logging.h"
#include "platform/configuration_decoder.h"
#include "platform/wire_names.h"
#include "router/control_thread.h"
#include "router/echoed_clock.h"

namespace sassafrasbay {
namespace {

constexpr std::string_view kPart = "control";

/// Delay of the read after a report names a newer configuration. There is no other copy to wait
/// for, since publishers send it to the store only.
constexpr milliseconds kConfigurationReadDelay{0};

/// Fraction of the operators' limit on the time until a configuration is in force. A node whose
/// knowledge is older reads the store itself. The rest of the time is for the read and for decoding
/// the configuration on a VM with a tenth of a core.
constexpr double kMaxAgeFraction = 0.7;

/// Logs each route, so that the log line of a request can be read with the limits that applied to
/// it.
void LogRoutes(const RouteTable& table) {
  for (const auto& [host, routes] : table.routes_by_host_) {
    for (const Route& route : routes) {
      LogInfo("routes",
              "configuration=" + std::to_string(table.version_) + " route=" + route.name_ +
                  " rank=" + std::to_string(route.rank_) +
                  " idempotent=" + (route.kind_ == RequestKind::kIdempotent ? "true" : "false") +
                  " objective_ms=" + std::to_string(route.objective_.count()) +
                  " timeout_ms=" + std::to_string(route.timeout_.count()) +
                  " attempts=" + std::to_string(route.max_attempts_) +
                  " service=" + route.destinations_.front().service_ + ".");
    }
  }
}

}  // namespace

std::string_view ToString(ConfigurationSource source) {
  return source == ConfigurationSource::kStore ? "store" : "peer";
}

void ControlThread::OnOperatorRecord(const KeyedRecord& record) {
  if (record.key_ == platform::kConfigurationKey && !record.value_.empty()) {
    // Other nodes may have a newer one in force, which a restored store has lost.
    held_configuration_ = record.value_;
    ApplyHeldConfiguration();
  } else if (record.key_.starts_with(platform::kEvacuationPrefix)) {
    SetEvacuated(record.key_.substr(platform::kEvacuationPrefix.size()), !record.value_.empty(),
                 ConfigurationSource::kStore);
  }
}

void ControlThread::ApplyHeldConfiguration() {
  if (!held_configuration_.empty() && (routes_ != nullptr || !AwaitsPeerState())) {
    ApplyConfiguration(std::exchange(held_configuration_, {}), ConfigurationSource::kStore);
  }
}

void ControlThread::ApplyConfiguration(std::string_view text, ConfigurationSource source) {
  auto routes = platform::DecodeConfiguration(text);
  if (!routes) {
    LogWarning(kPart,
               "configuration ignored reason=\"" + sassafrasbay::ToString(routes.error()) + "\".");
    return;
  }
  const std::uint64_t version = routes.value().version_;
  if (routes_ != nullptr && version <= routes_->version_) {
    return;
  }
  LogInfo(kPart, "configuration version=" + std::to_string(version) +
                     " from=" + std::to_string(ConfigurationVersion()) +
                     " source=" + std::string(ToString(source)) + " verified_ms_ago=" +
                     std::to_string(ConfigurationAge().count()) + " is in force.");
  LogRoutes(routes.value());
  routes_ = std::make_shared<const RouteTable>(std::move(routes.value()));
  configuration_text_ = std::make_shared<const std::string>(text);
  ScheduleUpdate();
}

std::uint64_t ControlThread::ConfigurationVersion() const {
  return routes_ == nullptr ? 0 : routes_->version_;
}

milliseconds ControlThread::ConfigurationAge() const {
  const auto since =
      shared_.configuration_confirmations_.Since(ConfigurationPosition(ConfigurationVersion()))
          .value_or(started_);
  return std::chrono::duration_cast<milliseconds>(BootClock::now() - since);
}

// As in OnReport, the echoed clock makes the sender's knowledge at least as old as it was.
void ControlThread::OnReportedConfiguration(const NodeReport& report,
                                            std::optional<BootTime> echoed) {
  const std::uint64_t version = report.configuration_version_;
  if (echoed && version == ConfigurationVersion() && report.configuration_age_ms_) {
    if (const auto since = TimeBefore(*echoed, *report.configuration_age_ms_)) {
      shared_.configuration_confirmations_.Confirm(ConfigurationPosition(version), *since);
    }
  }
  const auto is_in_force = [this, version] { return ConfigurationVersion() >= version; };
  if (!is_in_force()) {
    operator_topic_.ReadUnlessKnown(kConfigurationReadDelay, is_in_force);
  }
}

// Readers report new configurations. That they are silent doesn't mean that there is none: they may
// be lost, or may have lost the store without noticing yet.
void ControlThread::VerifyConfiguration() {
  shared_.reads_operators_topic_ = !operator_topic_.IsFailing();
  const milliseconds age = ConfigurationAge();
  shared_.metrics_.SetGauge("sassafrasbay_configuration_age_ms", {},
                            static_cast<double>(age.count()));
  if (age > kMaxAgeFraction * shared_.environment_.configuration_limit_ &&
      operator_topic_.ReadUnlessPending()) {
    shared_.metrics_.Count("sassafrasbay_configuration_verifications_total");
  }
}

}  // namespace sassafrasbay
