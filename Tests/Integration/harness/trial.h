#pragma once

#include <memory>
#include <string>
#include <vector>

#include "harness/fleet.h"
#include "harness/load.h"

namespace sassafrasbay::harness {

/// Maximum time until a key is served again after the loss of its owner (design page, section 4).
inline constexpr std::int64_t kMaxRecoveryMs = 2000;

/// Maximum time without an answer for a key whose owner must keep serving. Exceeds the delay of
/// single retries, but not the lease duration: an owner whose lease lapses stops serving for
/// longer.
inline constexpr std::int64_t kMaxServingGapMs = 1000;

struct TrialOptions {
  std::size_t nodes_ = 6;  ///< Spread evenly over three data centres.
  bool proxies_ = false;
  bool checks_grants_ = true;
};

/// A serving fleet under steady load, for tests that inject one fault. The functions below fail the
/// test through Boost.Test when the set-up fails.
struct Trial {
  std::unique_ptr<Fleet> fleet_;
  std::vector<std::vector<std::string>> keys_;  ///< By node: the keys of the load that it owns.
  std::unique_ptr<SteadyLoad> load_;
};

/// Starts the fleet, publishes a configuration, waits until every node owns units, has two grantors
/// and answers for its keys, and starts the load.
Trial StartTrial(const TrialOptions& options);

/// Returns the keys of the load that these nodes own.
std::vector<std::string> KeysOf(const Trial& trial, std::span<const std::size_t> nodes);

/// Returns the keys of the load that the other nodes own.
std::vector<std::string> KeysNotOf(const Trial& trial, std::span<const std::size_t> nodes);

/// Returns the indexes of the two grantors of a node.
std::vector<std::size_t> GrantorsOf(Trial& trial, std::size_t node);

/// Stops the load after `delay` and checks the history. Returns all answers of the load.
std::vector<LoadAnswer> FinishTrial(Trial& trial, milliseconds delay);

/// Checks that no key went without a successful answer for longer than `limit_ms` after `from_ms`.
void CheckServed(std::span<const LoadAnswer> answers, std::span<const std::string> keys,
                 std::int64_t from_ms, std::int64_t limit_ms);

/// Checks that the keys of all nodes except `lost` ran only at the upstreams of their initial
/// owners from `from_ms` on.
void CheckOwnersKept(Trial& trial, std::span<const std::size_t> lost, std::int64_t from_ms);

/// Returns the runs at the upstream of a node that started at or after `from_ms`.
std::vector<RunRecord> RunsSince(Trial& trial, std::size_t node, std::int64_t from_ms);

/// Counts the requests that the upstream of a node refused at or after `from_ms`, from its records.
std::size_t CountRefusals(Trial& trial, std::size_t node, std::int64_t from_ms);

/// Pauses the upstream of a node while it runs no request.
void PauseIdleUpstream(Trial& trial, std::size_t node);

}  // namespace sassafrasbay::harness
