#define BOOST_TEST_MODULE SilentConnections
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <string>
#include <vector>

#include "Soak/fleet_fixture.h"
#include "platform/wire_names.h"

namespace sassafrasbay::soak {
namespace {

constexpr int kFirstNetwork = 80;

/// Time after which connections that went silent no longer affect requests.
constexpr milliseconds kRecoveryTime{3000};

/// Fraction of the requests that are served once they don't.
constexpr double kRecoveredFraction = 0.95;

constexpr milliseconds kCallInterval{10};
constexpr milliseconds kMeasuredTime{3000};
constexpr milliseconds kDeadline{800};
constexpr milliseconds kLongDeadline{12'000};

/// Time from SIGTERM to SIGKILL, as in the fleet's settings.
constexpr milliseconds kGracePeriod{6000};

constexpr int kGatewayTimeout = 504;

struct Exchange {
  std::string id_;
  int status_ = 0;  ///< 0 while there is no response.
};

/// Callers at each node, while connections between the nodes go silent.
struct SilentFixture : FleetFixture {
  SilentFixture() : FleetFixture(kFirstNetwork) {}

  void Send(Vm& vm, RequestKind kind, milliseconds deadline) {
    const std::size_t index = exchanges_.size();
    const std::string id = "silent-" + std::to_string(network_) + "-" + std::to_string(index);
    exchanges_.push_back({id});
    ledger_.OnSent(id, kind);
    UpstreamCall call;
    call.request_ = {
        "POST",
        RequestPath(kind, id),
        {{"Host", "soak.example"},
         {std::string(platform::kRequestIdHeader), id},
         {std::string(platform::kShardKeyHeader), std::to_string(index * 7919 % 65536)},
         {std::string(platform::kRemainingTimeHeader), std::to_string(deadline.count())}},
        RequestBody(kind, id)};
    call.timeout_ = deadline + milliseconds(500);
    vm.callers_->Start(std::move(call), [this, index](UpstreamResult result) {
      if (result.response_) {
        exchanges_[index].status_ = result.response_.value().status_;
        ledger_.OnAnswer(exchanges_[index].id_, result.response_.value());
      }
    });
  }

  void Silence(bool to_node, bool from_node) {
    for (std::size_t node = 0; node < fleet_.Vms().size(); ++node) {
      fleet_.SilencePeerConnections(node, to_node, from_node);
    }
  }

  /// Fraction of requests of short duration at all nodes that are served.
  double ServedFraction(milliseconds time) {
    const std::size_t first = exchanges_.size();
    std::size_t next = 0;
    const auto timer = loop_.StartRepeatingTimer(kCallInterval, [&] {
      Send(fleet_.Vms()[next % fleet_.Vms().size()],
           next % 2 == 0 ? RequestKind::kBooking : RequestKind::kLookup, kDeadline);
      ++next;
    });
    RunFor(time);
    loop_.CancelTimer(timer);
    RunFor(kDeadline);
    const auto served =
        std::count_if(exchanges_.begin() + static_cast<std::ptrdiff_t>(first), exchanges_.end(),
                      [](const Exchange& exchange) { return exchange.status_ == kOk; });
    return static_cast<double>(served) / static_cast<double>(exchanges_.size() - first);
  }

  void CheckServiceReturns(bool to_node, bool from_node) {
    Silence(to_node, from_node);
    RunFor(kRecoveryTime);
    BOOST_TEST(ServedFraction(kMeasuredTime) >= kRecoveredFraction);
    BOOST_TEST(ledger_.Violations().empty());
  }

  /// Sends slow requests at a node whose connections then fail, and stops the node.
  void StopWithOpenRequests(const std::function<void()>& fail_connections) {
    for (const Vm& vm : fleet_.Vms()) {
      vm.target_->SetLongWork(milliseconds(2500));
    }
    Vm& stopping = fleet_.Vms()[0];
    for (int i = 0; i < 6; ++i) {
      Send(stopping, RequestKind::kLong, kLongDeadline);
    }
    RunFor(milliseconds(300));
    fail_connections();
    stopping.process_->Terminate();
    const BootTime end = BootClock::now() + kGracePeriod;
    while (stopping.process_->IsRunning() && BootClock::now() < end) {
      RunFor(kProbeInterval);
    }
    RunFor(milliseconds(100));
  }

  std::vector<Exchange> exchanges_;
};

BOOST_FIXTURE_TEST_SUITE(SilentConnections, SilentFixture)

// Guards against service that stays down after connections between nodes have gone silent for good:
// nodes replaced sound connections, since the reports on them seemed to confirm others.
BOOST_AUTO_TEST_CASE(ServiceReturnsAfterConnectionsGoSilent) { CheckServiceReturns(true, true); }

// Guards against the same if only requests are lost, or only answers.
BOOST_AUTO_TEST_CASE(ServiceReturnsAfterOneDirectionGoesSilent) {
  CheckServiceReturns(true, false);
  CheckServiceReturns(false, true);
}

// Guards against service that stays down when only the connections towards one node are silent, so
// that this node hears nothing and the others hear it.
BOOST_AUTO_TEST_CASE(ServiceReturnsAfterConnectionsToOneNodeGoSilent) {
  fleet_.SilencePeerConnections(kLookupNodes, true, true);
  RunFor(kRecoveryTime);
  BOOST_TEST(ServedFraction(kMeasuredTime) >= kRecoveredFraction);
}

// Guards against requests that may run only once and are given up with their connection, although
// their upstream goes on and their callers wait: the answer is delivered over a new connection.
BOOST_AUTO_TEST_CASE(RunningRequestsOutliveTheirConnection) {
  for (const Vm& vm : fleet_.Vms()) {
    vm.target_->SetLongWork(milliseconds(3000));
  }
  constexpr std::size_t kRequests = 20;
  for (std::size_t i = 0; i < kRequests; ++i) {
    Send(fleet_.Vms()[i % kLookupNodes], RequestKind::kLong, kLongDeadline);
  }
  RunFor(milliseconds(500));
  Silence(true, true);
  RunFor(milliseconds(6000));
  for (const Exchange& exchange : exchanges_) {
    BOOST_TEST(exchange.status_ == kOk, exchange.id_ << " status " << exchange.status_);
  }
  BOOST_TEST(ledger_.Violations().empty());
}

// Guards against a whole request that gets neither an answer nor a refusal (LOST on
// kcrw-waxrota-grown): it waits on a connection that has gone silent while its node is stopped, and
// the process ends.
BOOST_AUTO_TEST_CASE(AStoppingNodeDeliversAnswersOfSilentConnections) {
  StopWithOpenRequests([this] { Silence(true, true); });
  for (const Exchange& exchange : exchanges_) {
    BOOST_TEST(exchange.status_ == kOk, exchange.id_ << " status " << exchange.status_);
  }
}

// Guards against the same where no other connection works either: the caller is told before the
// process ends.
BOOST_AUTO_TEST_CASE(AStoppingNodeEndsRequestsOfUnreachableNodes) {
  StopWithOpenRequests([this] {
    stand_ins::ProxyFaults cut;
    cut.cut_to_target_ = cut.cut_from_target_ = true;
    for (std::size_t node = 0; node < fleet_.Vms().size(); ++node) {
      fleet_.SetPeerFaults(node, 0, cut);
    }
  });
  for (const Exchange& exchange : exchanges_) {
    BOOST_TEST(exchange.status_ == kGatewayTimeout, exchange.id_ << " status " << exchange.status_);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sassafrasbay::soak
