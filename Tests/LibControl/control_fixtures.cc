#include "LibControl/control_fixtures.h"

namespace sassafrasbay::testing {

RoutingFile ServiceFile(std::string_view service, int shards) {
  const std::string name(service);
  return {name + ".routing.toml",
          "[service." + name + "]\nshards = " + std::to_string(shards) +
              "\nkey = { from = \"path\", segment = 1 }\n[[service." + name +
              ".class]]\nname = \"all\"\nmethod = \"*\"\npath_prefix = \"/" + name +
              "/\"\nkind = \"idempotent\"\n"};
}

SessionJoined Join(std::string_view session, std::string_view data_centre,
                   std::string_view service) {
  SessionJoined join;
  join.session_ = session;
  join.node_ = "node-" + std::string(session);
  join.data_centre_ = data_centre;
  join.region_ = "r";
  join.service_ = service;
  join.slots_ = 20;
  return join;
}

ApplyResult TestLog::Append(RecordBody body) {
  const Offset offset = state_.next_offset_;
  if (auto* join = std::get_if<SessionJoined>(&body); join != nullptr && join->based_on_ == 0) {
    join->based_on_ = offset;
  }
  return Apply(state_, offset, Record{"id" + std::to_string(offset), kRulesVersion, body});
}

ApplyResult TestLog::Publish(std::vector<RoutingFile> files) {
  return Append(
      ConfigurationPublished{state_.configuration_version_, "operator", std::move(files)});
}

void TestLog::SkipTo(Offset offset) {
  while (state_.next_offset_ < offset) {
    SkipRecord(state_, state_.next_offset_);
  }
}

std::vector<SessionId> GrantorsOf(const ControlState& state, std::string_view session) {
  std::vector<SessionId> grantors;
  for (const GrantorAssignment& assignment : FindSession(state, session)->grantors_) {
    grantors.push_back(assignment.grantor_);
  }
  return grantors;
}

const Unit& UnitAt(const ControlState& state, std::uint32_t unit) {
  return *FindUnit(state, {"s", unit});
}

}  // namespace sassafrasbay::testing
