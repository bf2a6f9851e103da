#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "LibOwnership/history_settlement.h"
#include "LibOwnership/report_timing.h"
#include "LibOwnership/upstream_registry.h"
#include "LibTransport/http_client.h"
#include "LibTransport/http_server.h"
#include "LibTransport/reactor_loop.h"
#include "platform/store_client.h"
#include "router/key_table_writer.h"
#include "router/router_state.h"
#include "router/topic_follower.h"

namespace sassafrasbay {

/// Schedule of reads until the registration of this process has been read back. Long polls would be
/// answered at each of the n registrations of a common start on each of n nodes: 9240 calls in a
/// test day with 66 nodes.
inline constexpr ReadSchedule kJoiningReadSchedule{milliseconds(0), milliseconds(400)};

/// Maximum delay of the answer to an upstream, which accepts it up to one second late. A heartbeat
/// waits for a range that is about to arrive, as the upstream gets it sooner than with its next
/// heartbeat; a drain or leave waits until it has been recorded.
inline constexpr milliseconds kMaxAnswerDelay{700};

/// Where a node got a configuration or a mark from.
enum class ConfigurationSource : std::uint8_t { kStore, kPeer };

std::string_view ToString(ConfigurationSource source);

/// Maintains the configuration, the list of nodes, the key ownership and the grants to the local
/// upstream, whose heartbeats it answers.
class ControlThread {
 public:
  explicit ControlThread(RouterShared& shared);
  ControlThread(const ControlThread&) = delete;
  ControlThread& operator=(const ControlThread&) = delete;

  /// Opens the listening socket for heartbeats and starts to follow the store. Errors: those of the
  /// socket.
  Result<void> Open(TrafficThreadCallbacks traffic);

  /// Callbacks for the traffic thread.
  ControlThreadCallbacks Callbacks();

  void Run() { loop_.Run(); }
  void Stop() { loop_.Stop(); }

 private:
  /// A heartbeat whose answer is delayed because the ranges of its upstream are about to change, or
  /// until its draining has been recorded.
  struct PendingHeartbeat {
    std::shared_ptr<HttpExchange> exchange_;
    BootTime received_at_{};
    bool draining_ = false;
  };

  /// A leave that is acknowledged once it has been recorded.
  struct PendingLeave {
    std::shared_ptr<HttpExchange> exchange_;
    BootTime received_at_{};
  };

  /// An era of the store that wasn't settled when this process first saw it.
  struct UnsettledEra {
    std::uint64_t era_ = 0;
    BootTime seen_at_{};
  };

  void OnOperatorRecord(const KeyedRecord& record);
  void ApplyConfiguration(std::string_view text, ConfigurationSource source);
  void ApplyHeldConfiguration();
  /// Version of the configuration in force; 0 without one.
  std::uint64_t ConfigurationVersion() const;
  /// Time since it was last known that no newer configuration exists.
  milliseconds ConfigurationAge() const;
  /// Takes over what a report says of the configuration, and reads a newer one.
  void OnReportedConfiguration(const NodeReport& report, std::optional<BootTime> echoed);
  /// Reads the store when it is too long ago that the configuration was verified.
  void VerifyConfiguration();
  /// Marks the data centre as evacuated, or removes its mark.
  void SetEvacuated(const std::string& data_centre, bool evacuated, ConfigurationSource source);
  /// Takes over the marks that another node knows, if they are newer.
  void OnEvacuationState(const StateTransfer& state);
  /// Publishes how far the topic is known, which other nodes compare with their own position.
  void OnOperatorTopicCurrent();
  /// Reads the operators' topic if the sender knows more of it.
  void OnReportedOperatorsEnd(const NodeReport& report);
  bool IsEvacuated(const std::string& data_centre) const {
    return evacuated_.contains(data_centre);
  }
  /// Whether the marks in force have been read, from the store or another node.
  bool KnowsEvacuations() const { return operator_topic_.IsCurrent() || received_configuration_; }
  void OnFleetRecord(const KeyedRecord& record);
  /// Takes a record that the store holds in the era of the known ones.
  void OnNextFleetRecord(const KeyedRecord& record);
  /// Whether the newest records of the store replace the known ones.
  bool MayReplaceRecords(const HistoryCandidate& history);
  /// Whether these are records of an era after the known ones.
  bool IsOfLaterEra(const HistoryCandidate& history) const;
  void FindOtherNodes(const HistoryCandidate& history);
  /// Whether other nodes may still send their state to this process, which knows no records yet.
  bool AwaitsPeerState() const;
  /// Takes what a process needs to serve from an unsettled store, once nobody else may know more.
  void UseUnsettledStore();
  SettlementView MakeSettlementView() const;
  bool MayPromise() const;
  /// Writes all known records to an era that isn't settled, if it is this node's turn.
  void SettleHistory();
  /// Replaces all known records by the newest ones of the topic.
  void ReplaceRecords(const RecordList& records);
  void OnNodeRecord(const KeyedRecord& record);
  void OnOwnRecord(const NodeRecord& record);
  /// Replaces the known table of the service by a newer one.
  void ApplyTable(KeyTable table);
  void OnTablesCurrent(BootTime requested_at);
  void ConfirmTables(BootTime since);
  /// Latest time at which the known tables were the newest ones; the epoch if never.
  BootTime TablesConfirmedSince() const;
  void OnReport(ReceivedReport received_report);
  void OnState(const StateTransfer& state);
  void OnInstanceCall(const std::shared_ptr<HttpExchange>& exchange);
  void OnHeartbeat(const std::shared_ptr<HttpExchange>& exchange, std::string_view instance);
  void OnLeave(const std::shared_ptr<HttpExchange>& exchange, std::string_view instance);
  /// Takes over from the store, a response or a peer that the local upstream leaves.
  void OnLeavingUpstream(const LeavingUpstream& leaving, BootTime since, std::string_view source);
  /// Whether the store is known to hold what this process knows of the leaving of its upstream.
  bool IsLeavingRecorded() const;
  /// Writes this node's registration with the upstream that leaves, unless it is recorded.
  void WriteLeaving();
  void AnswerPendingLeaves();
  void AnswerPendingHeartbeats();
  void OnAcceptedHeartbeat(const PendingHeartbeat& pending, const UpstreamHeartbeat& heartbeat,
                           HeartbeatEffect effect);
  static void RespondUnconfirmed(const PendingHeartbeat& pending);
  /// The service if its upstreams have a health check that may be called now, otherwise null.
  const RoutedService* FindProbedService(const std::string& service) const;
  /// Whether the port is asked before another incarnation replaces the current one.
  bool DoesPortDecide() const;
  /// Asks the upstream's port which incarnation runs there, if that decides between two of them or
  /// on the keys of earlier ones.
  void ProbeUpstream();
  void OnProbed(const HttpResult& result);
  bool OwnsKeysOfEarlierIncarnation() const;
  HeartbeatAnswer MakeHeartbeatAnswer() const;
  bool ShouldDelayAnswer() const;
  /// Why the heartbeat can't be one of the upstream beside this node; empty if it can.
  std::string_view FindFault(const UpstreamHeartbeat& heartbeat) const;
  /// The service in the configuration in force; null if it has none.
  const RoutedService* FindService(const std::string& service) const;
  bool IsSharded(const std::string& service) const;
  /// Limits on cold upstreams of the service; nothing if the configuration sets none.
  std::optional<ColdStartTerms> ColdStartTermsOf(const std::string& service) const;
  const KeyTable* LocalTable() const;
  OwnershipView MakeView(const std::string& service) const;
  std::vector<std::string> OtherNodes() const;
  void OnNodeRemoved(const std::string& address);
  void RemoveLostNode();
  bool OwnsKeys(const std::string& address) const;
  void Decide();
  void ChooseReaders();
  milliseconds NodeTimeout() const {
    return SuspicionTimeout(std::max<std::size_t>(1, members_.size()));
  }
  void OnWritten(const KeyedRecord& record, std::uint64_t era);
  void OnPeerRecord(const TableRecord& message);
  void Register();
  NodeRecord OwnRecord() const;
  /// Writes this node's registration, whatever the end of the topic is. `with_history` also writes
  /// the record that settles the era.
  void AppendOwnRecord(bool with_history, std::function<void(const Result<TopicPosition>&)> done);
  void Publish();
  void ScheduleUpdate();

