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

/// One request of a caller to the service of MakeBenchFleet.
struct CallerRequest {
  std::string method_ = "POST";  ///< POST is binding, GET and PUT are idempotent.
  std::string key_;
  std::string id_;                 ///< Idempotency key; empty sends none.
  std::string body_;               ///< The upstream stand-in echoes it.
  std::string stand_in_header_;    ///< Header Stand-In.
  std::string path_suffix_ = "x";  ///< Rest of the path; "brief" has a deadline of one second.
};

/// What the caller got for one attempt.
struct Attempt {
  CallerRequest request_;
  std::string outcome_;  ///< "lost" when there was no whole answer or it had no outcome.
  int status_ = 0;
  std::string reason_;
  std::string body_;
  bool body_matches_ = false;  ///< Whole, and made from this request.
};

/// "Answered" with status 200 and the echo of the own request.
bool IsAcknowledged(const Attempt& attempt);

std::string Describe(const Attempt& attempt);

/// A new UUIDv7 whose time is ahead of the clock by `lead`.
std::string NewUuid(milliseconds lead = milliseconds(0));

/// Sends a request through a node; may be called by several threads.
Attempt Send(Fleet& fleet, std::size_t node, const CallerRequest& request);

struct BenchFleetOptions {
  std::size_t data_centres_ = 3;
  std::size_t nodes_per_data_centre_ = 1;
  bool proxies_ = false;
};

/// Starts a fleet with the service "bench" and waits until every node sees all sessions, each with
/// its grantors, and serves. Node i is in data centre i modulo their number. Null when it fails.
std::unique_ptr<Fleet> MakeBenchFleet(const BenchFleetOptions& options);

/// Waits until requests for `keys` keys are answered through the node.
bool WaitUntilServing(Fleet& fleet, std::size_t node, std::size_t keys = 16);

/// Waits until the node sees that many active sessions, each with the grantors it can have.
bool WaitForSessions(Fleet& fleet, std::size_t node, std::size_t count);

/// Waits until every node has a session of its own, and all nodes see exactly these with their
/// grantors. A killed node's old session doesn't count.
bool WaitUntilSettled(Fleet& fleet);

/// Index of the node that owns the key, as the node `asked` sees it.
std::optional<std::size_t> OwnerOf(Fleet& fleet, std::string_view key, std::size_t asked);

/// A key, different at each call, that the node owns.
std::string KeyOwnedBy(Fleet& fleet, std::size_t owner);

std::size_t CountRuns(const Fleet& fleet, std::string_view id);

/// All attempts of a test; may be used by several threads.
class AttemptHistory {
 public:
  explicit AttemptHistory(Fleet& fleet) : fleet_(fleet) {}
  Attempt Send(std::size_t node, const CallerRequest& request);
  std::vector<Attempt> Attempts() const;

  /// Runs the checkers for invariants 1, 2, 4 and 5 over the runs of the upstreams, and for
  /// invariant 3 over the answers. Two acknowledgements of one id must be equal.
  Violations Check() const;

  /// Sends every acknowledged id again through the nodes in turn and reports those that don't get
  /// the same acknowledgement (invariant 2).
  Violations CheckStillAcknowledged(const std::vector<std::size_t>& nodes);

 private:
  Fleet& fleet_;
  mutable std::mutex mutex_;
  std::vector<Attempt> attempts_;
};

}  // namespace sassafrasbay::harness
