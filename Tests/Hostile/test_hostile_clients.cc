#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <filesystem>
#include <iterator>
#include <string>
#include <utility>

#include "Hostile/crowd.h"
#include "Hostile/process_usage.h"
#include "Hostile/scripts.h"
#include "Soak/fleet_fixture.h"
#include "platform/wire_names.h"

namespace sassafrasbay::hostile {
namespace {

using soak::kOk;

constexpr int kNetwork = 120;

/// The node of the booking service that the clients connect to. Its route leads to the upstreams
/// beside this and other nodes.
constexpr std::size_t kNode = soak::kLookupNodes;

constexpr milliseconds kRoundInterval{5};

/// Clients stop after this many rounds, or when none of them has sent anything in
/// `kMaxQuietRounds`.
constexpr int kMaxRounds = 400;
constexpr int kMaxQuietRounds = 40;

constexpr milliseconds kServiceTimeout{20'000};
constexpr std::uint64_t kKibPerMb = 1024;

struct KindName {
  const char* name_;
  Kind kind_;
};

constexpr std::array<KindName, 12> kKinds = {{
    {"BodiesInOnePiece", Kind::kBodiesInOnePiece},
    {"BodiesInSmallPieces", Kind::kBodiesInSmallPieces},
    {"BodiesInChunks", Kind::kBodiesInChunks},
    {"UnfinishedBodies", Kind::kUnfinishedBodies},
    {"OversizeDeclared", Kind::kOversizeDeclared},
    {"OversizeUndeclared", Kind::kOversizeUndeclared},
    {"ManyHeaderFields", Kind::kManyHeaderFields},
    {"PipelinedUnread", Kind::kPipelinedUnread},
    {"SlowSenders", Kind::kSlowSenders},
    {"SlowReaders", Kind::kSlowReaders},
    {"HalfRequests", Kind::kHalfRequests},
    {"Silent", Kind::kSilent},
}};

const std::array<std::pair<const char*, Door>, 5> kDoors = {{
    {"Route", {7001, "/report/"}},
    {"UnknownPath", {7001, "/unknown/"}},
    {"Readiness", {7002, "/-/ready?"}},
    {"Heartbeats", {7003, "/"}},
    {"Peers", {7620, ""}},
}};

soak::FleetOptions Limits() {
  return {.memory_mb_ = static_cast<int>(kMemoryMb),
          .max_fds_ = static_cast<int>(kMaxFds),
          .for_callers_ = {{"max-header-bytes", kMaxHeaderBytes},
                           {"max-body-bytes", kMaxBodyBytes},
                           {"header-timeout", "1s"},
                           {"idle-timeout", "1s"}}};
}

std::size_t OpenDescriptors(pid_t process) {
  std::error_code error;
  const std::filesystem::directory_iterator entries("/proc/" + std::to_string(process) + "/fd",
                                                    error);
  return error ? 0 : static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

/// A fleet that all cases share. Each case starts the node under test anew, so that its peak of
/// resident memory belongs to this case.
struct HostileFixture : soak::FleetFixture {
  HostileFixture() : FleetFixture(kNetwork, Limits(), milliseconds(0)) {
    ledger_.AllowUnrecordedCallers();
  }

  /// Sends ordinary requests to the node until one of them is served.
  bool AwaitService() {
    const BootTime end = BootClock::now() + kServiceTimeout;
    while (BootClock::now() < end) {
      const std::string id = "ordinary-" + std::to_string(++ordinary_requests_);
      ledger_.OnSent(id, soak::RequestKind::kReport);
      HttpCall call;
      call.base_url_ = "http://" + fleet_.Vms()[kNode].host_ + ":7001";
      call.request_ = {"GET",
                       soak::RequestPath(soak::RequestKind::kReport, id),
                       {{"Host", "soak.example"}, {std::string(platform::kRequestIdHeader), id}},
                       {}};
      const HttpResult result = Get(std::move(call));
      if (result.response_ && result.response_.value().status_ == kOk) {
        return true;
      }
      RunFor(soak::kProbeInterval);
    }
    return false;
  }

  void RestartNode() {
    soak::Vm& vm = fleet_.Vms()[kNode];
    vm.process_->Kill();
    fleet_.StartProcess(vm);
    AwaitReady(vm);
    BOOST_REQUIRE(AwaitService());
  }

  /// Lets the crowd follow its scripts, and returns the highest number of descriptors seen.
  std::size_t RunCrowd(Crowd& crowd) {
    const pid_t process = fleet_.Vms()[kNode].process_->Id();
    std::size_t descriptors = 0;
    int quiet_rounds = 0;
    for (int round = 0; round < kMaxRounds && quiet_rounds < kMaxQuietRounds; ++round) {
      quiet_rounds = crowd.RunRound() ? 0 : quiet_rounds + 1;
      descriptors = std::max(descriptors, OpenDescriptors(process));
      RunFor(kRoundInterval);
    }
    return descriptors;
  }

  std::uint64_t ordinary_requests_ = 0;
};

HostileFixture* fleet = nullptr;

/// Owns the fleet for the duration of the program.
struct FleetOwner {
  FleetOwner() { fleet = &fixture_; }
  ~FleetOwner() { fleet = nullptr; }
  FleetOwner(const FleetOwner&) = delete;
  FleetOwner& operator=(const FleetOwner&) = delete;
  HostileFixture fixture_;
};

void CheckNodeEndures(Kind kind, const Door& door) {
  fleet->RestartNode();
  const soak::Vm& vm = fleet->fleet_.Vms()[kNode];
  std::size_t descriptors = 0;
  {
    Crowd crowd(vm.host_, door.port_, MakeScripts(kind, door));
    descriptors = fleet->RunCrowd(crowd);
  }
  const std::uint64_t resident_mb = PeakResidentKib(vm.process_->Id()) / kKibPerMb;
  BOOST_TEST_MESSAGE("peak resident MB " << resident_mb << ", descriptors " << descriptors);
  BOOST_TEST(resident_mb < kMemoryMb);
  BOOST_TEST(descriptors < kMaxFds);
  BOOST_TEST(fleet->AwaitService());
  for (const soak::Vm& each : fleet->fleet_.Vms()) {
    BOOST_TEST(each.process_->IsRunning(), each.name_ << " has ended");
  }
}

// Each case guards against clients of one kind at one port that exhaust the memory or the file
// descriptors of a node, end its process, or leave it unable to serve.
bool AddCases() {
  auto* suite = BOOST_TEST_SUITE("HostileClients");
  for (const auto& [door_name, door] : kDoors) {
    auto* door_suite = BOOST_TEST_SUITE(door_name);
    for (const KindName& kind : kKinds) {
      door_suite->add(boost::unit_test::make_test_case(
          [kind = kind.kind_, door = door] { CheckNodeEndures(kind, door); }, kind.name_, __FILE__,
          __LINE__));
    }
    suite->add(door_suite);
  }
  boost::unit_test::framework::master_test_suite().add(suite);
  return true;
}

BOOST_TEST_GLOBAL_FIXTURE(FleetOwner);

}  // namespace
}  // namespace sassafrasbay::hostile

int main(int argc, char* argv[]) {
  return boost::unit_test::unit_test_main(&sassafrasbay::hostile::AddCases, argc, argv);
}
