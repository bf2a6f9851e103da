#include "LibCore/logging.h"
#include "router/control_thread.h"

namespace sassafrasbay {
namespace {

constexpr std::string_view kPart = "control";

}  // namespace

void ControlThread::SetEvacuated(const std::string& data_centre, bool evacuated,
                                 ConfigurationSource source) {
  if (evacuated == IsEvacuated(data_centre)) {
    return;
  }
  if (evacuated) {
    evacuated_.insert(data_centre);
  } else {
    evacuated_.erase(data_centre);
  }
  shared_.metrics_.SetGauge("sassafrasbay_evacuated_data_centres", {},
                            static_cast<double>(evacuated_.size()));
  LogInfo(kPart, "data_centre=" + data_centre + " evacuated=" + (evacuated ? "true" : "false") +
                     " source=" + std::string(ToString(source)) + ".");
  ScheduleUpdate();
}

// The configuration up to this position is known too, or comes with the transfer.
void ControlThread::OnEvacuationState(const StateTransfer& state) {
  received_configuration_ = received_configuration_ || !state.configuration_.empty();
  const bool is_newer = state.operators_end_ && *state.operators_end_ > operator_topic_.End();
  if (!is_newer) {
    return;
  }
  const std::set<std::string> marked(state.evacuated_.begin(), state.evacuated_.end());
  // A restored store may have lost marks, which stay in force until their removal is read.
  const bool is_same_history = state.operators_end_->era_ == operator_topic_.End().era_;
  for (const std::string& data_centre : std::set<std::string>(evacuated_)) {
    if (is_same_history && !marked.contains(data_centre)) {
      SetEvacuated(data_centre, false, ConfigurationSource::kPeer);
    }
  }
  for (const std::string& data_centre : marked) {
    SetEvacuated(data_centre, true, ConfigurationSource::kPeer);
  }
  operator_topic_.SkipTo(*state.operators_end_);
}

void ControlThread::OnOperatorTopicCurrent() {
  if (published_operators_end_ != operator_topic_.End()) {
    published_operators_end_ = operator_topic_.End();
    ScheduleUpdate();
  }
}

// Readers report a new mark at once, as they do with a new configuration.
void ControlThread::OnReportedOperatorsEnd(const NodeReport& report) {
  if (!report.operators_end_ || *report.operators_end_ <= operator_topic_.End()) {
    return;
  }
  operator_topic_.ReadUnlessKnown(milliseconds(0), [this, end = *report.operators_end_] {
    return operator_topic_.End() >= end;
  });
}

}  // namespace sassafrasbay
