#include "control_loop.h"

#include <utility>

#include "LibControl/record_codec.h"
#include "LibCore/logging.h"

namespace sassafrasbay {
namespace {

/// Enough for one long poll, the appends in progress and one spare connection.
constexpr int kLogConnections = 8;

constexpr milliseconds kSnapshotRequestInterval{1000};

}  // namespace

ControlLoop::ControlLoop(SharedState& shared, const Charts& charts)
    : shared_(shared),
      client_(loop_, kLogConnections),
      log_(client_, shared_.settings_.log_url_),
      follower_(loop_, shared_, log_),
      writer_(loop_, shared_, log_),
      peers_(loop_, shared_),
      session_(loop_, shared_, charts.node_lifecycle_, follower_, writer_, peers_),
      checkpoints_(loop_, shared_, follower_, writer_, session_),
      planner_(loop_, shared_, follower_, writer_, peers_, session_) {}

Result<void> ControlLoop::Open(TrafficCalls traffic, std::function<void()> drained) {
  traffic_ = std::move(traffic);
  SASSAFRASBAY_TRY(peers_.Listen([this](ConnectionId connection, const ControlMessage& message) {
    OnMessage(connection, message);
  }));
  follower_.SetHooks({[this](Offset offset, const Record& record, const ApplyResult& result) {
                        writer_.OnApplied(offset, record, result);
                        checkpoints_.OnApplied(record);
                      },
                      [this] {
                        session_.OnStateChanged();
                        PublishSnapshot();
                      },
                      [this] { writer_.OnLogAvailable(); }});
  session_.SetHooks(
      {[this] { PublishSnapshot(); }, [this] { traffic_.stop_owning_(); },
       [this, drained = std::move(drained)] { traffic_.drain_connections_(drained); }});
  follower_.Start();
  session_.Start();
  checkpoints_.Start();
  planner_.Start();
  loop_.StartRepeatingTimer(kSnapshotRequestInterval, [this] { RequestSnapshot(); });
  return boost::outcome_v2::success();
}

ControlCalls ControlLoop::Calls() {
  ControlCalls calls;
  calls.upstream_announced_ = [this](const UpstreamAnnouncement& announcement) {
    loop_.Post([this, announcement] { session_.OnAnnouncement(announcement); });
  };
  calls.upstream_withdrawn_ = [this] { loop_.Post([this] { session_.OnUpstreamWithdrawn(); }); };
  calls.drain_requested_ = [this](bool exit) {
    loop_.Post([this, exit] { session_.RequestDrain(exit); });
  };
  calls.moves_completed_ = [this](std::vector<CompletedMove> moves) {
    loop_.Post([this, moves = std::move(moves)] {
      writer_.Write(MovesCompleted{session_.ActiveSession(), moves},
                    LogWriter::RetryPolicy::kUntilApplied,
                    [](Offset, const ApplyResult&, BootTime) {});
    });
  };
  calls.load_measured_ = [this](std::vector<std::pair<UnitId, double>> units,
                                std::vector<std::pair<std::uint64_t, double>> hot_keys) {
    loop_.Post([this, units = std::move(units), hot_keys = std::move(hot_keys)] {
      LoadReport report;
      report.units_ = units;
      report.hot_keys_ = hot_keys;
      for (const auto& [unit, rate] : units) {
        report.total_ += rate;
      }
      planner_.OnLoadMeasured(std::move(report));
    });
  };
  return calls;
}

void ControlLoop::OnMessage(ConnectionId connection, const ControlMessage& message) {
  if (const auto* heartbeat = std::get_if<Heartbeat>(&message)) {
    session_.OnHeartbeat(connection, *heartbeat);
  } else if (const auto* ack = std::get_if<HeartbeatAck>(&message)) {
    session_.OnHeartbeatAck(*ack);
  } else if (const auto* report = std::get_if<LoadReport>(&message)) {
    planner_.OnLoadReport(*report);
  } else if (std::holds_alternative<SnapshotRequest>(message)) {
    if (follower_.State().next_offset_ > 0) {
      peers_.Reply(connection, SnapshotReply{EncodeState(follower_.State())});
    }
  } else if (const auto* reply = std::get_if<SnapshotReply>(&message)) {
    auto state = DecodeState(reply->state_);
    if (!state) {
      LogWarning("log", "Ignored a snapshot from a peer, as it can't be decoded: " +
                            ToString(state.error()) + ".");
    } else if (!follower_.IsCaughtUp()) {
      follower_.AdoptSnapshot(std::move(state.value()));
    }
  }
}

void ControlLoop::PublishSnapshot() {
  auto snapshot = std::make_shared<RoutingSnapshot>();
  snapshot->version_ = ++snapshot_version_;
  snapshot->state_ = std::make_shared<const ControlState>(follower_.State());
  snapshot->own_session_ = session_.ActiveSession();
  snapshot->lease_ = session_.Lease();
  traffic_.snapshot_published_(std::move(snapshot));
}

void ControlLoop::RequestSnapshot() {
  // Only a node without any control state requests a snapshot. A node with an older state keeps it
  // until the log is available again.
  if (follower_.IsCaughtUp() || follower_.State().next_offset_ > 0) {
    return;
  }
  for (const Endpoint& seed : shared_.settings_.seeds_) {
    peers_.Send(ToString(seed), SnapshotRequest{});
  }
}

}  // namespace sassafrasbay
