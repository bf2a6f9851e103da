#define BOOST_TEST_MODULE EndlessUpstreams
#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "Hostile/crowd.h"
#include "Hostile/process_usage.h"
#include "Hostile/scripts.h"
#include "LibTransport/http_server.h"
#include "LibTransport/stub_upstream.h"
#include "Soak/fleet_fixture.h"
#include "platform/wire_names.h"

namespace sassafrasbay::hostile {
namespace {

constexpr int kFirstNetwork = 150;
constexpr std::uint16_t kStubPort = 8001;
constexpr std::uint16_t kCallersPort = 7001;

/// Memory of the smallest VMs in MB.
constexpr int kSmallestMemoryMb = 160;

/// The node of the booking service beside the upstream in trouble, and one that forwards to it.
constexpr std::size_t kNodeBeside = soak::kLookupNodes;
constexpr std::size_t kOtherNode = 0;

/// Callers that wait for an answer at the same time.
constexpr int kCallers = 240;

/// Size of complete answers: below the limit, and together several times the memory.
constexpr std::size_t kLargeAnswerBytes = 6U << 20U;

constexpr milliseconds kTroubleDuration{8000};
constexpr milliseconds kRoundInterval{5};
constexpr milliseconds kServiceTimeout{20'000};

/// A fleet on the smallest VMs, whose booking upstreams are played by the test.
struct EndlessFixture : soak::FleetFixture {
  EndlessFixture()
      : FleetFixture(kFirstNetwork,
                     {.memory_mb_ = kSmallestMemoryMb, .upstream_port_ = kStubPort}) {
    ledger_.AllowUnrecordedCallers();
  }

  std::string Host(std::size_t node) { return fleet_.Vms()[node].host_; }

  /// Lets the upstreams of the booking service begin each answer with `start`, and go on without
  /// end.
  void AnswerWithoutEnd(const std::string& start, const std::string& repeated) {
    for (std::size_t node = kNodeBeside; node < fleet_.Vms().size(); ++node) {
      stubs_.push_back(std::make_unique<StubUpstream>(loop_, Host(node), kStubPort));
      stubs_.back()->answer_ = [this, start](int, const std::string& id) {
        const std::string head =
            "HTTP/1.1 200 OK\r\n" + std::string(platform::kRequestIdHeader) + ": " + id + "\r\n";
        return is_in_trouble_ ? (start.starts_with("HTTP/") ? start : head + start)
                              : head + "Content-Length: 0\r\n\r\n";
      };
      stubs_.back()->endless_text_ = repeated;
      stubs_.back()->is_endless_ = [this] { return is_in_trouble_; };
    }
  }

  /// Lets the upstreams of the booking service send complete answers of legal size.
  void AnswerWithLargeBodies() {
    for (std::size_t node = kNodeBeside; node < fleet_.Vms().size(); ++node) {
      servers_.push_back(std::move(
          HttpServerBuilder(loop_)
              .Listen(Host(node), kStubPort)
              .OnRequest([this](const std::shared_ptr<HttpExchange>& exchange) {
                const auto id =
                    FindHeader(exchange->Request().headers_, platform::kRequestIdHeader);
                exchange->Respond({soak::kOk,
                                   {{std::string(platform::kRequestIdHeader), std::string(id)}},
                                   std::string(is_in_trouble_ ? kLargeAnswerBytes : 1, 'a')});
              })
              .Build()
              .value()));
    }
  }

  /// Requests of callers that read the answers as told.
  std::vector<Script> Requests(Reading reading) {
    std::vector<Script> scripts;
    for (int i = 0; i < kCallers; ++i) {
      const std::string id = "endless-" + std::to_string(++requests_);
      Script script;
      script.head_ = "GET " + soak::RequestPath(soak::RequestKind::kReport, id) +
                     " HTTP/1.1\r\nHost: soak.example\r\n" +
                     std::string(platform::kRequestIdHeader) + ": " + id + "\r\n\r\n";
      script.reading_ = reading;
      scripts.push_back(std::move(script));
    }
    return scripts;
  }

  /// Ends the trouble, but not the connections of the callers.
  void Play(const std::vector<Crowd*>& crowds) {
    const BootTime end = BootClock::now() + kTroubleDuration;
    while (BootClock::now() < end) {
      for (Crowd* crowd : crowds) {
        crowd->RunRound();
      }
      RunFor(kRoundInterval);
    }
    is_in_trouble_ = false;
  }

  bool AwaitService(std::size_t node) {
    const BootTime end = BootClock::now() + kServiceTimeout;
    while (BootClock::now() < end) {
      const std::string id = "ordinary-" + std::to_string(++requests_);
      HttpCall call;
      call.base_url_ = "http://" + Host(node) + ":" + std::to_string(kCallersPort);
      call.request_ = {"GET",
                       soak::RequestPath(soak::RequestKind::kReport, id),
                       {{"Host", "soak.example"}, {std::string(platform::kRequestIdHeader), id}},
                       {}};
      const HttpResult result = Get(std::move(call));
      if (result.response_ && result.response_.value().status_ == soak::kOk) {
        return true;
      }
      RunFor(soak::kProbeInterval);
    }
    return false;
  }

  void CheckNodesEndured() {
    for (const std::size_t node : {kNodeBeside, kOtherNode}) {
      const soak::Vm& vm = fleet_.Vms()[node];
      const std::uint64_t resident_mb = PeakResidentKib(vm.process_->Id()) / 1024;
      BOOST_TEST_MESSAGE(vm.name_ << " peak resident MB " << resident_mb);
      BOOST_TEST(resident_mb > 0U);
      BOOST_TEST(resident_mb < static_cast<std::uint64_t>(kSmallestMemoryMb));
      BOOST_TEST(AwaitService(node));
    }
    for (const soak::Vm& vm : fleet_.Vms()) {
      BOOST_TEST(vm.process_->IsRunning(), vm.name_ << " has ended");
    }
  }

  bool is_in_trouble_ = true;
  std::vector<std::unique_ptr<StubUpstream>> stubs_;
  std::vector<std::unique_ptr<HttpServer>> servers_;
  int requests_ = 0;
};

BOOST_FIXTURE_TEST_SUITE(Endless, EndlessFixture)

// Each case guards against upstreams that exhaust the memory of the node beside them, or of the one
// where the requests began, so that the requests of all its callers end with its process.

BOOST_AUTO_TEST_CASE(BodiesWithoutALength) {
  AnswerWithoutEnd("\r\n", std::string(1U << 20U, 'x'));
  Crowd local(Host(kNodeBeside), kCallersPort, Requests(Reading::kAll));
  Crowd forwarded(Host(kOtherNode), kCallersPort, Requests(Reading::kAll));
  Play({&local, &forwarded});
  CheckNodesEndured();
}

BOOST_AUTO_TEST_CASE(Heads) {
  std::string fields;
  while (fields.size() < (1U << 20U)) {
    fields += "Name-" + std::to_string(fields.size()) + ": value\r\n";
  }
  AnswerWithoutEnd("Name: value\r\n", fields);
  Crowd local(Host(kNodeBeside), kCallersPort, Requests(Reading::kAll));
  Crowd forwarded(Host(kOtherNode), kCallersPort, Requests(Reading::kAll));
  Play({&local, &forwarded});
  CheckNodesEndured();
}

BOOST_AUTO_TEST_CASE(InterimResponses) {
  std::string responses;
  while (responses.size() < (1U << 20U)) {
    responses += "HTTP/1.1 102 Processing\r\nName: value\r\n\r\n";
  }
  AnswerWithoutEnd("HTTP/1.1 102 Processing\r\n\r\n", responses);
  Crowd local(Host(kNodeBeside), kCallersPort, Requests(Reading::kAll));
  Crowd forwarded(Host(kOtherNode), kCallersPort, Requests(Reading::kAll));
  Play({&local, &forwarded});
  CheckNodesEndured();
}

BOOST_AUTO_TEST_CASE(BodiesBesideBodiesOfCallers) {
  AnswerWithoutEnd("\r\n", std::string(1U << 20U, 'x'));
  Crowd local(Host(kNodeBeside), kCallersPort, Requests(Reading::kAll));
  Crowd senders(Host(kNodeBeside), kCallersPort,
                MakeScripts(Kind::kUnfinishedBodies, {kCallersPort, "/report/"}));
  Play({&local, &senders});
  CheckNodesEndured();
}

BOOST_AUTO_TEST_CASE(LargeAnswersThatNobodyReads) {
  AnswerWithLargeBodies();
  Crowd local(Host(kNodeBeside), kCallersPort, Requests(Reading::kNever));
  Play({&local});
  CheckNodesEndured();
}

BOOST_AUTO_TEST_CASE(LargeAnswersThatOthersReadSlowly) {
  AnswerWithLargeBodies();
  Crowd forwarded(Host(kOtherNode), kCallersPort, Requests(Reading::kSlowly));
  Play({&forwarded});
  CheckNodesEndured();
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sassafrasbay::hostile
