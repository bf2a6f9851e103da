#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "LibTransport/loopback.h"
#include "LibTransport/peer_network.h"
#include "StandIns/proxy_relay.h"
#include "router/peer_links.h"

namespace sassafrasbay {
namespace {

constexpr milliseconds kCheckInterval{50};
constexpr milliseconds kConfirmationTimeout{200};

/// Maximum time from the loss of a connection to the use of another one.
constexpr milliseconds kReplacementTime{1000};

/// Links to one peer, behind a proxy, whose process can be paused.
struct PeerLinksFixture {
  PeerLinksFixture() {
    PeerEvents events;
    events.on_frame_ = [this](ConnectionId connection, std::string_view frame) {
      const auto message = DecodeNodeMessage(frame);
      BOOST_REQUIRE(message.has_value());
      if (std::holds_alternative<CancelForwarded>(message.value())) {
        connections_at_peer_.push_back(connection);
      }
    };
    peer_ = std::move(PeerNetworkBuilder(peer_loop_)
                          .Listen("127.0.0.1", 0)
                          .Events(std::move(events))
                          .Build()
                          .value());
    route_.target_port_ = peer_->Port();
    const int reserved = OpenListenSocket("127.0.0.1", 0).value();
    route_.listen_port_ = BoundPort(reserved);
    close(reserved);
    BOOST_REQUIRE(stand_ins::OpenRoute(proxy_, route_).has_value());
    address_ = "127.0.0.1:" + std::to_string(route_.listen_port_);
    shared_.environment_.peers_ = {"127.0.0.1", 0};
    PeerLinks::Hooks hooks;
    hooks.on_message_ = [this](ConnectionId connection, const NodeMessage&) {
      answered_on_.push_back(connection);
    };
    hooks.on_outgoing_closed_ = [this](const std::string&, ConnectionId connection, bool was_open) {
      lost_.push_back(connection);
      lost_was_open_ = was_open;
    };
    hooks.on_replaced_ = [this](const std::string&, ConnectionId connection) {
      replaced_.push_back(connection);
    };
    hooks.on_incoming_closed_ = [](ConnectionId) {};
    hooks.awaited_answers_ = [this] { return awaited_; };
    const Result<void> listening = links_.Listen(std::move(hooks));
    BOOST_REQUIRE(listening.has_value());
    loop_.StartRepeatingTimer(kCheckInterval,
                              [this] { links_.CheckConnections(kConfirmationTimeout); });
  }

  ConnectionId Send() {
    const ConnectionId connection = links_.Send(address_, CancelForwarded{1});
    RunFor(milliseconds(100));
    return connection;
  }

  /// Runs both processes, or only that of the links while the peer is paused.
  void RunFor(milliseconds time) {
    constexpr milliseconds kSlice{2};
    const BootTime end = BootClock::now() + time;
    while (BootClock::now() < end) {
      for (ReactorLoop* loop : {&loop_, &peer_loop_}) {
        if (loop == &loop_ || !peer_paused_) {
          loop->StartTimer(kSlice, [loop] { loop->Stop(); });
          loop->Run();
        }
      }
      max_connections_ = std::max(max_connections_, CountConnections());
    }
  }

  /// Connections that the links haven't closed.
  std::ptrdiff_t CountConnections() const {
    return std::count_if(proxy_.connections_.begin(), proxy_.connections_.end(),
                         [](const auto& entry) { return !entry.second->to_target_.ended_; });
  }

  void CheckSilenceIsNoticed(bool to_peer, bool from_peer) {
    const ConnectionId first = Send();
    stand_ins::SilenceConnections(proxy_, route_, to_peer, from_peer);
    RunFor(kReplacementTime);
    const std::vector<ConnectionId> expected{first};
    BOOST_TEST(replaced_ == expected, boost::test_tools::per_element());
    BOOST_TEST(lost_.empty());
    const ConnectionId second = Send();
    BOOST_TEST(second != first);
    BOOST_REQUIRE(connections_at_peer_.size() == 2U);
    BOOST_TEST(connections_at_peer_[0] != connections_at_peer_[1]);
    // The new one is sound and stays.
    RunFor(kReplacementTime);
    BOOST_TEST(replaced_.size() == 1U);
    BOOST_TEST(Send() == second);
  }

