#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "LibRouting/call_lineage.h"
#include "LibRouting/cold_start.h"
#include "LibRouting/crash_suspects.h"
#include "LibRouting/key_load.h"
#include "LibRouting/link_admission.h"
#include "LibRouting/load_estimate.h"
#include "LibRouting/node_messages.h"
#include "LibRouting/slot_queue.h"
#include "LibTransport/reactor_loop.h"
#include "LibTransport/upstream_client.h"
#include "router/router_state.h"

namespace sassafrasbay {

/// Fields of a log line that state a request's place in the order of requests.
std::string DescribeRank(const ForwardedRequest& request);

/// Labels of a metric that counts refusals: class, rank, reason, and whether it is a call.
std::string RefusalLabels(const ForwardedRequest& request, std::string_view reason);

/// Controls all access to the local upstream: admits requests to its slots, orders those that wait,
/// checks the ownership of keys, and cancels requests.
class UpstreamGate {
 public:
  using RequestNumber = std::uint64_t;  ///< Starts at 1; 0 is none.
  using AnswerHandler = std::function<void(ForwardedAnswer)>;

  struct Hooks {
    /// Called when no process listens at the upstream's port.
    std::function<void()> on_port_closed_ = [] {};
    std::function<void(const Suspect&)> on_suspect_;  ///< For broadcast to other nodes.
    /// Called when a response announces that the upstream leaves.
    std::function<void(const Holder&)> on_leaving_ = [](const Holder&) {};
    /// Bytes of responses that wait for the link.
    std::function<std::size_t()> pending_bulk_bytes_ = [] { return std::size_t{0}; };
    /// Bytes of messages that wait for the link or for other nodes.
    std::function<std::size_t()> pending_bytes_ = [] { return std::size_t{0}; };
  };

  UpstreamGate(ReactorLoop& loop, RouterShared& shared);
  UpstreamGate(const UpstreamGate&) = delete;
  UpstreamGate& operator=(const UpstreamGate&) = delete;

  void SetHooks(Hooks hooks) { hooks_ = std::move(hooks); }
  void SetUpstream(const std::shared_ptr<const UpstreamState>& upstream);

  /// Sends the request to the upstream, now or when a slot is free, or refuses it. `handler` is
  /// called once, possibly before Submit returns, unless the request is cancelled.
  RequestNumber Submit(ForwardedRequest request, AnswerHandler handler);

  /// Cancels a request whose caller has disconnected or whose deadline has passed; a running one is
  /// aborted at the upstream. Returns false only when it was never sent there.
  bool Cancel(RequestNumber number);

  /// The request with this id that the upstream is running; nothing if it runs none.
  std::optional<RunningRequest> FindRunning(std::string_view request_id) const;

  void OnSuspect(const Suspect& suspect);
  bool IsRefused(std::uint64_t fingerprint) const;

  /// Sets the time at which the process ends. Requests that are expected to take longer are refused
  /// from now on.
  void SetShutdownDeadline(BootTime end) { shutdown_deadline_ = end; }

  /// Refuses new and waiting requests from now on; running ones continue.
  void StopAdmitting();

  GateLoad Load() const;

  /// Service times by class, reported to the nodes that choose among upstreams.
  std::vector<ServiceTime> ServiceTimes() const;
  /// Service time of the class in milliseconds; 0 when unknown.
  double ServiceTimeMs(std::string_view request_class) const;
  /// Smoothed ratio of the requests that the upstream didn't reject as not run.
  double AcceptedRatioNow() const;
  /// Decayed demand on the keys in the last seconds; nothing before the first upstream.
  std::optional<DemandReport> Demand();
  bool IsIdle() const { return open_requests_.empty(); }

 private:
  struct OpenRequest {
    ForwardedRequest request_;
    AnswerHandler handler_;
    BootTime received_at_{};
    BootTime deadline_{};
    BootTime started_{};
    UpstreamClient::CallId call_ = 0;  ///< 0 while waiting for a slot.
  };

  /// Service time of the class by its samples; 0 without any.
  double SampledServiceMs(std::string_view request_class, BootTime now) const;
  RefusalReason CheckAdmission(const ForwardedRequest& request) const;
  bool IsGranted(ShardKey key) const;
  /// Whether the link of this VM can carry the response in time.
  bool FitsLink(const ForwardedRequest& request) const;
  /// Bytes of bulk responses that are expected or wait for the link.
  double CommittedLinkBytes() const;
  bool OutlastsShutdown(const ForwardedRequest& request) const;
  bool IsUsable() const;
  void SendToUpstream(RequestNumber number);
  void OnResult(RequestNumber number, UpstreamResult result);
  /// Records the load that the response states. `accepted` is false if it rejects the request.
  void RecordLoad(const HttpResponse& response, bool accepted);
  void OnUpstreamLost(const OpenRequest& open, const UpstreamResult& result);
  void OnConnectionRefused(const OpenRequest& open);
  void Refuse(RequestNumber number, RefusalReason reason, milliseconds retry_after);
  void Answer(const OpenRequest& open, ForwardedAnswer answer);
  /// Records the wait of a request that starts now, if it has waited.
  void ObserveWait(const OpenRequest& open);
  void AdmitWaiting();
  /// Refuses all waiting requests as having no upstream.
  void RefuseWaiting();
  /// Starts timers for the next token of the rate limit when requests wait for it, and for the next
  /// request that becomes overdue.
  void ScheduleAdmission();
  void ScheduleRefusal();
  /// Sets the limits on the rate of requests that apply now: the one that the upstream names and,
  /// while it is cold, that of the configuration.
  void ApplyRateLimits();
  void LogRateLimits(std::optional<double> previous, bool was_cold) const;
  void ConfirmCrash(std::string_view evidence);

  ReactorLoop& loop_;
  RouterShared& shared_;
  Hooks hooks_;
  UpstreamClient client_;
  std::shared_ptr<const UpstreamState> upstream_;
  SlotQueue queue_;
  ColdStart cold_start_;
  std::optional<double> named_rate_;  ///< Named in the upstream's latest response.
  LinkLoad link_;
  KeyLoad key_load_;
  std::map<std::string, BootTime, std::less<>> last_sampled_;  ///< Newest sample of each class.
  ArrivalRate arrivals_;                                       ///< Requests sent to the upstream.
  AcceptedRatio accepted_;    ///< Of these, those that it didn't reject.
  SlownessWindow slowness_;   ///< As the upstream states it.
  double success_ratio_ = 1;  ///< Smoothed ratio of served to sent requests.
  std::unordered_map<RequestNumber, OpenRequest> open_requests_;
  CrashSuspects suspects_;
  /// Fingerprints of requests whose connections broke, with the time, until a crash is confirmed as
  /// the cause.
  std::vector<std::pair<std::uint64_t, BootTime>> broken_requests_;
  BootTime refused_until_{};  ///< Backoff after a refused connection.
  RequestNumber last_request_number_ = 0;
  ReactorLoop::TimerId admission_timer_ = 0;
  ReactorLoop::TimerId refusal_timer_ = 0;
  BootTime refusal_at_{};  ///< When that timer runs.
  bool stopped_admitting_ = false;
  std::optional<BootTime> shutdown_deadline_;  ///< Set once the process is shutting down.
};

}  // namespace sassafrasbay
