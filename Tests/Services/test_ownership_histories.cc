#define BOOST_TEST_MODULE OwnershipHistories
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <iostream>
#include <string>

#include "ownership_model.h"

namespace sassafrasbay {
namespace {

constexpr milliseconds kDuration{120'000};

/// Number of seeds; sanitizers are given fewer by the environment.
std::uint64_t Seeds() {
  const char* text = std::getenv("OWNERSHIP_SEEDS");
  return text == nullptr ? 200 : std::stoull(text);
}

// Guards against two owners of a key, and tokens that don't rise, through restarts, freezes, cuts,
// outages of the store, new incarnations of upstreams, and appends that take effect late.
BOOST_AUTO_TEST_CASE(NoKeyHasTwoHoldersUnderRandomFaults) {
  double held = 0;
  const char* single_seed = std::getenv("OWNERSHIP_SEED");
  for (std::uint64_t seed = 1; seed <= Seeds(); ++seed) {
    if (single_seed != nullptr && std::stoull(single_seed) != seed) {
      continue;
    }
    OwnershipModel model(seed, single_seed != nullptr);
    const std::string violation = model.Run(kDuration);
    BOOST_TEST(violation.empty(), "seed " << seed << ": " << violation);
    held += model.HeldFraction();
  }
  std::cout << "keys were held for " << held / static_cast<double>(Seeds()) << " of the time\n";
}

}  // namespace
}  // namespace sassafrasbay