  ReactorLoop loop_;
  ReactorLoop peer_loop_;
  bool peer_paused_ = false;
  RouterShared shared_;
  PeerLinks links_{loop_, shared_};
  std::unique_ptr<PeerNetwork> peer_;
  stand_ins::Proxy proxy_{loop_};
  stand_ins::ProxyRoute route_;
  std::string address_;
  std::vector<ConnectionId> connections_at_peer_;
  std::ptrdiff_t max_connections_ = 0;
  std::vector<ConnectionId> answered_on_;
  std::vector<ConnectionId> lost_;
  bool lost_was_open_ = false;
  std::vector<ConnectionId> replaced_;
  AwaitedAnswers awaited_;
};

BOOST_FIXTURE_TEST_SUITE(PeerLink, PeerLinksFixture)

// Guards against messages to a peer that go on over a connection that is silent for good.
BOOST_AUTO_TEST_CASE(ASilentConnectionIsReplaced) { CheckSilenceIsNoticed(true, true); }

// Guards against the same where the peer still receives, so that only its answers are lost.
BOOST_AUTO_TEST_CASE(AConnectionWithoutAnswersIsReplaced) { CheckSilenceIsNoticed(false, true); }

// Guards against the same where answers would still arrive.
BOOST_AUTO_TEST_CASE(AConnectionThatDeliversNothingIsReplaced) {
  CheckSilenceIsNoticed(true, false);
}

// Guards against replacing a sound connection because nothing else confirms it: reports of the peer
// may be lost with the peer's own connection.
BOOST_AUTO_TEST_CASE(ASoundConnectionStays) {
  const ConnectionId first = Send();
  awaited_[first] = BootClock::now();
  RunFor(milliseconds(2500));
  BOOST_TEST(Send() == first);
  BOOST_TEST(replaced_.empty());
  BOOST_TEST(lost_.empty());
  BOOST_TEST(shared_.metrics_.CounterValue("sassafrasbay_peer_probes_total") > 0U);
}

// Guards against giving up the running requests of a VM that is only paused or slow for a while:
// closing its connection cancelled them there, and started idempotent ones again elsewhere. Also
// guards against connections to it that accumulate.
BOOST_AUTO_TEST_CASE(AnswersOfAPausedPeerStillArrive) {
  const ConnectionId first = Send();
  awaited_[first] = BootClock::now();
  peer_paused_ = true;
  RunFor(milliseconds(3000));
  BOOST_TEST(shared_.metrics_.CounterValue("sassafrasbay_peer_links_suspected_total") == 1U);
  BOOST_TEST(max_connections_ == 2);
  peer_paused_ = false;
  BOOST_REQUIRE(connections_at_peer_.size() == 1U);
  ForwardedAnswer answer;
  answer.number_ = 1;
  peer_->Send(connections_at_peer_[0], EncodeNodeMessage(answer));
  RunFor(milliseconds(300));
  const std::vector<ConnectionId> expected{first};
  BOOST_TEST(answered_on_ == expected, boost::test_tools::per_element());
  BOOST_TEST(replaced_.empty());
  BOOST_TEST(lost_.empty());
  BOOST_TEST(Send() == first);
}

// Guards against a request that may have run being taken for one that was never sent, and the
// reverse.
BOOST_AUTO_TEST_CASE(ALossTellsWhetherAnythingWasSent) {
  const ConnectionId first = Send();
  stand_ins::ProxyFaults faults;
  faults.refuse_ = true;
  route_.faults_[0] = faults;
  for (const auto& [pointer, connection] : proxy_.connections_) {
    shutdown(connection->to_target_.from_, SHUT_RDWR);
  }
  RunFor(milliseconds(200));
  BOOST_REQUIRE(lost_.size() == 1U);
  BOOST_TEST(lost_[0] == first);
  BOOST_TEST(lost_was_open_);
  const ConnectionId second = Send();
  RunFor(milliseconds(200));
  BOOST_REQUIRE(lost_.size() == 2U);
  BOOST_TEST(lost_[1] == second);
  BOOST_TEST(!lost_was_open_);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sassafrasbay
