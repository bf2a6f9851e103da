#include "router/control_thread.h"

#include <algorithm>
#include <utility>

#include "LibCore/hash.h"
#include "LibCore/logging.h"
#include "LibOwnership/key_table_codec.h"
#include "platform/wire_names.h"
#include "router/echoed_clock.h"

namespace sassafrasbay {
namespace {

constexpr std::string_view kPart = "control";

/// Connections to the store: two long polls, one append and a spare.
constexpr int kStoreConnections = 8;

/// Interval of decisions that no event triggers, for example after a delay has ended.
constexpr milliseconds kDecisionInterval{100};

/// Maximum age of the last confirmation of the tables with which this node counts as reaching the
/// store.
constexpr milliseconds kMaxConfirmationAge{2000};

/// Adds the demand on the upstream beside the node at `address`, if that upstream can own keys.
void AddDemand(OwnershipView& view, const std::string& address, const DemandReport& report) {
  UpstreamDemand demand;
  demand.capacity_per_second_ = report.capacity_per_second_;
  if (address == view.self_ && view.local_upstream_.holder_) {
    demand.holder_ = *view.local_upstream_.holder_;
  }
  for (const NodeView& node : view.nodes_) {
    if (node.address_ == address && node.upstream_) {
      demand.holder_ = node.upstream_->holder_;
    }
  }
  for (const KeyRangeLoad& piece : report.pieces_) {
    demand.pieces_.push_back({{piece.first_, piece.last_}, piece.per_second_});
  }
  if (!demand.holder_.node_.empty()) {
    view.demand_.push_back(std::move(demand));
  }
}

}  // namespace

ControlThread::ControlThread(RouterShared& shared)
    : shared_(shared),
      client_(loop_, kStoreConnections),
      store_(client_, shared.environment_.store_),
      operator_topic_(loop_, store_, std::string(platform::kOperatorTopic), kJoiningReadSchedule,
                      {[this](const KeyedRecord& record) { OnOperatorRecord(record); },
                       [this](BootTime, BootTime answered_at) {
                         shared_.configuration_confirmations_.Confirm(
                             ConfigurationPosition(ConfigurationVersion()), answered_at);
                         OnOperatorTopicCurrent();
                       },
                       [](bool) {},
                       {},
                       {}}),
      fleet_topic_(
          loop_, store_, std::string(kFleetTopic), kJoiningReadSchedule,
          {[this](const KeyedRecord& record) { OnNextFleetRecord(record); },
           [this](BootTime requested_at, BootTime) { OnTablesCurrent(requested_at); },
           [this](bool reached) { shared_.reaches_store_ = reached; },
           [this](const HistoryCandidate& history) {
             ReplaceRecords({history.records_.begin(), history.records_.end()});
           },
           [this](const HistoryCandidate& history) { return MayReplaceRecords(history); }}),
      key_table_writer_(
          store_, shared_.promises_,
          [this](const KeyedRecord& record, std::uint64_t era) { OnWritten(record, era); }) {
  registry_.self_ = shared_.self_;
}

Result<void> ControlThread::Open(TrafficThreadCallbacks traffic) {
  traffic_ = std::move(traffic);
  started_ = BootClock::now();
  const platform::ListenAddress& address = shared_.environment_.heartbeats_;
  auto server = HttpServerBuilder(loop_)
                    .Listen(address.host_, address.port_)
                    .OnRequest([this](const std::shared_ptr<HttpExchange>& exchange) {
                      OnInstanceCall(exchange);
                    })
                    .MaxConnections(kMaxLocalConnections)
                    .Budget(shared_.budget_)
                    .CountIn(shared_.metrics_)
                    .Build();
  if (!server) {
    return server.error();
  }
  heartbeats_ = std::move(server.value());
  operator_topic_.Start();
  fleet_topic_.Start();
  loop_.StartRepeatingTimer(kDecisionInterval, [this] {
    ChooseReaders();
    VerifyConfiguration();
    SettleHistory();
    UseUnsettledStore();
    ApplyHeldConfiguration();
    RemoveLostNode();
    Decide();
    WriteLeaving();
    AnswerPendingLeaves();
    AnswerPendingHeartbeats();
  });
  return boost::outcome_v2::success();
}

ControlThreadCallbacks ControlThread::Callbacks() {
  ControlThreadCallbacks callbacks;
  callbacks.report_received_ = [this](ReceivedReport received_report) {
    loop_.Post([this, received_report = std::move(received_report)] { OnReport(received_report); });
  };
  callbacks.state_received_ = [this](StateTransfer state) {
    loop_.Post([this, state = std::move(state)] { OnState(state); });
  };
  callbacks.record_received_ = [this](TableRecord record) {
    loop_.Post([this, record = std::move(record)] { OnPeerRecord(record); });
  };
  callbacks.demand_received_ = [this](DemandReport demand) {
    loop_.Post([this, demand = std::move(demand)] {
      demand_[demand.address_] = {demand, BootClock::now()};
    });
  };
  callbacks.upstream_port_closed_ = [this] {
    loop_.Post([this] {
      if (RecordClosedPort(registry_, BootClock::now(), shared_.environment_.heartbeat_interval_)) {
        LogInfo(kPart, "upstream=" + registry_.local_upstream_.holder_->instance_ +
                           " has closed its port and sends no heartbeats; treated as stopped.");
        ScheduleUpdate();
      }
    });
  };
  callbacks.upstream_leaving_ = [this](const Holder& holder) {
    loop_.Post([this, holder] {
      OnLeavingUpstream({holder.instance_, holder.born_ms_}, BootClock::now(), "response");
    });
  };
  return callbacks;
}

void ControlThread::OnWritten(const KeyedRecord& record, std::uint64_t era) {
  TableRecord message{{era, record.offset_}, record.key_, record.value_};
  if (record.key_.starts_with(kTablePrefix)) {
    const Result<KeyTable> table = DecodeKeyTable(record.value_);
    const KeyTable* known = table ? FindTable(records_, table.value().service_) : nullptr;
    if (known != nullptr && known->version_ + 1 == table.value().version_) {
      message.value_ = EncodeKeyTable(ChangedRanges(*known, table.value()));
      message.changes_only_ = true;
    }
  }
  traffic_.broadcast_(std::move(message));
  fleet_topic_.Push(record, era);
}

// A record that doesn't continue the known records is dropped; the next reports show that it is
// missing, and it is read from the store.
void ControlThread::OnPeerRecord(const TableRecord& message) {
  if (!message.changes_only_) {
    fleet_topic_.Push({message.position_.offset_, message.key_, message.value_},
                      message.position_.era_);
    return;
  }
  const Result<KeyTable> changes = DecodeKeyTable(message.value_);
  if (!changes) {
    LogWarning(kPart, "key table changes from a peer ignored reason=\"" +
                          ToString(changes.error()) + "\".");
    return;
  }
  const KeyTable* known = FindTable(records_, changes.value().service_);
  auto table = known == nullptr ? std::nullopt : ApplyChanges(*known, changes.value());
  if (table && fleet_topic_.Advance(message.position_)) {
    ApplyTable(std::move(*table));
  }
}

void ControlThread::OnTablesCurrent(BootTime requested_at) {
  ConfirmTables(requested_at);
  Register();
  ScheduleUpdate();
}

void ControlThread::ConfirmTables(BootTime since) {
  shared_.confirmations_.Confirm(fleet_topic_.End(), since);
}

BootTime ControlThread::TablesConfirmedSince() const {
  return shared_.confirmations_.Since(fleet_topic_.End()).value_or(BootTime{});
}

// The report echoes this node's clock, so it was made after that time, whatever the network delay.
// The sender's tables were the newest at that time minus the age that the report states.
void ControlThread::OnReport(ReceivedReport received_report) {
  const NodeReport& report = received_report.report_;
  const auto echoed = EchoedTime(report, shared_.incarnation_id_, BootClock::now());
  if (!echoed && report.echoed_clock_ms_ > 0) {
    shared_.metrics_.Count("sassafrasbay_echoed_clocks_ignored_total");
    LogInfo(kPart, "peer=" + report.address_ +
                       " echoed_clock_ms=" + std::to_string(report.echoed_clock_ms_) +
                       " ignored; it isn't of this process.");
  }
  if (echoed && report.tables_known_ && report.tables_end_ == fleet_topic_.End()) {
    if (const auto since = TimeBefore(*echoed, report.tables_age_ms_)) {
      ConfirmTables(*since);
    }
  }
  if (echoed && report.promises_) {
    ReceivedPromise& received = received_promises_[report.address_];
    const bool same_tables = received.tables_end_ == report.tables_end_;
    received = {same_tables ? std::max(received.since_, *echoed) : *echoed, report.tables_end_};
  }
  fleet_topic_.ReadUnlessEraKnown(report.store_era_);
  operator_topic_.ReadUnlessEraKnown(report.store_era_);
  // The store no longer has the records of an earlier era.
  if (report.tables_end_ > fleet_topic_.End() &&
      report.tables_end_.era_ >= fleet_topic_.NewestEra()) {
    fleet_topic_.ReadUnlessKnown(
        MaxReplicationLag(members_.size()),
        [this, end = report.tables_end_] { return fleet_topic_.End() >= end; });
  }
  OnReportedConfiguration(report, echoed);
  OnReportedOperatorsEnd(report);
  // This process may have been restarted since its upstream announced that it leaves. When that
  // was isn't known, so no time is left.
  if (!report.leaving_instance_.empty()) {
    OnLeavingUpstream({report.leaving_instance_, report.leaving_born_ms_},
                      BootClock::now() - shared_.environment_.drain_limit_, "peer");
  }
  const std::string address = report.address_;
  // A process that can't read the store learns from the reports whom to ask for the state.
  if (!fleet_topic_.IsCurrent() &&
      members_.try_emplace(address, Member{address, report.data_centre_}).second) {
    ScheduleUpdate();
  }
  const auto known = peers_.find(address);
  const bool upstream_changed =
      known == peers_.end() ||
      known->second.report_.upstream_.instance_ != report.upstream_.instance_ ||
      known->second.report_.upstream_.accepts_keys_ != report.upstream_.accepts_keys_;
  peers_[address] = std::move(received_report);
  if (upstream_changed) {
    ScheduleUpdate();
  }
}

void ControlThread::OnState(const StateTransfer& state) {
  if (!state.configuration_.empty()) {
    shared_.metrics_.Count("sassafrasbay_configurations_received_total");
    ApplyConfiguration(state.configuration_, ConfigurationSource::kPeer);
  }
  OnEvacuationState(state);
  if (state.tables_end_ <= fleet_topic_.End()) {
    return;
  }
  LogInfo(kPart, "tables end=" + ToString(state.tables_end_) +
                     " from=" + ToString(fleet_topic_.End()) + " source=peer.");
  ReplaceRecords(state.records_);
  fleet_topic_.SkipTo(state.tables_end_);
}

OwnershipView ControlThread::MakeView(const std::string& service) const {
  OwnershipView view;
  view.self_ = shared_.self_;
  view.now_ = BootClock::now();
  view.started_ = started_;
  const BootTime confirmed = TablesConfirmedSince();
  view.registered_ = registered_at_;
  view.newest_born_ms_ = ConfirmedBornMs(registry_);
  view.reaches_store_ = registered_at_ && fleet_topic_.IsStoreReachable() &&
                        fleet_topic_.IsOfNewestEra() && view.now_ - confirmed < kMaxConfirmationAge;
  if (registry_.newest_ && registry_.newest_->service_ == service) {
    view.local_upstream_ = registry_.local_upstream_;
    view.local_upstream_.evacuated_ = IsEvacuated(shared_.environment_.data_centre_);
  } else {
    view.local_upstream_.earlier_granted_until_ = registry_.local_upstream_.granted_until_;
  }
  view.is_overwritten_ = overwritten_tables_.contains(service);
  view.known_nodes_ = std::max<std::size_t>(1, members_.size());
  view.reachable_nodes_ = 1;
  view.unknown_upstreams_ = registry_.newest_ ? 0 : 1;
  for (const auto& [address, member] : members_) {
    if (address == shared_.self_) {
      continue;
    }
    NodeView node;
    node.address_ = address;
    const auto peer = peers_.find(address);
    if (peer == peers_.end() || peer->second.report_.upstream_.service_.empty()) {
      ++view.unknown_upstreams_;
    }
    if (peer != peers_.end()) {
      const NodeReport& report = peer->second.report_;
      node.last_seen_ = peer->second.received_at_;
      node.reaches_store_ = report.reaches_store_;
      if (report.upstream_.service_ == service && report.upstream_.accepts_keys_ &&
          !IsEvacuated(report.data_centre_)) {
        const Holder holder{address, report.upstream_.instance_, report.upstream_.born_ms_};
        node.upstream_ = Candidate{holder, std::max<std::uint32_t>(report.load_.slots_, 1)};
      }
    }
    view.reachable_nodes_ += view.now_ - node.last_seen_ < NodeTimeout() ? 1 : 0;
    view.nodes_.push_back(std::move(node));
  }
  for (const auto& [address, demand] : demand_) {
    if (demand.first.service_ == service && view.now_ - demand.second < kMaxDemandAge) {
      AddDemand(view, address, demand.first);
    }
  }
  return view;
}

void ControlThread::Decide() {
  if (routes_ == nullptr || !registered_at_ || !KnowsEvacuations()) {
    return;
  }
  for (const auto& [name, service] : routes_->services_) {
    if (!service.sharded_) {
      continue;
    }
    if (FindTable(records_, name) == nullptr) {
      SetTable(records_, {name, FirstTableVersion(fleet_topic_.End().era_), {}});
    }
    key_table_writer_.Decide(*FindTable(records_, name), fleet_topic_.End(), MakeView(name));
  }
}

void ControlThread::ScheduleUpdate() {
  if (update_posted_) {
    return;
  }
  update_posted_ = true;
  loop_.Post([this] {
    update_posted_ = false;
    // The configuration and the tables may have become known since the heartbeat.
    ProbeUpstream();
    Decide();
    AnswerPendingHeartbeats();
    Publish();
  });
}

void ControlThread::Publish() {
  knows_own_record_ = knows_own_record_ || fleet_topic_.IsCurrent();
  auto snapshot = std::make_shared<RouterSnapshot>();
  snapshot->routes_ = routes_;
  snapshot->configuration_text_ = configuration_text_;
  snapshot->records_ = records_;
  snapshot->tables_end_ = fleet_topic_.End();
  snapshot->operators_end_ = operator_topic_.End();
  snapshot->evacuated_ = evacuated_;
  snapshot->store_era_ = std::max(fleet_topic_.NewestEra(), operator_topic_.NewestEra());
  snapshot->registered_at_ = registered_at_;
  snapshot->may_promise_ = MayPromise();
  snapshot->readers_ = readers_;
  for (const auto& [address, member] : members_) {
    if (address != shared_.self_) {
      snapshot->members_.push_back(member);
    }
  }
  // Until its records are known, an earlier process may have acknowledged that the upstream leaves,
  // and its data centre may be evacuated.
  if (registry_.newest_ && knows_own_record_ && KnowsEvacuations()) {
    const LocalUpstream& own = registry_.local_upstream_;
    auto upstream = std::make_shared<UpstreamState>();
    upstream->holder_ = *own.holder_;
    upstream->service_ = registry_.newest_->service_;
    upstream->address_ = shared_.environment_.upstream_;
    upstream->slots_ = own.slots_;
    if (const RoutedService* service = FindService(upstream->service_)) {
      upstream->max_connections_ = service->max_connections_;
    }
    upstream->leaving_ = own.draining_ || own.has_left_;
    upstream->evacuated_ = IsEvacuated(shared_.environment_.data_centre_);
    upstream->accepts_requests_ = !upstream->leaving_ && !own.has_exited_ && !upstream->evacuated_;
    upstream->drain_deadline_ =
        registry_.draining_since_
            ? *registry_.draining_since_ + shared_.environment_.drain_limit_ - kDrainMargin
            : BootTime{};
    upstream->heartbeat_at_ = own.last_heartbeat_;
    upstream->cold_until_ = own.cold_until_;
    upstream->cold_start_ = ColdStartTermsOf(upstream->service_);
    for (const HeldRange& range : registry_.last_grant_) {
      upstream->granted_.push_back(range.keys_);
    }
    upstream->granted_until_ = own.granted_until_;
    snapshot->upstream_ = std::move(upstream);
  }
  traffic_.snapshot_published_(std::move(snapshot));
}

}  // namespace sassafrasbay
