#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "LibConfiguration/node_settings.h"
#include "LibControl/records.h"
#include "LibCore/clock.h"
#include "LibCore/metrics.h"
#include "LibRouting/routing_snapshot.h"

namespace sassafrasbay {

/// The properties that an upstream sends to its node when it announces itself.
struct UpstreamAnnouncement {
  std::string service_;
  std::string address_;  ///< Numeric host and port, such as "127.0.0.1:8080".
  bool checks_grants_ = false;
  bool draining_ = false;
  std::uint32_t slots_ = 20;
  std::uint32_t connections_ = 130;
};

/// Counters labelled by service. The `status` command shows them too.
inline constexpr std::string_view kOwnershipMovesMetric = "sassafrasbay_ownership_moves_total";
inline constexpr std::string_view kUnavailableUnitTimeMetric =
    "sassafrasbay_unavailable_unit_ms_total";

/// State that the control thread and the traffic thread of a node share.
struct SharedState {
  NodeSettings settings_;
  Metrics metrics_;
};

/// The lease of the session in the traffic thread's current snapshot. It is read immediately before
/// each request is sent to the upstream. Each session has its own cell: with one cell for the whole
/// process, a unit of an ended session could be served under the lease of the next session until
/// the traffic thread receives the snapshot without the ended session.
struct LeaseView {
  std::shared_ptr<const LeaseCell> cell_;
};

BootTime LeaseEnd(const LeaseView& view);

/// Calls from the traffic thread to the control thread; each posts a task to the control thread.
struct ControlCalls {
  std::function<void(const UpstreamAnnouncement&)> upstream_announced_;
  /// The upstream was lost, and no request that was sent to it is still open or unexpired.
  std::function<void()> upstream_withdrawn_;
  std::function<void(std::vector<CompletedMove>)> moves_completed_;
  /// Requests a drain; with `exit` the process ends afterwards.
  std::function<void(bool exit)> drain_requested_;
  std::function<void(std::vector<std::pair<UnitId, double>> units,
                     std::vector<std::pair<std::uint64_t, double>> hot_keys)>
      load_measured_;
};

/// Calls from the control thread to the traffic thread; each posts a task to the traffic thread.
struct TrafficCalls {
  std::function<void(std::shared_ptr<const RoutingSnapshot>)> snapshot_published_;
  /// Stops admitting requests for the node's own upstream.
  std::function<void()> stop_owning_;
  /// Stops accepting connections of callers, finishes open requests, then runs `done` on the
  /// traffic thread.
  std::function<void(std::function<void()> done)> drain_connections_;
};

}  // namespace sassafrasbay
