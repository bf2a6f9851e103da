#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "LibRouting/admission.h"
#include "LibRouting/classify.h"
#include "LibRouting/crash_suspects.h"
#include "LibRouting/messages.h"
#include "LibRouting/request_table.h"
#include "LibRouting/retry.h"
#include "load_meter.h"
#include "owned_units.h"
#include "upstream_link.h"

namespace sassafrasbay {

/// Status of a not-run answer which says that this node can't run the request, usually because
/// another node owns the unit. The ingress routes the request again.
inline constexpr int kMisdirectedStatus = 421;

using AnswerHandler = std::function<void(RoutedAnswer)>;

/// The owner's side of a request: checks ownership, the request table and admission, and sends the
/// request to the upstream.
class Owner {
 public:
  Owner(ReactorLoop& loop, SharedState& shared, const LeaseView& lease, UpstreamLink& link,
        OwnedUnits& units, RequestCopies& copies, RequestTable& table, TrafficPeers& peers);
  Owner(const Owner&) = delete;
  Owner& operator=(const Owner&) = delete;

  void SetControlCalls(ControlCalls calls) { control_ = std::move(calls); }
  void SetSnapshot(std::shared_ptr<const RoutingSnapshot> snapshot);

  /// Handles a request and returns its number. `reply` runs exactly once, possibly before Handle
  /// returns, unless the request is cancelled.
  std::uint64_t Handle(Forward forward, AnswerHandler reply);

  /// Cancels a request whose caller disconnected or whose attempt the ingress gave up. A binding
  /// request that may have reached the upstream continues, so that its outcome is known when the
  /// request is repeated with the same id.
  void Cancel(std::uint64_t number);

  void OnSuspect(const Suspect& suspect);
  void OnUpstreamStarted();
  void OnUpstreamLost();

  /// Refuses new requests and those that wait for their unit to start; finishes all others.
  void StopOwning();

  void OnUnitServing(const UnitId& unit);
  void OnUnitUnavailable(const UnitId& unit);

  /// Whether a request is running whose key belongs to the unit now, but belonged to another unit
  /// when the request was accepted.
  bool HasRunningRequests(const UnitId& unit) const;

  bool IsIdle() const { return active_requests_.empty(); }
  const Admission& CurrentAdmission() const { return admission_; }
  const LoadMeter& Load() const { return load_; }

 private:
  enum class Stage {
    kAwaitingUnit,  ///< Waits until the unit is serving.
    kQueued,        ///< Waits for a slot of the upstream.
    kCopyingId,     ///< Waits until a grantor has confirmed the copy of the request id.
    kAtUpstream,
    kRetryDelay,
    /// Waits for the copy of the outcome, or for the outcome of another request with the same id.
    kAwaitingOutcome
  };

  struct ActiveRequest {
    Forward forward_;
    AnswerHandler reply_;
    RequestKind kind_ = RequestKind::kIdempotent;
    int worth_ = 1;
    std::uint64_t fingerprint_ = 0;
    BootTime deadline_{};
    Stage stage_ = Stage::kAwaitingUnit;
    bool pinned_ = false;       ///< The unit is pinned; released by Deliver().
    std::uint64_t tenure_ = 0;  ///< Tenure of the unit that the pin belongs to.
    Offset token_ = 0;          ///< Token sent to the upstream with the latest attempt.
    bool admitted_ = false;
    bool in_table_ = false;  ///< The table has an entry that this request must finish.
    bool recorded_ = false;  ///< The outcome is recorded in the table.
    int attempts_ = 0;       ///< Attempts at the upstream.
    BootTime sent_at_{};
    BootTime expiry_{};                       ///< Lease expiry sent with the latest attempt.
    std::shared_ptr<const LeaseCell> lease_;  ///< Lease under which the request was accepted.
    BootTime unanswered_until_{};             ///< Latest expiry of the attempts that got no answer.
    HttpClient::CallId call_ = 0;
  };

  UnitId CurrentUnit(const ActiveRequest& active) const;
  static TableEntry OutcomeEntry(const ActiveRequest& active, const UnitId& unit,
                                 const RoutedAnswer& answer);

  using TableKey = std::pair<UnitId, std::string>;

  void Start(std::uint64_t number);
  bool AdmitToTable(std::uint64_t number, ActiveRequest& active);
  void Admit(std::uint64_t number);
  void Prepare(std::uint64_t number);
  void SendToUpstream(std::uint64_t number);
  HttpRequest UpstreamRequest(const ActiveRequest& active, BootTime expiry, BootTime now) const;
  void OnResult(std::uint64_t number, const HttpResult& result);
  void OnLostAnswer(std::uint64_t number, const Error& error, bool maybe_sent);
  void RetryOrFail(std::uint64_t number, const Error& error);
  void CheckForCrash(std::uint64_t number, const Error& error);
  void RecordSuspects(std::span<const std::pair<std::uint64_t, Error>> candidates);
  void EndCall(ActiveRequest& active, ServiceResult result, bool answered);
  void Complete(std::uint64_t number, const RoutedAnswer& answer);
  void Record(std::uint64_t number, const RoutedAnswer& answer);
  void Replay(std::uint64_t number, const RoutedAnswer& answer);
  void CopyOutcome(std::uint64_t number, const RoutedAnswer& answer);
  void FinishInTable(ActiveRequest& active, const RoutedAnswer& answer);
  void Deliver(std::uint64_t number, const RoutedAnswer& answer);
  void Refuse(std::uint64_t number, int status, std::string_view reason);
  void StartQueued();
  void Sweep();
  void TryWithdraw();
  void MeasureLoad();
  RequestTableTerms TableTerms() const;

  ReactorLoop& loop_;
  SharedState& shared_;
  const LeaseView& lease_;
  UpstreamLink& link_;
  OwnedUnits& units_;
  RequestCopies& copies_;
  RequestTable& table_;
  TrafficPeers& peers_;
  ControlCalls control_;
  std::shared_ptr<const RoutingSnapshot> snapshot_;
  Admission admission_;
  RetryBudget retries_;
  CrashSuspects suspects_;
  LoadMeter load_;
  std::mt19937_64 random_;
  std::map<std::uint64_t, ActiveRequest> active_requests_;
  std::map<TableKey, std::vector<AnswerHandler>> waiters_;
  std::vector<std::pair<std::uint64_t, Error>> crash_candidates_;
  bool stopped_ = false;
  bool withdrawing_ = false;
  BootTime unanswered_until_{};  ///< Latest expiry of all attempts that got no answer.
  std::uint64_t next_number_ = 1;
};

/// Logs a decision on a request: "Request ID of unit SERVICE/UNIT <what>."
void LogRequest(const Forward& forward, std::string_view what);

/// Answer to a request that has certainly not run.
RoutedAnswer NotRun(int status, std::string_view reason);
/// Answer to a request that may have run.
RoutedAnswer Unknown(std::string_view reason);

}  // namespace sassafrasbay
