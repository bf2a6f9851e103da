#define BOOST_TEST_MODULE Hash
#include <array>
#include <boost/test/unit_test.hpp>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "LibCore/hash.h"

namespace sassafrasbay {
namespace {

// Guards against a change of the hash, which would move every key of a running fleet.
BOOST_AUTO_TEST_CASE(HashIsStable) { BOOST_TEST(HashBytes("") == 0x2d06800538d394c2U); }

// Guards against parts being joined without their boundaries.
BOOST_AUTO_TEST_CASE(PartBoundariesChangeHash) {
  const std::array<std::string_view, 2> left = {"ab", "c"};
  const std::array<std::string_view, 2> right = {"a", "bc"};
  BOOST_TEST(HashParts(left) != HashParts(right));
}

// Guards against ids repeating between threads.
BOOST_AUTO_TEST_CASE(RandomIdsDiffer) {
  std::array<std::vector<std::string>, 4> batches;
  std::vector<std::thread> threads;
  threads.reserve(batches.size());
  for (auto& batch : batches) {
    threads.emplace_back([&batch] {
      for (int i = 0; i < 100; ++i) {
        batch.push_back(RandomId());
      }
    });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  std::set<std::string> all;
  for (const auto& batch : batches) {
    all.insert(batch.begin(), batch.end());
  }
  BOOST_TEST(all.size() == 400U);
}

}  // namespace
}  // namespace sassafrasbay
