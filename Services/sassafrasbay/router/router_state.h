#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "LibCore/clock.h"
#include "LibCore/hash.h"
#include "LibCore/metrics.h"
#include "LibOwnership/fleet_records.h"
#include "LibRouting/cold_start.h"
#include "LibRouting/node_messages.h"
#include "LibRouting/route_table.h"
#include "LibTransport/memory_budget.h"
#include "platform/node_environment.h"
#include "router/shared_confirmations.h"
#include "router/shared_promises.h"

namespace sassafrasbay {

/// A draining upstream gets requests until this long before the operators' limit on draining.
inline constexpr milliseconds kDrainMargin{500};

/// A registered node of the system.
struct Member {
  std::string address_;  ///< Peer address.
  std::string data_centre_;

  friend bool operator==(const Member&, const Member&) = default;
};

/// State of the local upstream, that is the one beside this node, as the traffic thread uses it.
struct UpstreamState {
  Holder holder_;
  std::string service_;
  std::string address_;
  std::uint32_t slots_ = 1;
  std::optional<std::uint32_t> max_connections_;  ///< As configured for its service.
  bool accepts_requests_ = false;  ///< Neither draining, leaving, stopped nor evacuated.
  bool leaving_ = false;           ///< Draining or leaving.
  bool evacuated_ = false;         ///< Its data centre is evacuated; nothing is sent to it.
  /// End of the time for which a draining or leaving upstream still gets requests for keys that no
  /// other upstream holds yet.
  BootTime drain_deadline_{};
  BootTime heartbeat_at_{};  ///< Receipt of its newest heartbeat.
  BootTime cold_until_{};    ///< End of its cold time by its heartbeats.
  /// Limits while it is cold; nothing if the configuration sets none for the service.
  std::optional<ColdStartTerms> cold_start_;
  std::vector<KeySpan> granted_;
  BootTime granted_until_{};
};

/// Control state as the traffic thread sees it. Immutable; the control thread publishes a new
/// snapshot on each change.
struct RouterSnapshot {
  std::shared_ptr<const RouteTable> routes_;  ///< Null until a configuration has been applied.
  /// Text of the configuration, for other nodes; null without one.
  std::shared_ptr<const std::string> configuration_text_;
  FleetRecords records_;
  TopicPosition tables_end_;
  TopicPosition operators_end_;            ///< In the operators' topic.
  std::set<std::string> evacuated_;        ///< Names of the evacuated data centres.
  std::uint64_t store_era_ = 0;            ///< Latest era in which the store has answered.
  std::optional<BootTime> registered_at_;  ///< The registration of this process was read back.
  bool may_promise_ = false;               ///< This node may give takeover promises.
  std::vector<Member> members_;            ///< All but this node.
  std::set<std::string> readers_;          ///< Peer addresses of the nodes that follow the store.
  std::shared_ptr<const UpstreamState> upstream_;  ///< Null until its first heartbeat.
};

/// Connections of each port for readiness, heartbeats or metrics. Their users are few.
inline constexpr std::size_t kMaxLocalConnections = 100;

/// State that the control and the traffic thread share.
struct RouterShared {
  platform::NodeEnvironment environment_;
  std::string self_;                               ///< Peer address of this node.
  const std::string incarnation_id_ = RandomId();  ///< Of this process.
  Metrics metrics_;
  MemoryBudget budget_{HeldBytesLimit(0)};  ///< Of the connections to this node's HTTP ports.
  SharedConfirmations confirmations_;
  SharedConfirmations configuration_confirmations_;
  std::atomic<bool> reaches_store_{false};
  /// No read of the operators' topic has failed since the last one that succeeded.
  std::atomic<bool> reads_operators_topic_{true};
  SharedPromises promises_;
};

/// The report of another node with its time of receipt.
struct ReceivedReport {
  NodeReport report_;
  BootTime received_at_{};
};

/// Callbacks from the traffic thread to the control thread; each posts to the control thread.
struct ControlThreadCallbacks {
  std::function<void(ReceivedReport)> report_received_;
  std::function<void(StateTransfer)> state_received_;
  std::function<void(TableRecord)> record_received_;
  std::function<void(DemandReport)> demand_received_;
  std::function<void()> upstream_port_closed_;  ///< No process listens there.
  /// A response of the local upstream announces that it leaves.
  std::function<void(Holder)> upstream_leaving_;
};

/// Callbacks from the control thread to the traffic thread; each posts to the traffic thread.
struct TrafficThreadCallbacks {
  std::function<void(NodeMessage)> broadcast_;  ///< Sends to all other nodes.
  std::function<void(std::shared_ptr<const RouterSnapshot>)> snapshot_published_;
};

}  // namespace sassafrasbay
