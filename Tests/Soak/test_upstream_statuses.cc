#define BOOST_TEST_MODULE UpstreamStatuses
#include <array>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "LibTransport/stub_upstream.h"
#include "Soak/fleet_fixture.h"
#include "platform/wire_names.h"

namespace sassafrasbay::soak {
namespace {

constexpr int kFirstNetwork = 130;
constexpr std::uint16_t kStubPort = 8001;
constexpr int kBadGateway = 502;

/// A fleet whose booking nodes send requests to stubs that answer with bytes of the test.
struct StatusFixture : FleetFixture {
  StatusFixture() : FleetFixture(kFirstNetwork, {.upstream_port_ = kStubPort}) {
    for (std::size_t node = kLookupNodes; node < fleet_.Vms().size(); ++node) {
      stubs_.push_back(std::make_unique<StubUpstream>(loop_, fleet_.Vms()[node].host_, kStubPort));
      stubs_.back()->answer_ = [this](int, const std::string& id) {
        return status_line_ + "\r\n" + std::string(platform::kRequestIdHeader) + ": " + id +
               "\r\nContent-Length: " + length_ + "\r\n\r\n" + body_;
      };
    }
  }

  /// Status of the answer to a request that may run only once, at the node.
  int Book(std::size_t node) {
    HttpCall call;
    call.base_url_ = "http://" + fleet_.Vms()[node].host_ + ":7001";
    const std::string id = "status-" + std::to_string(++calls_);
    call.request_ = {"POST",
                     RequestPath(RequestKind::kBooking, id),
                     {{"Host", "soak.example"}, {std::string(platform::kRequestIdHeader), id}},
                     "booking"};
    const HttpResult result = Get(std::move(call));
    return result.response_ ? result.response_.value().status_ : 0;
  }

  int Requests() const {
    int requests = 0;
    for (const auto& stub : stubs_) {
      requests += stub->requests_;
    }
    return requests;
  }

  int Connections() const {
    int connections = 0;
    for (const auto& stub : stubs_) {
      connections += stub->connections_;
    }
    return connections;
  }

  std::string status_line_ = "HTTP/1.1 200 OK";
  std::string length_ = "0";
  std::string body_;
  std::vector<std::unique_ptr<StubUpstream>> stubs_;
  int calls_ = 0;
};

/// A node beside an upstream of the route's service, and one that forwards all requests.
constexpr std::array<std::size_t, 2> kNodes = {kLookupNodes, 0};

BOOST_FIXTURE_TEST_SUITE(UpstreamStatuses, StatusFixture)

// Guards against a request that waits until its deadline, or a status that reaches a caller, when
// an upstream sends a status that is none; and against a connection that is used again afterwards.
BOOST_AUTO_TEST_CASE(AStatusThatIsNoneGivesBadGateway) {
  for (const std::string line :
       {"HTTP/1.1 000 None", "HTTP/1.1 099 Below", "HTTP/1.1 600 Above", "HTTP/1.1 20 OK",
        "HTTP/1.1 2000 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1 ", "HTTP/1.1 101 Other", "HTTP/0.9 200 OK",
        "an old response"}) {
    status_line_ = line;
    for (const std::size_t node : kNodes) {
      BOOST_TEST(Book(node) == kBadGateway, line << " at node " << node);
    }
  }
  BOOST_TEST(Requests() == calls_);
  BOOST_TEST(Connections() == calls_);
}

// Guards against an interim status that passes for the response.
BOOST_AUTO_TEST_CASE(AnInterimStatusAsTheLastGivesBadGateway) {
  status_line_ = "HTTP/1.1 100 Continue";
  for (const auto& stub : stubs_) {
    stub->close_after_answer_ = true;
  }
  for (const std::size_t node : kNodes) {
    BOOST_TEST(Book(node) == kBadGateway);
  }
}

// Guards against a valid response that is refused since it has no reason phrase.
BOOST_AUTO_TEST_CASE(AStatusWithoutAReasonPhraseIsDelivered) {
  for (const std::string line : {"HTTP/1.1 200", "HTTP/1.1 200 "}) {
    status_line_ = line;
    for (const std::size_t node : kNodes) {
      BOOST_TEST(Book(node) == kOk, line << " at node " << node);
    }
  }
}

// Guards against a process that ends, with the requests of all its callers, because an upstream
// declares a body far above any limit.
BOOST_AUTO_TEST_CASE(ALengthOverTheLimitEndsNoProcess) {
  for (const std::string length : {"30000000000", "9007199254740992"}) {
    length_ = length;
    body_ = "some bytes";
    for (const std::size_t node : kNodes) {
      BOOST_TEST(Book(node) == kBadGateway, length << " at node " << node);
    }
  }
  length_ = "0";
  body_.clear();
  for (const std::size_t node : kNodes) {
    BOOST_TEST(Book(node) == kOk);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sassafrasbay::soak
