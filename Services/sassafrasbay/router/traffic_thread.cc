#include "router/traffic_thread.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "LibCore/logging.h"
#include "LibOwnership/history_settlement.h"
#include "LibOwnership/report_timing.h"
#include "LibRouting/state_offer.h"
#include "router/echoed_clock.h"
#include "router/load_metrics.h"

namespace sassafrasbay {
namespace {

constexpr std::string_view kPart = "traffic";

/// Interval between checks for reports that are due.
constexpr milliseconds kReportCheckInterval = kMinReportInterval / 2;

/// Interval between demand reports.
constexpr milliseconds kDemandInterval{400};

/// Number of nodes that get demand reports.
constexpr std::size_t kPlannerCount = 2;

/// Size of the parts of a state that can be large.
std::size_t StateBytes(const StateTransfer& state) {
  std::size_t bytes = state.configuration_.size();
  for (const auto& [key, value] : state.records_) {
    bytes += key.size() + value.size();
  }
  return bytes;
}

std::uint64_t ClockMilliseconds() {
  return static_cast<std::uint64_t>(ToBootMilliseconds(BootClock::now()));
}

/// Time since `since`, rounded up.
std::uint64_t AgeMilliseconds(BootTime since) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(BootClock::now() - since).count() + 1);
}

}  // namespace

TrafficThread::TrafficThread(RouterShared& shared)
    : shared_(shared),
      links_(loop_, shared_),
      gate_(loop_, shared_),
      router_(loop_, shared_, links_, gate_) {}

Result<void> TrafficThread::Open(ControlThreadCallbacks control) {
  control_ = std::move(control);
  PeerLinks::Hooks hooks;
  hooks.on_message_ = [this](ConnectionId connection, NodeMessage message) {
    OnMessage(connection, std::move(message));
  };
  hooks.on_outgoing_closed_ = [this](const std::string& address, ConnectionId connection,
                                     bool was_open) {
    router_.OnLinkLost(address, connection, was_open);
  };
  hooks.on_replaced_ = [this](const std::string& address, ConnectionId silent) {
    sent_reports_.erase(address);
    router_.OnLinkLost(address, silent, true);
    SendDueReports();
  };
  hooks.on_incoming_closed_ = [this](ConnectionId connection) { OnIncomingClosed(connection); };
  hooks.awaited_answers_ = [this] { return router_.AwaitedOn(); };
  SASSAFRASBAY_TRY(links_.Listen(std::move(hooks)));
  gate_.SetHooks({[this] { control_.upstream_port_closed_(); },
                  [this](const Suspect& suspect) { Broadcast(suspect); },
                  [this](const Holder& holder) { control_.upstream_leaving_(holder); },
                  [this] { return links_.PendingBulkBytes(); },
                  [this] { return links_.PendingBytes(); }});
  SASSAFRASBAY_TRY(OpenPorts());
  loop_.StartRepeatingTimer(kReportCheckInterval, [this] {
    SendDueReports();
    CheckConnections();
  });
  loop_.StartRepeatingTimer(kDemandInterval, [this] { SendDemand(); });
  return boost::outcome_v2::success();
}

TrafficThreadCallbacks TrafficThread::Callbacks() {
  TrafficThreadCallbacks callbacks;
  callbacks.snapshot_published_ = [this](std::shared_ptr<const RouterSnapshot> snapshot) {
    loop_.Post([this, snapshot = std::move(snapshot)] { SetSnapshot(snapshot); });
  };
  callbacks.broadcast_ = [this](NodeMessage message) {
    loop_.Post([this, message = std::move(message)] { Broadcast(message); });
  };
  return callbacks;
}

void TrafficThread::Broadcast(const NodeMessage& message) {
  if (snapshot_ == nullptr) {
    return;
  }
  for (const Member& member : snapshot_->members_) {
    links_.Send(member.address_, message);
  }
}

