#pragma once

#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "harness/fleet.h"
#include "harness/history.h"

namespace sassafrasbay::harness {

/// A request that a caller sends to the service "bench" of MakeBenchFleet.
struct CallerRequest {
  std::string method_ = "POST";  ///< POST is binding; GET and PUT are idempotent.
  std::string key_;
  std::string id_;    ///< Idempotency key; when empty, no key is sent.
  std::string body_;  ///< Echoed by the upstream stand-in.
  /// Value of the header Stand-In; when empty, the header is not sent.
  std::string stand_in_header_;
  /// Last segment of the path. "brief" selects the classes with a deadline of one second.
  std::string path_suffix_ = "x";
};

/// A request that was sent once, and the response to it.
struct Attempt {
  CallerRequest request_;
  std::string outcome_;  ///< "lost" when the response was missing, incomplete or had no outcome.
  int status_ = 0;
  std::string reason_;
  std::string body_;
  bool body_matches_ = false;  ///< The body is complete and echoes this request.
};

/// True when the outcome is "answered", the status is 200, and the body echoes the request.
bool IsAcknowledged(const Attempt& attempt);

std::string Describe(const Attempt& attempt);

/// Returns a new UUIDv7 whose timestamp is ahead of the wall clock by `lead`.
std::string NewUuid(milliseconds lead = milliseconds(0));

/// Sends a request through a node. Thread-safe.
Attempt Send(Fleet& fleet, std::size_t node, const CallerRequest& request);

struct BenchFleetOptions {
  std::size_t data_centres_ = 3;
  std::size_t nodes_per_data_centre_ = 1;
  bool proxies_ = false;
};

/// Starts a fleet with the service "bench". Waits until every node sees all sessions with their
/// grantors and answers requests. Node i is placed in data centre i modulo `data_centres_`. Returns
/// null on failure.
std::unique_ptr<Fleet> MakeBenchFleet(const BenchFleetOptions& options);

/// Waits until requests for `keys` different keys are answered through the node.
bool WaitUntilServing(Fleet& fleet, std::size_t node, std::size_t keys = 16);

/// Waits until the node sees exactly `count` active sessions, each with at least two grantors (all
/// other nodes when there are fewer).
bool WaitForSessions(Fleet& fleet, std::size_t node, std::size_t count);

/// Waits until every node has a session, and all nodes see exactly these sessions with their
/// grantors. The session that a killed node had before its restart must have ended.
bool WaitUntilSettled(Fleet& fleet);

/// Returns the index of the node that owns the key according to the node `asked`.
std::optional<std::size_t> OwnerOf(Fleet& fleet, std::string_view key, std::size_t asked);

/// Returns a key that the node owns, a different one at each call. Empty when none was found.
std::string KeyOwnedBy(Fleet& fleet, std::size_t owner);

std::size_t CountRuns(const Fleet& fleet, std::string_view id);

/// Sends and records all attempts of a test, and checks them afterwards. Thread-safe.
class AttemptHistory {
 public:
  explicit AttemptHistory(Fleet& fleet) : fleet_(fleet) {}
  Attempt Send(std::size_t node, const CallerRequest& request);
  std::vector<Attempt> Attempts() const;

  /// Checks invariants 1, 2, 4 and 5 on the runs of the upstreams, and invariant 3 on the answers.
  /// All acknowledgements of one id must have equal bodies.
  Violations Check() const;

  /// Sends every acknowledged binding request again, through the nodes in turn, and reports those
  /// that don't get the same acknowledgement (invariant 2).
  Violations CheckStillAcknowledged(const std::vector<std::size_t>& nodes);

 private:
  Fleet& fleet_;
  mutable std::mutex mutex_;
  std::vector<Attempt> attempts_;
};

}  // namespace sassafrasbay::harness
