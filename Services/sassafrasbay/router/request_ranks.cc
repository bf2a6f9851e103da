#include <algorithm>
#include <vector>

#include "LibRouting/rank_refusal.h"
#include "LibRouting/retry_after.h"
#include "platform/request_translation.h"
#include "router/request_router.h"

namespace sassafrasbay {

// The node where a call begins is the one beside the upstream that makes it, so that its own gate
// knows the request that the call is made for.
void RequestRouter::InheritFromCaller(Pending& pending) const {
  const std::string_view parent = platform::ParentRequestId(pending.request_.request_id_);
  if (parent.empty()) {
    return;
  }
  const std::optional<RunningRequest> caller = gate_.FindRunning(parent);
  if (!caller) {
    return;
  }
  const RequestTerms terms =
      InheritTerms({pending.request_.rank_, pending.objective_, pending.deadline_}, *caller);
  pending.request_.is_call_ = true;
  pending.request_.rank_ = terms.rank_;
  pending.objective_ = terms.objective_;
  pending.deadline_ = terms.deadline_;
}

const GateLoad& RequestRouter::LoadOf(std::string_view node, const GateLoad& own) const {
  const auto peer = peers_.find(node);
  return peer == peers_.end() ? own : peer->second.load_;
}

// Candidates that don't admit the rank are left out while there are others, except for a probe.
bool RequestRouter::ApplyRanks(Pending& pending, std::vector<UpstreamCandidate>& candidates) {
  const GateLoad own = gate_.Load();
  std::vector<GateLoad> loads;
  loads.reserve(candidates.size());
  for (const UpstreamCandidate& candidate : candidates) {
    loads.push_back(LoadOf(candidate.node_, own));
  }
  const double sample = RandomFraction();
  const RankDecision decision = DecideByRank(pending.request_, loads, sample);
  pending.request_.sampling_weight_ = decision == RankDecision::kProbe ? kRequestsPerRankProbe : 1;
  if (decision == RankDecision::kRefuse) {
    ProposeRetryAfter(pending, candidates);
    return false;
  }
  if (decision == RankDecision::kSend && sample >= 1 / kRequestsPerRankProbe) {
    std::erase_if(candidates, [&](const UpstreamCandidate& candidate) {
      return !AdmitsRank(LoadOf(candidate.node_, own), pending.request_);
    });
  }
  return true;
}

bool RequestRouter::ApplyRanks(Pending& pending, const std::string& owner) {
  std::vector<UpstreamCandidate> candidates(1);
  candidates.front().node_ = owner;
  return ApplyRanks(pending, candidates);
}

// No gate was asked, so the time is that of the last refusal by one of them.
void RequestRouter::ProposeRetryAfter(Pending& pending,
                                      std::span<const UpstreamCandidate> candidates) const {
  for (const UpstreamCandidate& candidate : candidates) {
    const auto peer = peers_.find(candidate.node_);
    const milliseconds wait = peer == peers_.end() ? milliseconds(0) : peer->second.refusal_wait_;
    if (wait.count() > 0 && (pending.retry_after_.count() == 0 || wait < pending.retry_after_)) {
      pending.retry_after_ = wait;
    }
  }
}

// Where all routes have the same rank, callers are told the expected wait, as before ranks were
// considered.
void RequestRouter::SetRetryAfter(Pending& pending) {
  const milliseconds proposed =
      pending.retry_after_.count() > 0 ? pending.retry_after_ : kDefaultRetryAfter;
  pending.retry_after_ = std::max(proposed, kMinRetryAfter);
  if (!pending.routes_->has_ranks_) {
    return;
  }
  const BootTime now = BootClock::now();
  const auto left = std::chrono::duration_cast<milliseconds>(pending.deadline_ - now);
  pending.retry_after_ = SpreadRetryAfter(proposed, left, RandomFraction());
  RecordRefused(refused_callers_, pending.request_.fingerprint_, now, pending.retry_after_);
}

}  // namespace sassafrasbay
