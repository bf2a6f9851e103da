#include <algorithm>

#include "router/upstream_gate.h"

namespace sassafrasbay {
namespace {

/// Shorter times at the gate are those of a request that found a free slot.
constexpr milliseconds kMinObservedWait{5};

}  // namespace

std::string DescribeRank(const ForwardedRequest& request) {
  return " rank=" + std::to_string(request.rank_) + (request.is_call_ ? " call=true" : "") +
         (request.returned_ ? " returned=true" : "");
}

std::string RefusalLabels(const ForwardedRequest& request, std::string_view reason) {
  return "class=\"" + request.class_ + "\",rank=\"" + std::to_string(request.rank_) + "\",call=\"" +
         (request.is_call_ ? "true" : "false") + "\",reason=\"" + std::string(reason) + "\"";
}

// An id may run twice, as its caller may have sent it again. Its calls inherit from the more urgent
// and longer of both.
std::optional<RunningRequest> UpstreamGate::FindRunning(std::string_view request_id) const {
  std::optional<RunningRequest> found;
  for (const auto& [number, open] : open_requests_) {
    if (open.call_ == 0 || open.request_.request_id_ != request_id) {
      continue;
    }
    if (!found) {
      found = RunningRequest{open.request_.rank_, open.deadline_};
      continue;
    }
    found->rank_ = std::min(found->rank_, open.request_.rank_);
    found->deadline_ = std::max(found->deadline_, open.deadline_);
  }
  return found;
}

void UpstreamGate::ObserveWait(const OpenRequest& open) {
  const std::chrono::duration<double, std::milli> waited = open.started_ - open.received_at_;
  if (waited >= kMinObservedWait) {
    shared_.metrics_.Observe("sassafrasbay_gate_wait_ms", "class=\"" + open.request_.class_ + "\"",
                             waited.count());
  }
}

}  // namespace sassafrasbay