void TrafficThread::SetSnapshot(const std::shared_ptr<const RouterSnapshot>& snapshot) {
  const bool configuration_changed =
      snapshot->routes_ != nullptr && (snapshot_ == nullptr || snapshot_->routes_ == nullptr ||
                                       snapshot_->routes_->version_ < snapshot->routes_->version_);
  const bool upstream_changed =
      snapshot->upstream_ != nullptr &&
      (snapshot_ == nullptr || snapshot_->upstream_ == nullptr ||
       snapshot_->upstream_->holder_ != snapshot->upstream_->holder_ ||
       snapshot_->upstream_->accepts_requests_ != snapshot->upstream_->accepts_requests_);
  snapshot_ = snapshot;
  // Promises are resolved only here, because reports state the offset up to which this node knows
  // the writes only from now on.
  shared_.promises_.Resolve(snapshot->tables_end_);
  if (configuration_changed) {
    const CallerLimits& limits = snapshot->routes_->limits_;
    callers_->SetLimits({limits.max_header_bytes_, limits.max_body_bytes_, limits.header_timeout_,
                         limits.idle_timeout_});
  }
  gate_.SetUpstream(snapshot->upstream_);
  router_.SetSnapshot(snapshot);
  // Reports are sent now instead of after the interval: other nodes then route to the changed
  // upstream, and read a configuration that a reader has seen.
  if (upstream_changed || (configuration_changed && snapshot->readers_.contains(shared_.self_))) {
    SendReports();
  }
}

void TrafficThread::OnMessage(ConnectionId connection, NodeMessage message) {
  if (auto* request = std::get_if<ForwardedRequest>(&message)) {
    OnForwarded(connection, std::move(*request));
  } else if (auto* answer = std::get_if<ForwardedAnswer>(&message)) {
    router_.OnAnswer(connection, std::move(*answer));
  } else if (const auto* introduction = std::get_if<Introduction>(&message)) {
    OnIntroduction(connection, *introduction);
  } else if (const auto* cancel = std::get_if<CancelForwarded>(&message)) {
    OnCancelled(connection, *cancel);
  } else if (const auto* report = std::get_if<NodeReport>(&message)) {
    OnReport(connection, *report);
  } else if (auto* state = std::get_if<StateTransfer>(&message)) {
    control_.state_received_(std::move(*state));
  } else if (auto* record = std::get_if<TableRecord>(&message)) {
    control_.record_received_(std::move(*record));
  } else if (auto* demand = std::get_if<DemandReport>(&message)) {
    control_.demand_received_(std::move(*demand));
  } else if (const auto* suspect = std::get_if<Suspect>(&message)) {
    gate_.OnSuspect(*suspect);
  }
}

void TrafficThread::OnReport(ConnectionId connection, const NodeReport& report) {
  // Reports of a node that go over different connections may overtake each other.
  const auto newest = reports_.find(report.address_);
  if (newest != reports_.end() && newest->second.report_.incarnation_ == report.incarnation_ &&
      newest->second.report_.clock_ms_ > report.clock_ms_) {
    shared_.metrics_.Count("sassafrasbay_peer_reports_overtaken_total");
    return;
  }
  const ReceivedReport received_report{report, BootClock::now()};
  if (newest != reports_.end() && newest->second.report_.incarnation_ != report.incarnation_) {
    transit_clocks_.erase(newest->second.report_.incarnation_);
  }
  RecordMessage(transit_clocks_[report.incarnation_], report.clock_ms_,
                received_report.received_at_);
  reports_[report.address_] = received_report;
  ConfirmReport(report);
  router_.SetReport(received_report);
  control_.report_received_(received_report);
  if (snapshot_ == nullptr) {
    return;
  }
  OfferState(connection, report);
}

