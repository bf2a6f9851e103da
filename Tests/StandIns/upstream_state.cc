#include "StandIns/upstream_state.h"

#include <unistd.h>

#include <charconv>

#include "LibCore/clock.h"
#include "StandIns/blocking_server.h"

namespace sassafrasbay::stand_ins {
namespace {

using nlohmann::json;

// Value of a numeric header that is absent or not a number.
constexpr std::int64_t kMissingNumber = -1;

std::int64_t NumberHeader(const HttpRequest& request, std::string_view name) {
  const std::string_view text = FindHeader(request.headers_, name);
  std::int64_t value = kMissingNumber;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

// Writes each line with one write() call: the kernel keeps it even if the process is killed right
// afterwards, and lines of different threads don't interleave.
void WriteRecord(const UpstreamState& state, const json& record) {
  if (state.record_descriptor_ < 0) {
    return;
  }
  const std::string line = record.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
  if (write(state.record_descriptor_, line.data(), line.size()) !=
      static_cast<ssize_t>(line.size())) {
    _exit(4);  // With a line missing from the history, checkers could miss a violation.
  }
}

// Returns why the request has no valid grant; empty when it has one.
std::string GrantRefusalReason(const UpstreamState& state, const HttpRequest& request,
                               std::int64_t now) {
  const std::int64_t expires = NumberHeader(request, "Sassafrasbay-Expires-Boottime-Ms");
  if (expires <= now) {
    return "deadline of the lease has passed or is absent";
  }
  const std::int64_t unit = NumberHeader(request, "Sassafrasbay-Unit");
  const auto grant = state.grants_.find(static_cast<std::uint32_t>(unit));
  if (unit == kMissingNumber || grant == state.grants_.end()) {
    return "no grant for the unit";
  }
  if (grant->second.expires_ms_ <= now) {
    return "grant has expired";
  }
  const std::int64_t token = NumberHeader(request, "Sassafrasbay-Token");
  if (token == kMissingNumber || static_cast<std::uint64_t>(token) != grant->second.token_) {
    return "token differs from the grant";
  }
  return {};
}

json MakeRun(const UpstreamState& state, const HttpRequest& request, std::int64_t now) {
  const auto header = [&](std::string_view name) {
    return std::string(FindHeader(request.headers_, name));
  };
  return {{"kind", "start"},
          {"run", std::to_string(getpid()) + "-" + std::to_string(state.runs_.size())},
          {"port", state.options_.port_},
          {"service", state.options_.service_},
          {"request_id", header("Sassafrasbay-Request-Id")},
          {"idempotency_key", header("Idempotency-Key")},
          {"method", request.method_},
          {"path", request.path_},
          {"unit", NumberHeader(request, "Sassafrasbay-Unit")},
          {"token", NumberHeader(request, "Sassafrasbay-Token")},
          {"expires_ms", NumberHeader(request, "Sassafrasbay-Expires-Boottime-Ms")},
          {"start_ms", now},
          {"end_ms", nullptr}};
}

bool ApplyUnits(UpstreamState& state, const json& grants) {
  std::map<std::uint32_t, Grant> updated;
  const std::int64_t expires_ms = grants.at("expires_boottime_ms").get<std::int64_t>();
  for (const json& range : grants.at("units")) {
    const Grant grant{range.at("token").get<std::uint64_t>(), expires_ms};
    const auto last = range.at("last").get<std::uint32_t>();
    for (auto unit = range.at("first").get<std::uint32_t>(); unit <= last; ++unit) {
      const auto known = state.grants_.find(unit);
      if (known != state.grants_.end() && known->second.token_ > grant.token_) {
        return false;
      }
      updated[unit] = grant;
    }
  }
  for (const auto& [unit, grant] : updated) {
    state.grants_[unit] = grant;
  }
  return true;
}

}  // namespace

std::int64_t NowMs() { return ToBootMilliseconds(BootClock::now()); }

Admission StartRun(UpstreamState& state, const HttpRequest& request) {
  const std::lock_guard lock(state.mutex_);
  const std::int64_t now = NowMs();
  if (state.running_ >= state.options_.slots_) {
    return {.status_ = 503, .reason_ = "all slots are in use"};
  }
  if (state.options_.checks_grants_) {
    const std::string reason = GrantRefusalReason(state, request, now);
    if (!reason.empty()) {
      WriteRecord(state, {{"kind", "refusal"},
                          {"path", request.path_},
                          {"token", NumberHeader(request, "Sassafrasbay-Token")},
                          {"reason", reason},
                          {"time_ms", now}});
      return {.status_ = 409, .reason_ = reason};
    }
  }
  ++state.running_;
  const std::string key(WithoutQuery(request.path_));
  if (request.method_ == "PUT" || request.method_ == "POST") {
    ++state.writes_[key];
  }
  state.runs_.push_back(MakeRun(state, request, now));
  WriteRecord(state, state.runs_.back());
  return {.run_ = state.runs_.size() - 1, .writes_ = state.writes_[key]};
}

void EndRun(UpstreamState& state, std::size_t run) {
  const std::lock_guard lock(state.mutex_);
  --state.running_;
  json& record = state.runs_[run];
  record["end_ms"] = NowMs();
  WriteRecord(state, {{"kind", "end"}, {"run", record["run"]}, {"end_ms", record["end_ms"]}});
}

bool ApplyGrants(UpstreamState& state, std::string_view body) {
  const std::lock_guard lock(state.mutex_);
  json record = {{"kind", "grant"}, {"port", state.options_.port_}, {"time_ms", NowMs()}};
  bool accepted = false;
  try {
    record["grants"] = json::parse(body);
    accepted = ApplyUnits(state, record["grants"]);
  } catch (const json::exception& error) {
    record["fault"] = error.what();
  }
  record["accepted"] = accepted;
  state.grant_records_.push_back(record);
  WriteRecord(state, record);
  return accepted;
}

}  // namespace sassafrasbay::stand_ins
