#include <algorithm>
#include <set>
#include <tuple>

#include "LibControl/fold.h"

namespace sassafrasbay::fold {
namespace {

using GranteeCounts = std::map<SessionId, std::size_t>;

/// In another data centre of the same region.
bool IsRemote(const Session& session, const Session& other) {
  return other.join_.region_ == session.join_.region_ &&
         other.join_.data_centre_ != session.join_.data_centre_;
}

bool HasRemoteSession(const ControlState& state, const Session& session) {
  return std::ranges::any_of(state.sessions_,
                             [&](const auto& entry) { return IsRemote(session, entry.second); });
}

bool IsGrantor(const Session& session, std::string_view other) {
  return std::ranges::find(session.grantors_, other, &GrantorAssignment::grantor_) !=
         session.grantors_.end();
}

/// Grantors that count towards kGrantorsPerSession. Grantors from the own data centre or another
/// region stop counting as soon as a session in another data centre of the region is active.
std::size_t CountGrantors(const ControlState& state, const Session& session, bool remote_only) {
  return static_cast<std::size_t>(
      std::ranges::count_if(session.grantors_, [&](const GrantorAssignment& link) {
        const Session* grantor = FindSession(state, link.grantor_);
        return !remote_only || (grantor != nullptr && IsRemote(session, *grantor));
      }));
}

GranteeCounts CountGrantees(const ControlState& state) {
  GranteeCounts counts;
  for (const auto& [id, session] : state.sessions_) {
    for (const GrantorAssignment& link : session.grantors_) {
      ++counts[link.grantor_];
    }
  }
  return counts;
}

void AddGrantor(Step& step, Session& session, const SessionId& grantor) {
  session.grantors_.push_back({grantor, step.offset_, false});
  session.grantors_changed_at_ = step.offset_;
}

/// The best session to add as a grantor; empty when none qualifies.
SessionId PickGrantor(const ControlState& state, const Session& session, bool remote_only,
                      const GranteeCounts& counts) {
  std::set<std::string> used;  // Data centres of the present grantors.
  for (const GrantorAssignment& link : session.grantors_) {
    const Session* grantor = FindSession(state, link.grantor_);
    if (grantor != nullptr) {
      used.insert(grantor->join_.data_centre_);
    }
  }
  using Rank = std::tuple<bool, bool, std::size_t, SessionId>;
  std::optional<Rank> best;
  for (const auto& [id, other] : state.sessions_) {
    if (id == session.join_.session_ || IsGrantor(session, id) ||
        (remote_only && !IsRemote(session, other))) {
      continue;
    }
    const auto count = counts.find(id);
    Rank rank{other.join_.region_ != session.join_.region_, used.contains(other.join_.data_centre_),
              count == counts.end() ? 0 : count->second, id};
    if (!best || rank < *best) {
      best = std::move(rank);
    }
  }
  return best ? std::get<SessionId>(*best) : SessionId();
}

void FillGrantors(Step& step, Session& session, GranteeCounts& counts) {
  const bool remote_only = HasRemoteSession(step.state_, session);
  while (CountGrantors(step.state_, session, remote_only) < kGrantorsPerSession) {
    const SessionId grantor = PickGrantor(step.state_, session, remote_only, counts);
    if (grantor.empty()) {
      return;
    }
    AddGrantor(step, session, grantor);
    ++counts[grantor];
  }
}

}  // namespace

void FillGrantors(Step& step, Session& session) {
  GranteeCounts counts = CountGrantees(step.state_);
  FillGrantors(step, session, counts);
}

void OfferNewGrantor(Step& step, const Session& newcomer) {
  for (auto& [id, session] : step.state_.sessions_) {
    if (id == newcomer.join_.session_ || IsGrantor(session, newcomer.join_.session_)) {
      continue;
    }
    const bool remote_only = HasRemoteSession(step.state_, session);
    const bool qualifies = !remote_only || IsRemote(session, newcomer);
    if (qualifies && CountGrantors(step.state_, session, remote_only) < kGrantorsPerSession) {
      AddGrantor(step, session, newcomer.join_.session_);
    }
  }
}

// A replacement keeps the session from ending until it has waited for the lease itself. Without a
// replacement, the removed grantor may have acknowledged a heartbeat just before its end, while the
// remaining grantors have attested already or are about to. A new epoch voids their attestations
// and restarts their counts when they read this record.
void ReplaceGrantor(Step& step, std::string_view ended) {
  GranteeCounts counts = CountGrantees(step.state_);
  for (auto& [id, session] : step.state_.sessions_) {
    const std::size_t before = session.grantors_.size();
    const auto removed = std::erase_if(session.grantors_, [ended](const GrantorAssignment& link) {
      return link.grantor_ == ended;
    });
    if (removed == 0) {
      continue;
    }
    session.grantors_changed_at_ = step.offset_;
    FillGrantors(step, session, counts);
    if (session.grantors_.size() < before) {
      StartEpoch(session, session.epoch_ + 1, step.offset_);
    }
  }
}

}  // namespace sassafrasbay::fold
