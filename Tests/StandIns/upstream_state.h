#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "LibCore/http_message.h"

namespace sassafrasbay::stand_ins {

struct UpstreamOptions {
  int port_ = 0;
  int admin_port_ = 0;
  int advertised_port_ = 0;  ///< Port of a proxy, announced instead of port_; 0 announces port_.
  std::string service_ = "service";
  std::string node_;  ///< "host:port" of the node's caller port; empty turns announcements off.
  bool checks_grants_ = false;
  int slots_ = 20;
  int service_ms_ = 5;
  int cold_ms_ = 0;
  std::string record_file_;
};

/// The latest grant of one unit.
struct Grant {
  std::uint64_t token_ = 0;
  std::int64_t expires_ms_ = 0;  ///< CLOCK_BOOTTIME.
};

/// State of the upstream stand-in. The functions below that take it lock its mutex.
struct UpstreamState {
  UpstreamOptions options_;
  int record_descriptor_ = -1;
  std::int64_t started_ms_ = 0;
  std::atomic<bool> draining_ = false;  ///< Announced to the node.
  std::atomic<bool> exiting_ = false;   ///< Connections close without a response.

  std::mutex mutex_;
  std::map<std::uint32_t, Grant> grants_;
  std::map<std::string, std::uint64_t, std::less<>> writes_;  ///< PUT and POST requests by key.
  std::vector<nlohmann::json> runs_;
  std::vector<nlohmann::json> grant_records_;
  std::set<std::string, std::less<>> cancelled_;  ///< Request ids.
  int running_ = 0;
};

/// Result of the admission of a request: a run, or the status and reason of the refusal.
struct Admission {
  std::optional<std::size_t> run_;  ///< Index in `UpstreamState::runs_`; absent when refused.
  std::uint64_t writes_ = 0;
  int status_ = 0;
  std::string reason_;
};

/// Checks the free slots and, if grants are checked, lease deadline, grant and token. Records the
/// start of the run, or the refusal when a grant check fails.
Admission StartRun(UpstreamState& state, const HttpRequest& request);

/// Records the end of the run and frees its slot.
void EndRun(UpstreamState& state, std::size_t run);

/// Records the body of PUT /-/grants and applies it. Returns false and applies nothing when the
/// body is malformed or the token of any unit would decrease.
bool ApplyGrants(UpstreamState& state, std::string_view body);

/// Milliseconds of CLOCK_BOOTTIME.
std::int64_t NowMs();

}  // namespace sassafrasbay::stand_ins