void TrafficThread::OfferState(ConnectionId connection, const NodeReport& report) {
  const std::uint64_t version = snapshot_->routes_ == nullptr ? 0 : snapshot_->routes_->version_;
  const KnownState known{
      version,
      snapshot_->configuration_text_ == nullptr ? 0 : snapshot_->configuration_text_->size(),
      snapshot_->operators_end_, snapshot_->tables_end_};
  const MissingState missing = FindMissingState(report, known);
  if (!missing.IsAny()) {
    lagging_since_.erase(report.address_);
    return;
  }
  const BootTime now = BootClock::now();
  const MissingState parts = PartsToSend(missing);
  const std::size_t large_bytes = parts.configuration_ ? known.configuration_bytes_ : 0;
  const double link = shared_.environment_.link_bytes_per_second_;
  const milliseconds delay = StateOfferDelay(StateTransferTurn(report.address_), large_bytes, link);
  // A node that knows nothing can't serve anybody, and has found no store to read by itself.
  const bool knows_nothing =
      report.configuration_version_ == 0 && report.tables_end_ == TopicPosition{};
  const BootTime lagging_since =
      now - (knows_nothing ? StateOfferDelay(0, large_bytes, link) : milliseconds(0));
  BootTime& since = lagging_since_.try_emplace(report.address_, lagging_since).first->second;
  if (!parts.IsAny() || now - since < delay) {
    return;
  }
  since = now;
  StateTransfer state;
  if (parts.configuration_) {
    state.configuration_ = *snapshot_->configuration_text_;
  }
  if (parts.marks_) {
    state.operators_end_ = snapshot_->operators_end_;
    state.evacuated_.assign(snapshot_->evacuated_.begin(), snapshot_->evacuated_.end());
  }
  if (parts.tables_) {
    state.tables_end_ = snapshot_->tables_end_;
    state.records_ = EncodeRecords(snapshot_->records_);
  }
  const std::size_t bytes = StateBytes(state);
  shared_.metrics_.Count("sassafrasbay_states_sent_total");
  shared_.metrics_.Count("sassafrasbay_state_bytes_sent_total", {}, bytes);
  LogInfo(kPart, "peer=" + report.address_ + " state=sent bytes=" + std::to_string(bytes) +
                     " configuration=" + std::to_string(report.configuration_version_) + "/" +
                     std::to_string(version) + " tables_end=" + ToString(report.tables_end_) + "/" +
                     ToString(snapshot_->tables_end_) + ".");
  links_.Reply(connection, state);
}

// Turns follow the ring of addresses, starting behind `address`, so that different nodes send first
// to different receivers.
std::size_t TrafficThread::StateTransferTurn(const std::string& address) const {
  const BootTime now = BootClock::now();
  const milliseconds alive = PresumedAliveTimeout(NodeCount());
  const bool wraps = shared_.self_ < address;
  std::size_t between = 0;
  for (const auto& [other, received_report] : reports_) {
    const bool after = other > address;
    const bool before_self = other < shared_.self_;
    const bool is_between = wraps ? after || before_self : after && before_self;
    between += is_between && now - received_report.received_at_ < alive ? 1 : 0;
  }
  return between;
}

NodeReport TrafficThread::MakeReport() const {
  NodeReport report;
  report.address_ = shared_.self_;
  report.data_centre_ = shared_.environment_.data_centre_;
  report.incarnation_ = shared_.incarnation_id_;
  report.clock_ms_ = ClockMilliseconds();
  report.load_ = gate_.Load();
  report.service_times_ = gate_.ServiceTimes();
  report.leaving_ = leaving_;
  report.reaches_store_ = shared_.reaches_store_;
  if (snapshot_ == nullptr) {
    return report;
  }
  report.tables_end_ = snapshot_->tables_end_;
  report.store_era_ = snapshot_->store_era_;
  report.operators_end_ = snapshot_->operators_end_;
  report.reads_operators_topic_ = shared_.reads_operators_topic_;
  report.known_to_owners_ = IsKnownToOwners(snapshot_->registered_at_, BootClock::now());
  if (const auto since = shared_.confirmations_.Since(snapshot_->tables_end_)) {
    report.tables_known_ = true;
    report.tables_age_ms_ = AgeMilliseconds(*since);
  }
  report.configuration_version_ = snapshot_->routes_ == nullptr ? 0 : snapshot_->routes_->version_;
  if (const auto since = shared_.configuration_confirmations_.Since(
          ConfigurationPosition(report.configuration_version_))) {
    report.configuration_age_ms_ = AgeMilliseconds(*since);
  }
  if (snapshot_->upstream_ != nullptr) {
    const UpstreamState& upstream = *snapshot_->upstream_;
    report.upstream_ = {upstream.service_, upstream.holder_.instance_, upstream.holder_.born_ms_,
                        upstream.accepts_requests_, upstream.leaving_};
  }
  return report;
}

std::size_t TrafficThread::NodeCount() const { return snapshot_->members_.size() + 1; }

void TrafficThread::SendReports() {
  if (snapshot_ == nullptr) {
    return;
  }
  NodeReport report = MakeReport();
  const BootTime now = BootClock::now();
  for (const Member& member : snapshot_->members_) {
    SendReport(report, member.address_, now);
  }
}

