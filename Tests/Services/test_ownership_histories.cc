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

// Guards against two holders of a key, and against tokens that don't rise, under restarts, frozen
// processes, lost connections, store outages, new incarnations of upstreams, and appends that take
// effect late.
BOOST_AUTO_TEST_CASE(NoKeyHasTwoHoldersUnderRandomFaults) {
  double held_fraction_sum = 0;
  const char* single_seed = std::getenv("OWNERSHIP_SEED");
  for (std::uint64_t seed = 1; seed <= Seeds(); ++seed) {
    if (single_seed != nullptr && std::stoull(single_seed) != seed) {
      continue;
    }
    OwnershipModel model(seed, single_seed != nullptr);
    const std::string violation = model.Run(kDuration);
    BOOST_TEST(violation.empty(), "seed " << seed << ": " << violation);
    held_fraction_sum += model.HeldFraction();
  }
  std::cout << "keys had a holder for a fraction of "
            << held_fraction_sum / static_cast<double>(Seeds()) << " of the simulated time\n";
}

}  // namespace
}  // namespace sassafrasbay
