#define BOOST_TEST_MODULE Error
#include <boost/test/unit_test.hpp>

#include "LibCore/error.h"

namespace sassafrasbay {
namespace {

Result<int> Fail() {
  return MakeError(Errc::kTimedOut, "append", "127.0.0.1:9000", "no answer for 2 s");
}

Result<int> Propagate() {
  SASSAFRASBAY_TRY(value, Fail());
  return value + 1;
}

// Guards against an error losing its operation or peer during propagation.
BOOST_AUTO_TEST_CASE(PropagatedErrorKeepsOperationAndPeer) {
  const Result<int> result = Propagate();
  BOOST_REQUIRE(!result.has_value());
  BOOST_TEST(ToString(result.error()) == "append (127.0.0.1:9000): timed out: no answer for 2 s");
  BOOST_TEST((result.error().code_ == Errc::kTimedOut));
}

}  // namespace
}  // namespace sassafrasbay
