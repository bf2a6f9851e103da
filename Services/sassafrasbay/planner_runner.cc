#include "planner_runner.h"

#include <utility>

#include "LibCore/logging.h"

namespace sassafrasbay {
namespace {

constexpr std::string_view kPart = "placement";

/// An older report is from a session that is lost or unreachable.
constexpr milliseconds kReportRetention{10'000};

}  // namespace

PlannerRunner::PlannerRunner(ReactorLoop& loop, SharedState& shared, LogFollower& follower,
                             LogWriter& writer, ControlPeers& peers, SessionKeeper& session)
    : loop_(loop),
      shared_(shared),
      follower_(follower),
      writer_(writer),
      peers_(peers),
      session_(session) {}

void PlannerRunner::Start() {
  loop_.StartRepeatingTimer(shared_.settings_.planner_interval_, [this] { Plan(); });
}

void PlannerRunner::OnLoadMeasured(LoadReport report) {
  if (session_.ActiveSession().empty()) {
    return;
  }
  report.session_ = session_.ActiveSession();
  const SessionId planner = PlannerSession(follower_.State());
  if (planner == report.session_) {
    OnLoadReport(report);
    return;
  }
  const Session* target = FindSession(follower_.State(), planner);
  if (target != nullptr) {
    peers_.Send(target->join_.control_address_, report);
  }
}

void PlannerRunner::OnLoadReport(const LoadReport& report) {
  reports_[report.session_] = {report, BootClock::now()};
}

MeasuredLoad PlannerRunner::CollectLoad() {
  const BootTime now = BootClock::now();
  std::erase_if(reports_, [this, now](const auto& item) {
    return item.second.received_at_ + kReportRetention < now ||
           FindSession(follower_.State(), item.first) == nullptr;
  });
  MeasuredLoad load;
  for (const auto& [session, received] : reports_) {
    const std::string& service = FindSession(follower_.State(), session)->join_.service_;
    for (const auto& [unit, rate] : received.report_.units_) {
      load.units_[unit] += rate;
    }
    for (const auto& [key, rate] : received.report_.hot_keys_) {
      load.hot_keys_[{service, key}] += rate;
    }
  }
  return load;
}

void PlannerRunner::Plan() {
  const bool is_planner = !session_.ActiveSession().empty() && session_.HoldsLease() &&
                          follower_.IsCaughtUp() &&
                          PlannerSession(follower_.State()) == session_.ActiveSession();
  if (!is_planner) {
    return;
  }
  PlacementSettings settings;
  settings.imbalance_threshold_ = shared_.settings_.imbalance_threshold_;
  settings.moves_per_minute_ = shared_.settings_.moves_per_minute_;
  const MeasuredLoad load = CollectLoad();
  for (const auto& [name, service] : follower_.State().services_) {
    shared_.metrics_.SetGauge("sassafrasbay_imbalance", "service=\"" + name + "\"",
                              Imbalance(follower_.State(), name, load));
  }
  for (RecordBody& body :
       PlanPlacement(planner_, follower_.State(), load, settings, BootClock::now())) {
    if (const auto* moves = std::get_if<MovesStarted>(&body)) {
      LogInfo(kPart, "Proposing " + std::to_string(moves->moves_.size()) +
                         " moves: " + moves->reason_ + ".");
    }
    writer_.Write(std::move(body), LogWriter::RetryPolicy::kNever,
                  [](Offset, const ApplyResult& result, BootTime) {
                    if (!result.valid_) {
                      LogInfo(kPart, "A placement proposal was rejected: " + result.reason_ + ".");
                    }
                  });
  }
}

}  // namespace sassafrasbay
