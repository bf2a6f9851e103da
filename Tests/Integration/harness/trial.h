#pragma once

#include <memory>
#include <string>
#include <vector>

#include "harness/fleet.h"
#include "harness/load.h"

namespace sassafrasbay::harness {

/// Design page, section 4: a key is served again after a loss.
inline constexpr std::int64_t kMaxRecoveryMs = 2000;

/// Longest time without an answer for a key whose owner must go on serving. Above the delays of
/// single retries, and not above the lease: an owner whose lease lapses is silent for longer.
inline constexpr std::int64_t kMaxServingGapMs = 1000;

struct TrialOptions {
  std::size_t nodes_ = 6;  ///< Divided evenly over three data centres.
  bool proxies_ = false;
  bool checks_grants_ = true;
};

/// A serving fleet under steady load, for tests of one fault. Functions fail the test by
/// Boost.Test when the set-up doesn't work.
struct Trial {
  std::unique_ptr<Fleet> fleet_;
  std::vector<std::vector<std::string>> keys_;  ///< Keys of the load that each node owns.
  std::unique_ptr<SteadyLoad> load_;
};

/// Starts the fleet, publishes a configuration, and waits until every node owns units, has two
/// grantors and answers its keys.
Trial StartTrial(const TrialOptions& options);

/// Every key of these nodes.
std::vector<std::string> KeysOf(const Trial& trial, std::span<const std::size_t> nodes);

/// Every key of the other nodes.
std::vector<std::string> KeysNotOf(const Trial& trial, std::span<const std::size_t> nodes);

/// The indexes of the grantors of a node.
std::vector<std::size_t> GrantorsOf(Trial& trial, std::size_t node);

/// Stops the load after `rest` and checks the history. Answers are those of the whole load.
std::vector<LoadAnswer> FinishTrial(Trial& trial, milliseconds rest);

/// Checks that no key went without a successful answer for longer than `limit_ms` after `from_ms`.
void CheckServed(std::span<const LoadAnswer> answers, std::span<const std::string> keys,
                 std::int64_t from_ms, std::int64_t limit_ms);

/// Checks that the keys of all nodes but `lost` ran only at the upstreams that owned them at first.
void CheckOwnersKept(Trial& trial, std::span<const std::size_t> lost, std::int64_t from_ms);

/// Runs at the upstream of a node that started at or after the time.
std::vector<RunRecord> RunsSince(Trial& trial, std::size_t node, std::int64_t from_ms);

/// Refusals by the upstream of a node at or after the time, by its own records.
std::size_t CountRefusals(Trial& trial, std::size_t node, std::int64_t from_ms);

/// Stops the upstream of a node at a moment when it runs nothing.
void PauseIdleUpstream(Trial& trial, std::size_t node);

}  // namespace sassafrasbay::harness
