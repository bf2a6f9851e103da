#define BOOST_TEST_MODULE OwnershipHistories
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <iostream>
#include <string>

#include "ownership_model.h"

namespace sassafrasbay {
namespace {

constexpr milliseconds kDuration{120'000};

/// Number of seeds. Sanitizer builds set OWNERSHIP_SEEDS to run fewer.
std::uint64_t Seeds() {
  const char* text = std::getenv("OWNERSHIP_SEEDS");
  return text == nullptr ? 200 : std::stoull(text);
}

/// Runs each seed and checks that it breaks no invariant.
void RunSeeds(const ModelFaults& faults) {
  double held_fraction_sum = 0;
  const char* single_seed = std::getenv("OWNERSHIP_SEED");
  for (std::uint64_t seed = 1; seed <= Seeds(); ++seed) {
    if (single_seed != nullptr && std::stoull(single_seed) != seed) {
      continue;
    }
    OwnershipModel model(seed, faults, single_seed != nullptr);
    const std::string violation = model.Run(kDuration);
    BOOST_TEST(violation.empty(), "seed " << seed << ": " << violation);
    held_fraction_sum += model.HeldFraction();
  }
  std::cout << "keys had a holder for a fraction of "
            << held_fraction_sum / static_cast<double>(Seeds()) << " of the simulated time\n";
}

// Guards against two holders of a key, and against tokens that don't rise, under restarts, frozen
// processes, lost connections, store outages, new incarnations of upstreams, and appends that take
// effect late.
BOOST_AUTO_TEST_CASE(NoKeyHasTwoHoldersUnderRandomFaults) { RunSeeds({}); }

// Guards against the same when the store is also restored from older copies, with late appends of
// the lost history, while some or all processes end.
BOOST_AUTO_TEST_CASE(NoKeyHasTwoHoldersWhenTheStoreIsRestored) { RunSeeds({.restores_ = true}); }

// Guards against the same when others send heartbeats that can't be told from those of a later or
// an earlier incarnation.
BOOST_AUTO_TEST_CASE(NoKeyHasTwoHoldersBesideForeignHeartbeats) {
  RunSeeds({.foreign_writers_ = true});
}

}  // namespace
}  // namespace sassafrasbay
