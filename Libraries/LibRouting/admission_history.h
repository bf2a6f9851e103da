#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "LibCore/clock.h"

namespace sassafrasbay {

/// What the history of admissions needs to know of a request.
struct AdmissionRequest {
  std::string_view class_;
  int rank_ = 0;  ///< 0 is the most urgent.
  bool is_call_ = false;
  bool returned_ = false;  ///< Came back after a refusal.
  bool by_floor_ = false;  ///< Admitted because its class was starved.
  double weight_ = 1;      ///< Requests that it represents, including those held back elsewhere.
  double service_ms_ = 0;  ///< Expected service time.
};

/// What one queue has admitted and refused lately, by class and by rank. Counts are exponentially
/// decayed with a time constant of 2 s. Has no effect as long as all requests have the same rank
/// and none is a call.
struct AdmissionHistory {
  /// Rank, and within it 0 for calls, 1 for requests that came back and 2 for new ones: the order
  /// in which requests go first.
  using Order = std::pair<int, int>;

  struct ClassCount {
    double offered_ = 0;
    double admitted_ = 0;
  };

  /// New requests, that are no calls, of one rank.
  struct RankRecord {
    std::optional<BootTime> admitted_at_;  ///< Newest; without those admitted by the floor.
    std::optional<BootTime> refused_at_;   ///< Newest.
    int refused_since_admitted_ = 0;
  };

  std::map<std::string, ClassCount, std::less<>> classes_;
  std::map<Order, double> work_ms_;  ///< Service times of the admitted requests.
  std::map<Order, double> starts_;   ///< Number of the admitted requests.
  std::map<int, RankRecord> ranks_;
  BootTime decayed_at_{};
  std::optional<std::pair<int, bool>> last_kind_;  ///< Rank of the last request; is it a call?
  BootTime mixed_until_{};  ///< Until then requests of different kinds count as present.
};

void CountOffered(AdmissionHistory& history, const AdmissionRequest& request, BootTime now);
void CountAdmitted(AdmissionHistory& history, const AdmissionRequest& request, BootTime now);
/// Counts a request that was refused for want of room.
void CountRefused(AdmissionHistory& history, const AdmissionRequest& request, BootTime now);

/// Whether requests of different rank, or calls and new requests, were offered lately.
bool IsMixed(const AdmissionHistory& history, BootTime now);

/// Whether a smaller part of the class than a quarter of the mean was admitted. Requests of such a
/// class are taken next, whatever their rank.
bool IsStarved(const AdmissionHistory& history, std::string_view request_class, BootTime now);

/// Whether a request that came back goes before new ones of its rank: as long as such requests have
/// got at most a part of what its rank got lately.
bool MayGoBeforeNew(const AdmissionHistory& history, int rank, BootTime now);

/// Part of the capacity that requests which go before this one have used lately; 0 to 0.9.
/// `slots` and `rate` (requests a second) are the capacity.
double ShareAhead(const AdmissionHistory& history, const AdmissionRequest& request, double slots,
                  std::optional<double> rate);

/// The least urgent rank of which new requests were admitted in the last second, if less urgent
/// ones were refused in that time; otherwise nothing, that is no limit.
std::optional<int> AdmittedRank(const AdmissionHistory& history, BootTime now);

}  // namespace sassafrasbay
