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

/// What an upstream says of itself when it announces itself at its node.
struct UpstreamAnnouncement {
  std::string service_;
  std::string address_;  ///< "127.0.0.1:8080".
  bool checks_grants_ = false;
  bool draining_ = false;
  std::uint32_t slots_ = 20;
  std::uint32_t connections_ = 130;
};

/// Counters by service that status shows too.
inline constexpr std::string_view kMovesMetric = "sassafrasbay_ownership_moves_total";
inline constexpr std::string_view kUnavailableMetric = "sassafrasbay_unavailable_unit_ms_total";

/// State that both threads of a node use.
struct SharedState {
  NodeSettings settings_;
  Metrics metrics_;
};

/// The lease of the session whose snapshot the traffic thread has, read right before each hand-over
/// to the upstream. Each session has a cell of its own: with one for the whole process, a unit of
/// an ended session could be served under the lease of the next session until the traffic thread
/// has taken the snapshot that says so.
struct LeaseView {
  std::shared_ptr<const LeaseCell> cell_;
};

BootTime LeaseEnd(const LeaseView& view);

/// Calls from traffic to control; each posts to the control thread.
struct ControlCalls {
  std::function<void(const UpstreamAnnouncement&)> upstream_announced_;
  /// The upstream was lost and nothing handed over to it is open or unexpired any more.
  std::function<void()> upstream_withdrawn_;
  std::function<void(std::vector<CompletedMove>)> moves_taken_over_;
  /// Asks for a drain; `exit` ends the process afterwards.
  std::function<void(bool exit)> drain_requested_;
  std::function<void(std::vector<std::pair<UnitId, double>> units,
                     std::vector<std::pair<std::uint64_t, double>> hot_keys)>
      load_measured_;
};

/// Calls from control to traffic; each posts to the traffic thread.
struct TrafficCalls {
  std::function<void(std::shared_ptr<const RoutingSnapshot>)> snapshot_published_;
  /// Takes no further work for the own upstream.
  std::function<void()> stop_owning_;
  /// Stops accepting callers, finishes open requests, then runs `done` on the traffic thread.
  std::function<void(std::function<void()> done)> finish_;
};

}  // namespace sassafrasbay
