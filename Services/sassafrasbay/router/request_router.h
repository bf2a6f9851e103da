#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "LibOwnership/leaving_upstreams.h"
#include "LibRouting/node_messages.h"
#include "LibRouting/refused_callers.h"
#include "LibRouting/retry.h"
#include "LibRouting/send_throttle.h"
#include "LibRouting/upstream_choice.h"
#include "LibTransport/http_server.h"
#include "LibTransport/reactor_loop.h"
#include "router/peer_links.h"
#include "router/router_state.h"
#include "router/upstream_gate.h"

namespace sassafrasbay {

/// Maximum number of gates that may refuse a request before its caller gets a refusal. Each costs a
/// network hop.
inline constexpr int kMaxRefusals = 3;

/// Retry-After when no gate has proposed one, for example because the key has no reachable owner.
inline constexpr milliseconds kDefaultRetryAfter{300};

/// Accepts callers' requests, sends each to an upstream, retries where allowed, and answers exactly
/// once.
class RequestRouter {
 public:
  RequestRouter(ReactorLoop& loop, RouterShared& shared, PeerLinks& links, UpstreamGate& gate);
  RequestRouter(const RequestRouter&) = delete;
  RequestRouter& operator=(const RequestRouter&) = delete;

  void SetSnapshot(const std::shared_ptr<const RouterSnapshot>& snapshot);
  void SetReport(const ReceivedReport& received_report);
  /// Sets the service that callers on this VM belong to.
  void SetCallerService(std::string service) { caller_service_ = std::move(service); }
  /// Sets the time at which open requests are given up because the process ends. From now on,
  /// requests that are expected to take longer are refused.
  void SetShutdownDeadline(BootTime end) { shutdown_deadline_ = end; }
  /// Refuses new requests whose deadline is after the shutdown deadline.
  void RefuseLongRequests() { refuses_long_requests_ = true; }
  /// Gives up all open requests and answers their callers.
  void AnswerOpenRequests();

  void Handle(const std::shared_ptr<HttpExchange>& exchange);
  /// Whether a request may run at the same time as others of its connection: those of an idempotent
  /// route may.
  bool MayOverlap(const HttpRequest& request) const;
  void OnAnswer(ConnectionId connection, ForwardedAnswer answer);
  /// Sends the requests of a lost connection again over a new one, or ends their attempts.
  /// `was_open` is false if nothing was sent on it.
  void OnLinkLost(const std::string& address, ConnectionId connection, bool was_open);

  /// The upstream beside that node if it is known to leave, otherwise null.
  const LeavingUpstreams::Entry* FindLeavingUpstream(std::string_view node) const {
    return FindLeaving(leaving_upstreams_, node);
  }

  /// Requests that were sent to other nodes and have no answer yet.
  AwaitedAnswers AwaitedOn() const;

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
    int sent_ = 0;      ///< Attempts that reached an upstream or may have.
    int refusals_ = 0;  ///< Refusals by gates.
    bool may_have_run_ = false;
    std::optional<HttpResponse> failure_;  ///< Upstream's response to a failed attempt.
    std::set<std::string> tried_nodes_;
    milliseconds retry_after_{0};  ///< Minimum that a gate proposed; 0 if none.
    RefusalReason last_refusal_ = RefusalReason::kNone;
    Location location_ = Location::kUnassigned;
    std::string node_;              ///< Node of the newest attempt.
    std::string node_incarnation_;  ///< Process that the attempt was sent to; empty if not known.
    ConnectionId connection_ = 0;
    BootTime sent_at_{};  ///< When the newest attempt was sent on the connection.
    std::uint64_t attempts_ = 0;
    UpstreamGate::RequestNumber gate_number_ = 0;
    /// Outcome at the local gate once it has answered, which is handled a moment later.
    std::shared_ptr<std::optional<GateOutcome>> gate_outcome_;
    ReactorLoop::TimerId deadline_timer_ = 0;
    ReactorLoop::TimerId retry_timer_ = 0;
  };

  /// Load and failures of the upstream beside another node.
  struct PeerState {
    ReceivedReport latest_report_;
    GateLoad load_;
    BootTime load_received_at_{};
    int open_requests_ = 0;          ///< Requests sent there and not answered.
    int open_requests_at_load_ = 0;  ///< Of these, those that load_ may include.
    double failure_ratio_ = 0;       ///< Smoothed ratio of failed to all requests.
    SendThrottle throttle_;          ///< Limits requests for keys that it owns.
    milliseconds refusal_wait_{0};   ///< Expected wait in its newest refusal for want of room.
  };

