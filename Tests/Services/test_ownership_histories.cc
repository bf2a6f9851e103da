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
  const char* only = std::getenv("OWNERSHIP_SEED");
  for (std::uint64_t seed = 1; seed <= Seeds(); ++seed) {
    if (only != nullptr && std::stoull(only) != seed) {
      continue;
    }
    OwnershipModel model(seed, only != nullptr);
    const std::string broken = model.Run(kDuration);
    BOOST_TEST(broken.empty(), "seed " << seed << ": " << broken);
    held += model.HeldFraction();
  }
  std::cout << "keys were held for " << held / static_cast<double>(Seeds()) << " of the time\n";
}

}  // namespace
}  // namespace sassafrasbay
