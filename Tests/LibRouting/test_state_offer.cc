#include <boost/test/unit_test.hpp>

#include "LibRouting/state_offer.h"

namespace sassafrasbay {
namespace {

constexpr std::size_t kLargeConfiguration = 700'000;
constexpr double kSlowLink = 1'250'000;  ///< 10 Mbit/s.

struct OfferFixture {
  OfferFixture() {
    report_.configuration_version_ = 15;
    report_.operators_end_ = TopicPosition{1, 5};
    report_.tables_end_ = {1, 40};
    report_.reads_operators_topic_ = true;
  }

  MissingState Parts() const { return PartsToSend(FindMissingState(report_, known_)); }

  KnownState known_{18, kLargeConfiguration, {1, 6}, {1, 40}};
  NodeReport report_;
};

BOOST_FIXTURE_TEST_SUITE(StateOffers, OfferFixture)

// Guards against copies of a large configuration for nodes that are about to have read it: their
// reads took longer the more copies they got (CONFIG).
BOOST_AUTO_TEST_CASE(ALargeConfigurationIsNotSentToANodeThatReadsIt) {
  BOOST_TEST(FindMissingState(report_, known_).IsAny());
  BOOST_TEST(!Parts().IsAny());
  report_.tables_end_ = {1, 39};
  BOOST_TEST(Parts().tables_);
  BOOST_TEST(!Parts().configuration_);
}

// Guards against a node that is left without a configuration that it can't read itself: its reads
// fail, or a restored store has lost what others know.
BOOST_AUTO_TEST_CASE(AConfigurationIsSentToANodeThatCannotReadIt) {
  report_.reads_operators_topic_ = false;
  BOOST_TEST(Parts().configuration_);
  BOOST_TEST(Parts().marks_);
  report_.reads_operators_topic_ = true;
  report_.operators_end_ = known_.operators_end_;
  BOOST_TEST(Parts().configuration_);
  report_.operators_end_.reset();
  BOOST_TEST(Parts().configuration_);
}

// Guards against a start or restart that waits for a read although a copy takes milliseconds.
BOOST_AUTO_TEST_CASE(ASmallConfigurationIsSentToAnyNode) {
  known_.configuration_bytes_ = 20'000;
  BOOST_TEST(Parts().configuration_);
}

// Guards against copies of a large state that arrive faster than a link carries them.
BOOST_AUTO_TEST_CASE(CopiesOfALargeStateFollowOneAnother) {
  const double transfer_ms = 1000 * kLargeConfiguration / kSlowLink;
  for (std::size_t sender = 0; sender < 4; ++sender) {
    const milliseconds delay = StateOfferDelay(sender, kLargeConfiguration, kSlowLink);
    const milliseconds next = StateOfferDelay(sender + 1, kLargeConfiguration, kSlowLink);
    BOOST_TEST(static_cast<double>((next - delay).count()) >= transfer_ms);
  }
  BOOST_TEST((StateOfferDelay(0, 20'000, kSlowLink) == StateOfferDelay(1, 20'000, kSlowLink)));
  BOOST_TEST(
      (StateOfferDelay(0, kLargeConfiguration, 0) < StateOfferDelay(1, kLargeConfiguration, 0)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sassafrasbay