  RouterShared& shared_;
  ReactorLoop loop_;
  HttpClient client_;
  platform::StoreClient store_;
  TopicFollower operator_topic_;
  TopicFollower fleet_topic_;
  KeyTableWriter key_table_writer_;
  std::unique_ptr<HttpServer> heartbeats_;
  TrafficThreadCallbacks traffic_;

  std::optional<BootTime> registered_at_;  ///< Registration read back.
  bool removal_pending_ = false;
  std::set<std::string> readers_;  ///< Peer addresses of the nodes that follow the store.
  ReceivedPromises received_promises_;
  bool registration_pending_ = false;  ///< Its append is in progress.
  /// Position behind the last registration that the store has acknowledged.
  std::optional<TopicPosition> registered_up_to_;
  BootTime started_{};
  std::shared_ptr<const RouteTable> routes_;
  std::shared_ptr<const std::string> configuration_text_;
  FleetRecords records_;
  std::map<std::string, Member> members_;        ///< By peer address.
  std::map<std::string, ReceivedReport> peers_;  ///< Newest report by peer address.
  /// Newest demand report and its time of receipt, by peer address.
  std::map<std::string, std::pair<DemandReport, BootTime>> demand_;
  UpstreamRegistry registry_;
  std::vector<PendingHeartbeat> pending_heartbeats_;
  /// A heartbeat of another incarnation than the current one, while the port is asked.
  std::optional<PendingHeartbeat> pending_challenge_;
  bool probe_pending_ = false;
  BootTime next_probe_at_{};
  std::vector<PendingLeave> pending_leaves_;
  /// Upstream that leaves by the newest registration of this node, whichever process wrote it.
  std::optional<LeavingUpstream> recorded_leaving_;
  bool knows_own_record_ = false;  ///< The records have been read, from the store or a peer.
  bool leaving_write_pending_ = false;
  BootTime leaving_backoff_until_{};
  bool update_posted_ = false;
  std::optional<UnsettledEra> unsettled_;  ///< The latest one.
  bool begins_history_ = false;            ///< The system starts for the first time.
  bool settlement_pending_ = false;
  BootTime settlement_backoff_until_{};
  /// Services whose table in the store is of an earlier era than the known one.
  std::set<std::string> overwritten_tables_;
  /// Configuration from the store that waits for the state of other nodes.
  std::string held_configuration_;
  std::set<std::string> evacuated_;      ///< Names of the evacuated data centres.
  bool received_configuration_ = false;  ///< Another node has sent the configuration.
  std::optional<TopicPosition> published_operators_end_;
};

}  // namespace sassafrasbay