  Result<Pending> Accept(const std::shared_ptr<HttpExchange>& exchange, HttpResponse& refusal);
  void Dispatch(std::uint64_t number);
  /// Owner of the request's key, or null.
  const Holder* FindOwner(const Pending& pending) const;
  /// Upstreams that can run the request, valid until the next call or report.
  std::span<const UpstreamCandidate> FindCandidates(const Pending& pending);
  /// The upstream beside that node, or nothing if it can't run the request. The time is now.
  std::optional<UpstreamCandidate> FindCandidate(const std::string& node, const PeerState& peer,
                                                 const Pending& pending, BootTime now) const;
  void CountChoice(const UpstreamCandidate& candidate);
  bool IsAlive(const std::string& node) const;
  bool IsShuttingDown(const std::string& node) const;
  bool IsInEvacuatedDataCentre(const std::string& node) const;
  void SendTo(std::uint64_t number, const std::string& node);
  /// Sends an open attempt over the present connection to its node. Returns false if that fails.
  bool SendToPeer(Pending& pending);
  void HandleAnswer(std::uint64_t number, ForwardedAnswer answer);
  void OnRefused(std::uint64_t number, const ForwardedAnswer& answer);
  /// Budget of this node for retries to `service`.
  RetryBudget& RetryBudgetFor(const std::string& service);
  bool MayRetry(Pending& pending, bool reached_upstream);
  void Retry(std::uint64_t number, milliseconds delay);
  void OnDeadline(std::uint64_t number);
  /// Whether the request may still run at that node's upstream when this process ends.
  bool OutlastsShutdown(const Pending& pending, const std::string& node) const;
  /// Cancels the open attempt and answers 503 if the request is known not to have run,
  /// otherwise 504.
  void GiveUp(std::uint64_t number, std::string_view refusal, std::string_view outcome);
  void OnAbandoned(std::uint64_t number);
  /// Returns false only when the attempt is known not to have reached an upstream.
  bool CancelAttempt(Pending& pending);
  void RecordAttemptEnd(Pending& pending, bool failed);
  void Refuse(std::uint64_t number, std::string_view reason);
  void LogOutcome(const Pending& pending, int status, std::string_view outcome,
                  double took_ms) const;
  void Finish(std::uint64_t number, HttpResponse response, std::string_view outcome);
  /// Gives a call the terms that it inherits from the request that makes it.
  void InheritFromCaller(Pending& pending) const;
  const GateLoad& LoadOf(std::string_view node, const GateLoad& own) const;
  /// Returns false when the request is to be refused because no candidate admits its rank;
  /// otherwise removes those that don't.
  bool ApplyRanks(Pending& pending, std::vector<UpstreamCandidate>& candidates);
  bool ApplyRanks(Pending& pending, const std::string& owner);
  void ProposeRetryAfter(Pending& pending, std::span<const UpstreamCandidate> candidates) const;
  /// Sets the time after which the caller is told to retry.
  void SetRetryAfter(Pending& pending);
  double RandomFraction();
  /// Names an attempt among all of this process.
  static std::uint64_t AttemptNumber(std::uint64_t request, std::uint64_t attempt);
  static std::uint64_t RequestOfAttempt(std::uint64_t attempt_number);

  ReactorLoop& loop_;
  RouterShared& shared_;
  PeerLinks& links_;
  UpstreamGate& gate_;
  std::shared_ptr<const RouterSnapshot> snapshot_;
  std::map<std::string, PeerState, std::less<>> peers_;  ///< By peer address.
  std::unordered_map<std::uint64_t, Pending> pending_;
  std::vector<UpstreamCandidate> candidates_;  ///< Kept to avoid an allocation for each request.
  LeavingUpstreams leaving_upstreams_;
  std::map<std::string, RetryBudget> budgets_;  ///< By service.
  RefusedCallers refused_callers_;
  std::uint64_t last_request_number_ = 0;
  std::mt19937_64 random_;
  std::string caller_service_;
  std::optional<BootTime> shutdown_deadline_;  ///< Set once the process is shutting down.
  bool refuses_long_requests_ = false;
};

}  // namespace sassafrasbay
