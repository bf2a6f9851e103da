#include "LibRouting/admission_history.h"

#include <algorithm>
#include <cmath>

namespace sassafrasbay {
namespace {

/// Time constant of the decay: bursts last 3 to 7 s.
constexpr double kTimeConstantSeconds = 2;

/// Requests of different kinds count as present for this long after the last change of the kind.
constexpr milliseconds kMixedTime{2000};

/// Ratio of admitted to offered requests, relative to the mean, below which a class is starved.
constexpr double kFloorRatio = 0.25;

/// Offered requests below which the ratio of a class says nothing: one request a second.
constexpr double kMinOffered = 2;

/// Classes with fewer offered requests are dropped.
constexpr double kMinCount = 0.01;

/// Maximum part of a rank's admitted requests for those that came back. If they took all of a room
/// that is too small, every request would be refused once and answered late: with urgent requests
/// at 1.5 times the capacity 1,423 of 10,836 were in time without the bound, and 5,094 of 10,841
/// with it. With 0.5 it is 4,594 of 10,829, and in a burst of 1.2 times the room more are refused
/// twice.
constexpr double kMaxReturnedShare = 0.3;

/// Upper bound of the share ahead. The floor keeps some room for all classes.
constexpr double kMaxShareAhead = 0.9;

/// Time for which an admission or a refusal describes the queue.
constexpr milliseconds kRankWindow{1000};

/// Refusals in a row after which a rank counts as not admitted. A single refusal also happens to a
/// class of few requests at an upstream that has room most of the time.
constexpr int kMinRefusals = 3;

AdmissionHistory::Order OrderOf(const AdmissionRequest& request) {
  if (request.is_call_) {
    return {request.rank_, 0};
  }
  return {request.rank_, request.returned_ ? 1 : 2};
}

void DecayCounts(std::map<AdmissionHistory::Order, double>& counts, double factor) {
  for (auto& [order, count] : counts) {
    count *= factor;
  }
}

void Decay(AdmissionHistory& history, BootTime now) {
  const double seconds = std::chrono::duration<double>(now - history.decayed_at_).count();
  const double factor = std::exp(-std::max(0.0, seconds) / kTimeConstantSeconds);
  history.decayed_at_ = now;
  DecayCounts(history.work_ms_, factor);
  DecayCounts(history.starts_, factor);
  for (auto& [name, count] : history.classes_) {
    count.offered_ *= factor;
    count.admitted_ *= factor;
  }
  std::erase_if(history.classes_,
                [](const auto& entry) { return entry.second.offered_ < kMinCount; });
}

bool IsRecent(const std::optional<BootTime>& time, BootTime now) {
  return time && now - *time <= kRankWindow;
}

bool IsBlocked(const AdmissionHistory::RankRecord& record, BootTime now) {
  return record.refused_since_admitted_ >= kMinRefusals && IsRecent(record.refused_at_, now) &&
         !IsRecent(record.admitted_at_, now);
}

double SumBefore(const std::map<AdmissionHistory::Order, double>& counts,
                 const AdmissionHistory::Order& order) {
  double sum = 0;
  for (const auto& [other, count] : counts) {
    sum += other < order ? count : 0;
  }
  return sum;
}

}  // namespace

void CountOffered(AdmissionHistory& history, const AdmissionRequest& request, BootTime now) {
  Decay(history, now);
  const std::pair<int, bool> kind(request.rank_, request.is_call_);
  if (history.last_kind_.value_or(kind) != kind) {
    history.mixed_until_ = now + kMixedTime;
  }
  history.last_kind_ = kind;
  history.classes_[std::string(request.class_)].offered_ += request.weight_;
}

void CountAdmitted(AdmissionHistory& history, const AdmissionRequest& request, BootTime now) {
  Decay(history, now);
  history.classes_[std::string(request.class_)].admitted_ += 1;
  history.work_ms_[OrderOf(request)] += request.service_ms_;
  history.starts_[OrderOf(request)] += 1;
  if (!request.is_call_ && !request.by_floor_) {
    AdmissionHistory::RankRecord& record = history.ranks_[request.rank_];
    record.admitted_at_ = now;
    record.refused_since_admitted_ = 0;
  }
}

void CountRefused(AdmissionHistory& history, const AdmissionRequest& request, BootTime now) {
  if (request.is_call_) {
    return;
  }
  AdmissionHistory::RankRecord& record = history.ranks_[request.rank_];
  record.refused_at_ = now;
  ++record.refused_since_admitted_;
}

bool IsMixed(const AdmissionHistory& history, BootTime now) { return now < history.mixed_until_; }

// The mean is weighted by requests. With the mean of the classes' ratios, a class that offers ten
// times the capacity would take more than half of it from the others.
bool IsStarved(const AdmissionHistory& history, std::string_view request_class, BootTime now) {
  const auto found = history.classes_.find(request_class);
  if (!IsMixed(history, now) || found == history.classes_.end() ||
      found->second.offered_ < kMinOffered) {
    return false;
  }
  double offered = 0;
  double admitted = 0;
  for (const auto& [name, count] : history.classes_) {
    offered += count.offered_;
    admitted += count.admitted_;
  }
  return found->second.admitted_ / found->second.offered_ < kFloorRatio * admitted / offered;
}

bool MayGoBeforeNew(const AdmissionHistory& history, int rank, BootTime now) {
  const auto starts = [&](int order) {
    const auto found = history.starts_.find({rank, order});
    return found == history.starts_.end() ? 0 : found->second;
  };
  return IsMixed(history, now) && starts(1) <= kMaxReturnedShare * (starts(1) + starts(2));
}

double ShareAhead(const AdmissionHistory& history, const AdmissionRequest& request, double slots,
                  std::optional<double> rate) {
  const AdmissionHistory::Order order = OrderOf(request);
  double share =
      SumBefore(history.work_ms_, order) / (kTimeConstantSeconds * 1000 * std::max(slots, 1.0));
  if (rate) {
    share = std::max(share, SumBefore(history.starts_, order) / (kTimeConstantSeconds * *rate));
  }
  return std::clamp(share, 0.0, kMaxShareAhead);
}

// Without any admitted rank, only ranks less urgent than the most urgent refused one are beyond it.
std::optional<int> AdmittedRank(const AdmissionHistory& history, BootTime now) {
  std::optional<int> admitted;
  std::optional<int> first_blocked;
  std::optional<int> last_blocked;
  for (const auto& [rank, record] : history.ranks_) {
    if (IsRecent(record.admitted_at_, now)) {
      admitted = rank;
    }
    if (IsBlocked(record, now)) {
      first_blocked = first_blocked.value_or(rank);
      last_blocked = rank;
    }
  }
  const std::optional<int> limit = admitted ? admitted : first_blocked;
  return limit && last_blocked && *last_blocked > *limit ? limit : std::nullopt;
}

}  // namespace sassafrasbay
