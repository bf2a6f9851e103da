#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "LibRouting/node_messages.h"
#include "LibRouting/retry.h"
#include "LibRouting/send_throttle.h"
#include "LibRouting/upstream_choice.h"
#include "LibTransport/http_server.h"
#include "LibTransport/reactor_loop.h"
#include "router/peer_links.h"
#include "router/router_state.h"
#include "router/upstream_gate.h"

namespace sassafrasbay {

/// Gates that may refuse a request before its caller is told to come back. Each costs a hop.
inline constexpr int kMaxRefusals = 3;

/// Time named to a caller whose key has no reachable owner.
inline constexpr milliseconds kDefaultRetryAfter{300};

/// Takes callers' requests, finds an upstream for each, and answers them once.
class RequestRouter {
 public:
  RequestRouter(ReactorLoop& loop, RouterShared& shared, PeerLinks& links, UpstreamGate& gate);
  RequestRouter(const RequestRouter&) = delete;
  RequestRouter& operator=(const RequestRouter&) = delete;

  void SetSnapshot(const std::shared_ptr<const RouterSnapshot>& snapshot);
  void SetReport(const ReceivedReport& received_report);
  /// The service that callers on this VM belong to.
  void SetCallerService(std::string service) { caller_service_ = std::move(service); }
  /// The process ends at `end`. Answers close their connections from now on.
  void SetShutdownDeadline(BootTime end) { shutdown_deadline_ = end; }
  /// Refuses requests that may last beyond the end.
  void RefuseLongRequests() { refuses_long_requests_ = true; }

  void Handle(const std::shared_ptr<HttpExchange>& exchange);
  void OnAnswer(ConnectionId connection, ForwardedAnswer answer);
  void OnLinkLost(const std::string& address, ConnectionId connection);

  bool IsIdle() const { return pending_.empty(); }

 private:
  enum class Location : std::uint8_t { kUnassigned, kLocalGate, kPeer };

  struct Pending {
    std::shared_ptr<HttpExchange> exchange_;
    std::shared_ptr<const RouteTable> routes_;  ///< Keeps `route_` alive.
    const Route* route_ = nullptr;
    std::string service_;
    bool sharded_ = false;
    ForwardedRequest request_;
    BootTime received_at_{};
    BootTime objective_{};
    BootTime deadline_{};
    int sent_ = 0;      ///< Times that an upstream was reached, or may have been.
    int refusals_ = 0;  ///< Times that a gate refused it.
    bool may_have_run_ = false;
    std::optional<HttpResponse> failure_;  ///< Of an earlier attempt, as the upstream gave it.
    std::set<std::string> tried_;
    milliseconds retry_after_{0};  ///< Shortest wait that a gate named.
    RefusalReason last_refusal_ = RefusalReason::kNone;
    Location location_ = Location::kUnassigned;
    std::string node_;  ///< Where it is now.
    ConnectionId connection_ = 0;
    UpstreamGate::RequestNumber gate_number_ = 0;
    ReactorLoop::TimerId deadline_timer_ = 0;
    ReactorLoop::TimerId retry_timer_ = 0;
  };

  /// What this node knows of the upstream beside another node.
  struct PeerState {
    ReceivedReport latest_report_;
    GateLoad load_;
    int open_requests_ = 0;          ///< Own requests there.
    int open_requests_at_load_ = 0;  ///< Of these, those that the load may count.
    double failure_ratio_ = 0;       ///< Smoothed share of failed and rejected requests.
    SendThrottle throttle_;          ///< Of requests that no other node could take.
  };

  Result<Pending> Accept(const std::shared_ptr<HttpExchange>& exchange, HttpResponse& refusal);
  void Dispatch(std::uint64_t number);
  std::string FindOwnerNode(const Pending& pending) const;
  std::vector<UpstreamOption> FindCandidates(const Pending& pending) const;
  bool IsAlive(const std::string& node) const;
  bool IsShuttingDown(const std::string& node) const;
  void SendTo(std::uint64_t number, const std::string& node);
  void HandleAnswer(std::uint64_t number, ForwardedAnswer answer);
  void OnRefused(std::uint64_t number, const ForwardedAnswer& answer);
  /// Retries that this node may still make for a service.
  RetryBudget& RetryBudgetFor(const std::string& service);
  bool MayRetry(Pending& pending, bool reached_upstream);
  void Retry(std::uint64_t number, milliseconds delay);
  void OnDeadline(std::uint64_t number);
  void OnAbandoned(std::uint64_t number);
  void CancelAttempt(std::uint64_t number, Pending& pending);
  void RecordAttemptEnd(Pending& pending, bool failed);
  void Refuse(std::uint64_t number, std::string_view reason);
  void LogOutcome(const Pending& pending, int status, std::string_view outcome,
                  double took_ms) const;
  void Finish(std::uint64_t number, HttpResponse response, std::string_view outcome);
  double RandomFraction();

  ReactorLoop& loop_;
  RouterShared& shared_;
  PeerLinks& links_;
  UpstreamGate& gate_;
  std::shared_ptr<const RouterSnapshot> snapshot_;
  std::map<std::string, PeerState> peers_;  ///< By peer address.
  std::unordered_map<std::uint64_t, Pending> pending_;
  std::map<std::string, RetryBudget> budgets_;  ///< By service.
  std::uint64_t last_request_number_ = 0;
  std::mt19937_64 random_;
  std::string caller_service_;
  std::optional<BootTime> shutdown_deadline_;  ///< Of the process, once it is known.
  bool refuses_long_requests_ = false;
};

}  // namespace sassafrasbay
