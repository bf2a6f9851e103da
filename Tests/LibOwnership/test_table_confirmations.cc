#include <boost/test/unit_test.hpp>

#include "LibOwnership/table_confirmations.h"

namespace sassafrasbay {
namespace {

constexpr BootTime kEarly{milliseconds(1000)};
constexpr BootTime kLate{milliseconds(2000)};

BOOST_AUTO_TEST_SUITE(TableConfirmation)

// Guards against two owners of a key: the control thread has read a change and confirmed the new
// tables while the traffic thread still reports the old ones. A receiver with the same old tables
// would renew grants from the later time on, although the change names a successor.
BOOST_AUTO_TEST_CASE(OldTablesAreNotConfirmedByNewerOnes) {
  TableConfirmations confirmations;
  Confirm(confirmations, {1, 10}, kEarly);
  Confirm(confirmations, {1, 11}, kLate);
  BOOST_TEST((ConfirmedSince(confirmations, {1, 10}) == kEarly));
  BOOST_TEST((ConfirmedSince(confirmations, {1, 11}) == kLate));
}

// Tables that this node has read beyond the last confirmation are at least as new.
BOOST_AUTO_TEST_CASE(NewerTablesKeepTheConfirmationOfOlderOnes) {
  TableConfirmations confirmations;
  Confirm(confirmations, {1, 10}, kLate);
  Confirm(confirmations, {1, 11}, kEarly);
  BOOST_TEST((ConfirmedSince(confirmations, {1, 11}) == kLate));
  BOOST_TEST((ConfirmedSince(confirmations, {1, 12}) == kLate));
}

// Guards against grants by tables that lack a change: an offset of another era confirms nothing.
BOOST_AUTO_TEST_CASE(TablesOfAnotherEraAreNotConfirmed) {
  TableConfirmations confirmations;
  Confirm(confirmations, {1, 10}, kLate);
  BOOST_TEST(!ConfirmedSince(confirmations, {2, 10}).has_value());
  BOOST_TEST(!ConfirmedSince(confirmations, {2, 12}).has_value());
}

BOOST_AUTO_TEST_CASE(ConfirmationsNeverMoveBack) {
  TableConfirmations confirmations;
  BOOST_TEST(!ConfirmedSince(confirmations, {1, 10}).has_value());
  Confirm(confirmations, {1, 10}, kLate);
  Confirm(confirmations, {1, 10}, kEarly);
  BOOST_TEST((ConfirmedSince(confirmations, {1, 10}) == kLate));
  BOOST_TEST(!ConfirmedSince(confirmations, {1, 9}).has_value());
}

// Guards against confirmations that accumulate with each change of a table.
BOOST_AUTO_TEST_CASE(OldestConfirmationsAreForgotten) {
  TableConfirmations confirmations;
  for (std::uint64_t end = 1; end <= 1000; ++end) {
    Confirm(confirmations, {1, end}, kEarly);
  }
  BOOST_TEST(confirmations.since_by_end_.size() < 100U);
  BOOST_TEST((ConfirmedSince(confirmations, {1, 1000}) == kEarly));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sassafrasbay
