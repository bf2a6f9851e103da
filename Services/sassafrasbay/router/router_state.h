#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "LibCore/clock.h"
#include "LibCore/metrics.h"
#include "LibOwnership/key_table.h"
#include "LibRouting/node_messages.h"
#include "LibRouting/route_table.h"
#include "platform/node_environment.h"
#include "router/shared_promises.h"

namespace sassafrasbay {

/// Another node of the system.
struct Member {
  std::string address_;  ///< Peer address.
  std::string data_centre_;

  friend bool operator==(const Member&, const Member&) = default;
};

/// The upstream beside this node, for the traffic thread.
struct UpstreamState {
  Holder holder_;
  std::string service_;
  std::string address_;
  std::uint32_t slots_ = 1;
  bool accepts_requests_ = false;  ///< Neither draining nor leaving.
  /// Until when one that drains or leaves still takes requests for keys that nobody else holds.
  BootTime drain_deadline_{};
  std::vector<KeySpan> granted_;
  BootTime granted_until_{};
};

/// What the control thread has agreed and learnt. Immutable; a new one is published on each change.
struct RouterSnapshot {
  std::shared_ptr<const RouteTable> routes_;  ///< Null until the configuration is known.
  std::string configuration_text_;
  std::shared_ptr<const std::map<std::string, KeyTable>> tables_;  ///< By service; never null.
  std::uint64_t tables_end_ = 0;
  bool registered_ = false;  ///< The registration of this process has been read back.
  std::vector<std::pair<std::string, std::string>> records_;  ///< Newest records, for other nodes.
  std::vector<Member> members_;                               ///< All but this node.
  std::set<std::string> readers_;  ///< Nodes that follow the store for all, by peer address.
  std::shared_ptr<const UpstreamState> upstream_;  ///< Null until its first heartbeat.
};

/// Shared by the two threads of a node.
struct RouterShared {
  platform::NodeEnvironment environment_;
  std::string self_;  ///< Peer address of this node.
  Metrics metrics_;
  /// Boot time in ns of the last moment at which the tables were known to be the newest; 0 for
  /// never.
  std::atomic<std::int64_t> tables_confirmed_ns_{0};
  std::atomic<bool> reaches_store_{false};
  SharedPromises promises_;
};

/// Boot time from nanoseconds, as shared between the threads.
inline BootTime FromNanoseconds(std::int64_t value) { return BootTime(BootTime::duration(value)); }

/// What the traffic thread learns from the report of another node.
struct ReceivedReport {
  NodeReport report_;
  BootTime received_at_{};
};

/// Calls from traffic to control; each posts to the control thread.
struct ControlThreadCallbacks {
  std::function<void(ReceivedReport)> report_received_;
  std::function<void(StateTransfer)> state_received_;
  std::function<void(TableRecord)> record_received_;
  std::function<void(DemandReport)> demand_received_;
  std::function<void()> upstream_connection_refused_;  ///< The upstream's port refuses connections.
};

/// Calls from control to traffic; each posts to the traffic thread.
struct TrafficThreadCallbacks {
  std::function<void(NodeMessage)> broadcast_;  ///< Sends to all other nodes.
  std::function<void(std::shared_ptr<const RouterSnapshot>)> snapshot_published_;
};

}  // namespace sassafrasbay
