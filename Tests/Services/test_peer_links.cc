#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "LibTransport/peer_network.h"
#include "router/peer_links.h"

namespace sassafrasbay {
namespace {

/// Links to one peer, which records the connections on which messages arrive.
struct PeerLinksFixture {
  PeerLinksFixture() {
    PeerEvents events;
    events.on_frame_ = [this](ConnectionId connection, std::string_view) {
      connections_at_peer_.push_back(connection);
    };
    events.on_closed_ = [this](ConnectionId, const Error&) { ++closed_at_peer_; };
    peer_ = std::move(
        PeerNetworkBuilder(loop_).Listen("127.0.0.1", 0).Events(std::move(events)).Build().value());
    address_ = "127.0.0.1:" + std::to_string(peer_->Port());
    shared_.environment_.peers_ = {"127.0.0.1", 0};
    PeerLinks::Hooks hooks;
    hooks.on_message_ = [this](ConnectionId connection, const NodeMessage&) {
      answered_on_.push_back(connection);
    };
    hooks.on_outgoing_closed_ = [this](const std::string&, ConnectionId connection) {
      lost_.push_back(connection);
    };
    hooks.on_incoming_closed_ = [](ConnectionId) {};
    hooks.awaits_answers_ = [this](ConnectionId connection) { return connection == awaited_on_; };
    const Result<void> listening = links_.Listen(std::move(hooks));
    BOOST_REQUIRE(listening.has_value());
  }

  ConnectionId Send() {
    const ConnectionId connection = links_.Send(address_, CancelForwarded{1});
    RunFor(milliseconds(100));
    return connection;
  }

  void RunFor(milliseconds time) {
    loop_.StartTimer(time, [this] { loop_.Stop(); });
    loop_.Run();
  }

  ReactorLoop loop_;
  RouterShared shared_;
  PeerLinks links_{loop_, shared_};
  std::unique_ptr<PeerNetwork> peer_;
  std::string address_;
  std::vector<ConnectionId> connections_at_peer_;
  int closed_at_peer_ = 0;
  std::vector<ConnectionId> answered_on_;
  std::vector<ConnectionId> lost_;
  ConnectionId awaited_on_ = 0;
};

BOOST_FIXTURE_TEST_SUITE(PeerLink, PeerLinksFixture)

// Guards against giving up the running requests of a VM that is only silent or slow to report for a
// while: closing its connection cancelled them there, and started idempotent ones again elsewhere.
BOOST_AUTO_TEST_CASE(AnswersOfASlowNodeStillArriveAfterItsLinkIsReplaced) {
  const ConnectionId first = Send();
  awaited_on_ = first;
  links_.Replace(address_);
  const ConnectionId second = Send();
  BOOST_TEST(second != 0U);
  BOOST_TEST(second != first);
  BOOST_REQUIRE(connections_at_peer_.size() == 2U);
  BOOST_TEST(connections_at_peer_[0] != connections_at_peer_[1]);
  BOOST_TEST(closed_at_peer_ == 0);
  ForwardedAnswer answer;
  answer.number_ = 1;
  peer_->Send(connections_at_peer_[0], EncodeNodeMessage(answer));
  RunFor(milliseconds(100));
  BOOST_TEST(answered_on_ == std::vector<ConnectionId>{first}, boost::test_tools::per_element());
  BOOST_TEST(lost_.empty());
  // The old connection closes once nothing is due on it, and the new one stays in use.
  awaited_on_ = 0;
  RunFor(milliseconds(1500));
  BOOST_TEST(closed_at_peer_ == 1);
  BOOST_TEST(lost_ == std::vector<ConnectionId>{first}, boost::test_tools::per_element());
  BOOST_TEST(Send() == second);
}

// Guards against connections to a lost node that accumulate with each report.
BOOST_AUTO_TEST_CASE(LinkWithoutDueAnswersClosesAtOnce) {
  const ConnectionId first = Send();
  links_.Replace(address_);
  RunFor(milliseconds(150));
  BOOST_TEST(closed_at_peer_ == 1);
  BOOST_TEST(lost_ == std::vector<ConnectionId>{first}, boost::test_tools::per_element());
  BOOST_TEST(Send() != first);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sassafrasbay