void TrafficThread::SendDueReports() {
  if (snapshot_ == nullptr) {
    return;
  }
  std::optional<NodeReport> report;
  const BootTime now = BootClock::now();
  const bool is_reader = snapshot_->readers_.contains(shared_.self_);
  for (const Member& member : snapshot_->members_) {
    const milliseconds interval =
        ReportInterval(NodeCount(), is_reader || snapshot_->readers_.contains(member.address_));
    const auto sent = sent_reports_.find(member.address_);
    if (sent != sent_reports_.end() && now - sent->second.newest_at_ < interval) {
      continue;
    }
    if (!report) {
      report = MakeReport();
      PublishLoad(shared_.metrics_, report->load_, gate_.AcceptedRatioNow());
    }
    SendReport(*report, member.address_, now);
  }
}

void TrafficThread::SendReport(NodeReport& report, const std::string& address, BootTime now) {
  const auto last_report = reports_.find(address);
  report.echoed_clock_ms_ =
      last_report == reports_.end() ? 0 : last_report->second.report_.clock_ms_;
  report.echoed_incarnation_ =
      last_report == reports_.end() ? "" : last_report->second.report_.incarnation_;
  // A promise to a node that may be lost would only delay the takeover of its keys.
  const bool is_alive = last_report != reports_.end() &&
                        now - last_report->second.received_at_ < PresumedAliveTimeout(NodeCount());
  report.promises_ = is_alive && snapshot_->may_promise_ && shared_.promises_.Give(address, now);
  const LeavingUpstreams::Entry* leaving = router_.FindLeavingUpstream(address);
  report.leaving_instance_ = leaving == nullptr ? "" : leaving->holder_.instance_;
  report.leaving_born_ms_ = leaving == nullptr ? 0 : leaving->holder_.born_ms_;
  SentReports& sent = sent_reports_[address];
  sent.newest_at_ = now;
  if (const ConnectionId incoming = NextReportConnection(address)) {
    links_.Reply(incoming, report);
    return;
  }
  sent.own_clocks_[sent.own_count_++ % sent.own_clocks_.size()] = report.clock_ms_;
  links_.Send(address, report);
}

// Reports go over both connections of a pair in turn, so that each side sees in both directions
// whether its own one is silent.
ConnectionId TrafficThread::NextReportConnection(const std::string& address) {
  const auto incoming = incoming_.find(address);
  if (incoming == incoming_.end()) {
    return 0;
  }
  const bool takes_report =
      std::exchange(incoming->second.takes_next_report_, !incoming->second.takes_next_report_);
  return takes_report ? incoming->second.connection_ : 0;
}

void TrafficThread::ConfirmReport(const NodeReport& report) {
  const auto sent_at = EchoedTime(report, shared_.incarnation_id_, BootClock::now());
  const auto sent = sent_reports_.find(report.address_);
  if (!sent_at || sent == sent_reports_.end()) {
    return;
  }
  const auto& clocks = sent->second.own_clocks_;
  if (std::find(clocks.begin(), clocks.end(), report.echoed_clock_ms_) != clocks.end()) {
    links_.ConfirmSent(report.address_, *sent_at);
  }
}

// Only the nodes with the lowest addresses plan moves; the second takes over when the first is
// lost.
void TrafficThread::SendDemand() {
  if (snapshot_ == nullptr || snapshot_->routes_ == nullptr || snapshot_->upstream_ == nullptr) {
    return;
  }
  const auto service = snapshot_->routes_->services_.find(snapshot_->upstream_->service_);
  if (service == snapshot_->routes_->services_.end() || !service->second.sharded_) {
    return;
  }
  const std::optional<DemandReport> demand = gate_.Demand();
  if (!demand) {
    return;
  }
  control_.demand_received_(*demand);
  const BootTime now = BootClock::now();
  std::size_t sent = 0;
  for (const auto& [address, received_report] : reports_) {
    if (sent < kPlannerCount &&
        now - received_report.received_at_ < SuspicionTimeout(NodeCount())) {
      links_.Send(address, *demand);
      ++sent;
    }
  }
}

void TrafficThread::SetCallerService(const std::string& service) {
  loop_.Post([this, service] { router_.SetCallerService(service); });
}

}  // namespace sassafrasbay
