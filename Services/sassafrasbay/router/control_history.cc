#include <utility>

#include "LibCore/logging.h"
#include "router/control_thread.h"

namespace sassafrasbay {
namespace {

constexpr std::string_view kPart = "control";

/// Time for which a process that knows nothing yet waits for the state of other nodes before it
/// uses what an unsettled store says of its upstream and of the configuration. Some nodes send it
/// at the first report, others 0.6 s later in case that these lack it too.
constexpr milliseconds kPeerStateTimeout{1500};

/// Backoff after the settling records couldn't be written.
constexpr milliseconds kSettlementBackoff{300};

}  // namespace

// Newest records of the era that is known already are a continuation, whose void tables are written
// again. At the first start of the system there is no earlier history that an empty topic could
// lack.
bool ControlThread::MayReplaceRecords(const HistoryCandidate& history) {
  const std::uint64_t era = history.end_.era_;
  if (!IsOfLaterEra(history) || IsSettled(history.records_, era)) {
    return true;
  }
  const bool is_first_start = shared_.environment_.is_first_start_ && !unsettled_ &&
                              !fleet_topic_.IsCurrent() && history.records_.empty();
  if (is_first_start) {
    begins_history_ = true;
    return true;
  }
  if (!unsettled_ || unsettled_->era_ != era) {
    unsettled_ = UnsettledEra{era, BootClock::now()};
    shared_.metrics_.Count("sassafrasbay_unsettled_eras_total");
    LogWarning(kPart, "era=" + std::to_string(era) + " store_end=" + ToString(history.end_) +
                          " known_end=" + ToString(fleet_topic_.End()) +
                          " isn't settled; tables and registrations stay as they are known.");
  }
  FindOtherNodes(history);
  return false;
}

bool ControlThread::IsOfLaterEra(const HistoryCandidate& history) const {
  return !fleet_topic_.IsCurrent() || history.end_.era_ > fleet_topic_.End().era_;
}

// A process that knows no records needs the other nodes to send it theirs.
void ControlThread::FindOtherNodes(const HistoryCandidate& history) {
  if (fleet_topic_.IsCurrent()) {
    return;
  }
  for (const auto& [key, value] : history.records_) {
    if (!key.starts_with(kNodePrefix)) {
      continue;
    }
    const std::string address = key.substr(kNodePrefix.size());
    const Result<NodeRecord> node = DecodeNodeRecord(value);
    if (node && members_.try_emplace(address, Member{address, node.value().data_centre_}).second) {
      ScheduleUpdate();
    }
  }
}

bool ControlThread::AwaitsPeerState() const {
  if (fleet_topic_.IsCurrent()) {
    return false;
  }
  return !unsettled_ || BootClock::now() - unsettled_->seen_at_ < kPeerStateTimeout;
}

// Nobody else is there, or nobody knows more than the store.
void ControlThread::UseUnsettledStore() {
  const HistoryCandidate* history = fleet_topic_.Candidate();
  if (knows_own_record_ || AwaitsPeerState() || history == nullptr) {
    return;
  }
  knows_own_record_ = true;
  const auto own = history->records_.find(std::string(kNodePrefix) + shared_.self_);
  if (own != history->records_.end()) {
    if (const auto record = DecodeNodeRecord(own->second); record && record.value().leaving_) {
      OnLeavingUpstream(*record.value().leaving_,
                        BootClock::now() - shared_.environment_.drain_limit_, "unsettled store");
    }
  }
  LogInfo(kPart,
          "no state from other nodes; own registration and configuration are taken from era=" +
              std::to_string(history->end_.era_) + ", which isn't settled.");
  ScheduleUpdate();
}

bool ControlThread::MayPromise() const {
  const bool is_between_eras =
      fleet_topic_.IsCurrent() && fleet_topic_.End().era_ < fleet_topic_.NewestEra();
  return registered_at_ || (is_between_eras && MayPromiseUnregistered(registry_, records_));
}

SettlementView ControlThread::MakeSettlementView() const {
  SettlementView view;
  view.self_ = shared_.self_;
  view.now_ = BootClock::now();
  view.seen_at_ = unsettled_->seen_at_;
  view.registered_ = registered_at_;
  view.tables_end_ = fleet_topic_.End();
  for (const auto& [address, received] : peers_) {
    const NodeReport& report = received.report_;
    if (members_.contains(address) && view.now_ - received.received_at_ < NodeTimeout()) {
      view.peers_.push_back(
          {address, report.tables_end_, report.reaches_store_, report.known_to_owners_});
    }
  }
  view.is_isolated_ = (view.peers_.size() + 1) * 2 < members_.size();
  return view;
}

void ControlThread::SettleHistory() {
  const HistoryCandidate* history = fleet_topic_.Candidate();
  if (history == nullptr || !unsettled_ || unsettled_->era_ != history->end_.era_ ||
      !IsOfLaterEra(*history) || settlement_pending_ || !fleet_topic_.IsStoreReachable() ||
      BootClock::now() < settlement_backoff_until_ || !ShouldSettle(MakeSettlementView())) {
    return;
  }
  const std::uint64_t era = history->end_.era_;
  std::vector<KeyedRecord> records;
  for (auto& [key, value] : SettlementRecords(fleet_topic_.IsCurrent() ? &records_ : nullptr,
                                              history->records_, era, shared_.self_)) {
    records.push_back({0, std::move(key), std::move(value)});
  }
  LogInfo(kPart, "era=" + std::to_string(era) + " is settled at=" + ToString(history->end_) +
                     " known_end=" + ToString(fleet_topic_.End()) +
                     " records=" + std::to_string(records.size()) + " seen_ms_ago=" +
                     std::to_string(std::chrono::duration_cast<milliseconds>(BootClock::now() -
                                                                             unsettled_->seen_at_)
                                        .count()) +
                     ".");
  settlement_pending_ = true;
  store_.Append(kFleetTopic, records, history->end_.offset_,
                [this, era](const Result<TopicPosition>& position) {
                  settlement_pending_ = false;
                  if (!position) {
                    settlement_backoff_until_ = BootClock::now() + kSettlementBackoff;
                    LogInfo(kPart, "era=" + std::to_string(era) + " not settled reason=\"" +
                                       ToString(position.error()) + "\".");
                  }
                  fleet_topic_.ReadUnlessPending();
                });
}

}  // namespace sassafrasbay
