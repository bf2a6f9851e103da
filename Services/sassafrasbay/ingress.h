#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

#include "LibCore/state_chart.h"
#include "LibRouting/messages.h"
#include "LibRouting/routing_snapshot.h"
#include "LibTransport/http_server.h"
#include "owner.h"
#include "traffic_peers.h"

namespace sassafrasbay {

/// The caller's side of a request: classifies the request, routes it to the owner of its key, keeps
/// it while the key has no owner, and gives the caller one answer.
class Ingress {
 public:
  Ingress(ReactorLoop& loop, SharedState& shared, const StateChart& chart, Owner& owner,
          TrafficPeers& peers);
  Ingress(const Ingress&) = delete;
  Ingress& operator=(const Ingress&) = delete;

  void SetSnapshot(std::shared_ptr<const RoutingSnapshot> snapshot);
  void Handle(const std::shared_ptr<HttpExchange>& exchange);
  bool IsIdle() const { return pending_.empty(); }

 private:
  struct PendingRequest {
    std::shared_ptr<HttpExchange> exchange_;
    ChartPosition position_;
    Forward forward_;
    RequestKind kind_ = RequestKind::kIdempotent;
    BootTime received_at_{};
    BootTime deadline_{};
    std::uint64_t peer_request_number_ = 0;   ///< Open request to a peer; 0 for none.
    std::uint64_t owner_request_number_ = 0;  ///< Open request at the own Owner; 0 for none.
    SessionId target_session_;                ///< Session to which the latest attempt was sent.
    SessionId last_owner_;                    ///< Owner of the unit at the latest attempt.
    Offset last_token_ = 0;                   ///< Token of the unit at the latest attempt.
    int reroute_count_ = 0;
    /// An earlier attempt ended without a definite answer, so the request may have run.
    bool may_have_run_ = false;
    bool waiting_ = false;     ///< Waits for a new snapshot or for the next attempt.
    bool has_waited_ = false;  ///< The request has waited at least once.
  };

  void Route(std::uint64_t number);
  void SendTo(std::uint64_t number, const Session& owner, Offset token, std::string_view reason);
  void OnAnswer(std::uint64_t number, RoutedAnswer answer);
  void OnPeerReply(std::uint64_t number, Result<TrafficMessage> reply);
  bool OwnerChanged(const PendingRequest& pending) const;
  /// Ends the attempt at a session that has ended and routes the request again.
  void RerouteAfterSessionEnd(std::uint64_t number);
  void WaitAndRoute(std::uint64_t number, std::string_view reason);
  void Respond(std::uint64_t number, RoutedAnswer answer);
  void Abandon(std::uint64_t number);
  /// Answers requests whose deadline has passed and counts the unavailable time of units.
  void Sweep();
  /// Adds the time since the last call to the unavailable time of each unit for which a pending
  /// request has had to wait.
  void CountUnavailableTime(BootTime now);
  void Advance(PendingRequest& pending, std::string_view event);

  ReactorLoop& loop_;
  SharedState& shared_;
  const StateChart& chart_;
  Owner& owner_;
  TrafficPeers& peers_;
  std::shared_ptr<const RoutingSnapshot> snapshot_;
  std::map<std::uint64_t, PendingRequest> pending_;
  std::uint64_t next_number_ = 1;
  std::string node_prefix_;  ///< Makes request ids unique across nodes and restarts.
  std::mt19937_64 random_;
  BootTime last_sweep_;
};

/// Sends the answer to the caller with the header Sassafrasbay-Outcome.
void RespondWith(HttpExchange& exchange, RoutedAnswer answer);

}  // namespace sassafrasbay
