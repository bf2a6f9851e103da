#include <algorithm>
#include <set>
#include <tuple>

#include "LibControl/fold.h"

namespace sassafrasbay::fold {
namespace {

using GranteeCounts = std::map<SessionId, std::size_t>;

/// Whether `candidate` is in the same region as `session`, but in another data centre.
bool IsRemote(const Session& session, const Session& candidate) {
  return candidate.join_.region_ == session.join_.region_ &&
         candidate.join_.data_centre_ != session.join_.data_centre_;
}

bool HasRemoteSession(const ControlState& state, const Session& session) {
  return std::ranges::any_of(state.sessions_,
                             [&](const auto& entry) { return IsRemote(session, entry.second); });
}

bool IsGrantor(const Session& session, std::string_view candidate) {
  return std::ranges::find(session.grantors_, candidate, &GrantorAssignment::grantor_) !=
         session.grantors_.end();
}

/// Number of grantors that count towards kGrantorsPerSession. As soon as a session in another data
/// centre of the region is active, `remote_only` is set and only grantors in such data centres
/// count.
std::size_t CountGrantors(const ControlState& state, const Session& session, bool remote_only) {
  return static_cast<std::size_t>(
      std::ranges::count_if(session.grantors_, [&](const GrantorAssignment& assignment) {
        const Session* grantor = FindSession(state, assignment.grantor_);
        return !remote_only || (grantor != nullptr && IsRemote(session, *grantor));
      }));
}

GranteeCounts CountGrantees(const ControlState& state) {
  GranteeCounts counts;
  for (const auto& [id, session] : state.sessions_) {
    for (const GrantorAssignment& assignment : session.grantors_) {
      ++counts[assignment.grantor_];
    }
  }
  return counts;
}

void AddGrantor(FoldContext& context, Session& session, const SessionId& grantor) {
  session.grantors_.push_back({grantor, context.offset_, false});
  session.grantors_changed_at_ = context.offset_;
}

/// Chooses the session to add as a grantor. Prefers sessions of the same region, then of a data
/// centre without a grantor yet, then with fewer grantees, then with a lower id. Returns an empty
/// id when no session qualifies.
SessionId ChooseGrantor(const ControlState& state, const Session& session, bool remote_only,
                        const GranteeCounts& counts) {
  std::set<std::string> used_data_centres;  // Data centres of the current grantors.
  for (const GrantorAssignment& assignment : session.grantors_) {
    const Session* grantor = FindSession(state, assignment.grantor_);
    if (grantor != nullptr) {
      used_data_centres.insert(grantor->join_.data_centre_);
    }
  }
  using Rank = std::tuple<bool, bool, std::size_t, SessionId>;
  std::optional<Rank> chosen;
  for (const auto& [id, candidate] : state.sessions_) {
    if (id == session.join_.session_ || IsGrantor(session, id) ||
        (remote_only && !IsRemote(session, candidate))) {
      continue;
    }
    const auto count = counts.find(id);
    Rank rank{candidate.join_.region_ != session.join_.region_,
              used_data_centres.contains(candidate.join_.data_centre_),
              count == counts.end() ? 0 : count->second, id};
    if (!chosen || rank < *chosen) {
      chosen = std::move(rank);
    }
  }
  return chosen ? std::get<SessionId>(*chosen) : SessionId();
}

void AddMissingGrantors(FoldContext& context, Session& session, GranteeCounts& counts) {
  const bool remote_only = HasRemoteSession(context.state_, session);
  while (CountGrantors(context.state_, session, remote_only) < kGrantorsPerSession) {
    const SessionId grantor = ChooseGrantor(context.state_, session, remote_only, counts);
    if (grantor.empty()) {
      return;
    }
    AddGrantor(context, session, grantor);
    ++counts[grantor];
  }
}

}  // namespace

void AddMissingGrantors(FoldContext& context, Session& session) {
  GranteeCounts counts = CountGrantees(context.state_);
  AddMissingGrantors(context, session, counts);
}

void AddNewSessionAsGrantor(FoldContext& context, const Session& new_session) {
  for (auto& [id, session] : context.state_.sessions_) {
    if (id == new_session.join_.session_ || IsGrantor(session, new_session.join_.session_)) {
      continue;
    }
    const bool remote_only = HasRemoteSession(context.state_, session);
    const bool qualifies = !remote_only || IsRemote(session, new_session);
    if (qualifies && CountGrantors(context.state_, session, remote_only) < kGrantorsPerSession) {
      AddGrantor(context, session, new_session.join_.session_);
    }
  }
}

// With a replacement, the session can't be ended until the new grantor has waited for the lease
// itself. Without one, the remaining grantors could end the session too early: the removed grantor
// may have acknowledged a heartbeat just before its own end, while they have already attested or
// are about to. A new epoch clears their attestations and restarts their lease timers when they
// read this record.
void ReplaceGrantor(FoldContext& context, std::string_view ended) {
  GranteeCounts counts = CountGrantees(context.state_);
  for (auto& [id, session] : context.state_.sessions_) {
    const std::size_t before = session.grantors_.size();
    const auto removed = std::erase_if(
        session.grantors_,
        [ended](const GrantorAssignment& assignment) { return assignment.grantor_ == ended; });
    if (removed == 0) {
      continue;
    }
    session.grantors_changed_at_ = context.offset_;
    AddMissingGrantors(context, session, counts);
    if (session.grantors_.size() < before) {
      StartEpoch(session, session.epoch_ + 1, context.offset_);
    }
  }
}

}  // namespace sassafrasbay::fold
