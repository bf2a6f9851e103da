#define BOOST_TEST_MODULE StoreRecords
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "LibOwnership/fleet_records.h"
#include "LibTransport/upstream_client.h"
#include "Soak/keys_fixture.h"
#include "platform/wire_names.h"
#include "router/key_table_writer.h"

namespace sassafrasbay::soak {
namespace {

/// From an acknowledgement to the kill of the process that gave it.
constexpr milliseconds kKillDelay{200};

/// Interval between requests, and the time by which each of them has ended.
constexpr milliseconds kCallInterval{20};
constexpr milliseconds kCallTimeout{1000};

/// Time in which the platform requires the acknowledgement of a drain or leave.
constexpr milliseconds kMaxAcknowledgementDelay{4000};

/// Duration of the requests after a restart; longer than the platform's drain timeout.
constexpr milliseconds kCallDuration{3000};

constexpr int kFirstNetwork = 90;

struct RecordsFixture : KeysFixture {
  RecordsFixture() : KeysFixture(kFirstNetwork) {}

  /// A heartbeat of another writer that looks like one of a later incarnation of the upstream.
  static HttpCall ForeignHeartbeat(const Vm& vm) {
    HttpCall call = vm.target_->HeartbeatCall();
    call.request_.path_ = "/-/instances/i-foreign/heartbeat";
    nlohmann::json body = nlohmann::json::parse(call.request_.body_);
    body["born"] = 4102444800000;
    body["status"]["sequence"] = 1;
    body["holds"] = nlohmann::json::array();
    call.request_.body_ = body.dump();
    return call;
  }

  /// Checks that the target holds the key alone for as long as a grant lasts.
  void CheckKeyStays(const Vm& vm, int key) {
    for (int i = 0; i < 40; ++i) {
      RunFor(milliseconds(100));
      BOOST_TEST(vm.target_->Holds(key));
      BOOST_TEST(CountHolders(key) == 1);
    }
  }

  /// Sends requests to the booking service at each node in turn. Returns how many were served.
  int CallBookingService(milliseconds duration) {
    HttpClient callers(loop_, kNodes);
    int served = 0;
    std::size_t sent = 0;
    const auto timer = loop_.StartRepeatingTimer(kCallInterval, [&] {
      const std::string id = "call-" + std::to_string(network_) + "-" + std::to_string(++calls_);
      HttpCall call;
      call.base_url_ = "http://" + fleet_.Vms()[sent++ % fleet_.Vms().size()].host_ + ":7001";
      call.request_ = {"GET",
                       RequestPath(RequestKind::kReport, id),
                       {{"Host", "soak.example"}, {std::string(platform::kRequestIdHeader), id}},
                       RequestBody(RequestKind::kReport, id)};
      ledger_.OnSent(id, RequestKind::kReport);
      callers.Start(std::move(call), [&](const HttpResult& result) {
        served += result.response_ && result.response_.value().status_ == kOk ? 1 : 0;
      });
    });
    RunFor(duration);
    loop_.CancelTimer(timer);
    RunFor(kCallTimeout);
    return served;
  }

  bool AwaitLeavingAcknowledged(const Vm& vm, milliseconds limit) {
    const BootTime end = BootClock::now() + limit;
    while (vm.target_->LeavingAcknowledged() == BootTime{} && BootClock::now() < end) {
      RunFor(kProbeInterval);
    }
    return vm.target_->LeavingAcknowledged() != BootTime{};
  }

  /// Kills all processes shortly after an acknowledgement, and checks that the target which has
  /// left gets no requests although the heartbeat arrives after it.
  void CheckNoRequestsAfterKill(const HttpCall& late_heartbeat) {
    RunFor(kKillDelay);
    KillAndRestartAll();
    BOOST_TEST(Get(late_heartbeat).response_.has_value());
    BOOST_TEST(CallBookingService(kCallDuration) > 0);
    BOOST_TEST(ledger_.Violations().empty());
  }

  int calls_ = 0;
};

BOOST_FIXTURE_TEST_SUITE(ConfigurationInForce, RecordsFixture)

// Guards against a configuration in force too late because the nodes that read the store for the
// others, and the next ones in their place, have silently lost it.
BOOST_AUTO_TEST_CASE(NodeThatReachesTheStoreNeedsNoReader) {
  const stand_ins::ProxyFaults silent{true, true};
  const std::size_t last = fleet_.Vms().size() - 1;
  for (std::size_t node = 0; node < last; ++node) {
    fleet_.SetStoreFaults(node, silent);
  }
  const std::uint64_t version = fleet_.WriteConfiguration();
  BOOST_TEST(AwaitConfiguration(last, version, kMaxConfigurationDelay));
}

// Guards against the same while the readers are frozen, so that nobody hears from them.
BOOST_AUTO_TEST_CASE(FrozenReadersDontDelayAConfiguration) {
  const std::size_t frozen = fleet_.Vms().size() / 2;
  for (std::size_t node = 0; node < frozen; ++node) {
    fleet_.Vms()[node].process_->Pause();
  }
  const std::uint64_t version = fleet_.WriteConfiguration();
  BOOST_TEST(AwaitConfiguration(frozen, version, kMaxConfigurationDelay));
  for (std::size_t node = 0; node < frozen; ++node) {
    fleet_.Vms()[node].process_->Resume();
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(OddRecords, RecordsFixture)

// Guards against two owners of a key (OWNER): a heartbeat of another writer, with a service that no
// configuration names, passed for a new incarnation, and the keys of the upstream that was up went
// to others while its grant ran on.
BOOST_AUTO_TEST_CASE(ForeignHeartbeatMovesNoKeys) {
  const Vm& vm = fleet_.Vms()[0];
  const int key = AwaitSingleHolder(vm);
  HttpCall call = ForeignHeartbeat(vm);
  call.request_.body_ = R"({"addr":"127.0.0.1:1","born":4102444800000,"info":{"service":"unknown",)"
                        R"("capacity":8},"status":{"state":"ready","sequence":1}})";
  BOOST_TEST(Get(call).response_.value().status_ == 400);
  CheckKeyStays(vm, key);
}

// Guards against the same if the heartbeat names the service and the address of the upstream, so
// that it looks like one of a later incarnation.
BOOST_AUTO_TEST_CASE(ForeignHeartbeatOfTheSameServiceMovesNoKeys) {
  const Vm& vm = fleet_.Vms()[0];
  const int key = AwaitSingleHolder(vm);
  BOOST_TEST(Get(ForeignHeartbeat(vm)).response_.value().status_ == kOk);
  CheckKeyStays(vm, key);
}

// Guards against the same if the other writer goes on, so that its heartbeats come two in a row,
// and against an upstream that gets no grants afterwards since its heartbeats count as outdated.
BOOST_AUTO_TEST_CASE(ForeignHeartbeatsInARowMoveNoKeys) {
  constexpr milliseconds kInterval{200};
  const Vm& vm = fleet_.Vms()[0];
  const int key = AwaitSingleHolder(vm);
  HttpCall call = ForeignHeartbeat(vm);
  nlohmann::json body = nlohmann::json::parse(call.request_.body_);
  std::uint64_t sequence = 0;
  HttpClient writer(loop_, 1);
  const auto timer = loop_.StartRepeatingTimer(kInterval, [&] {
    body["status"]["sequence"] = ++sequence;
    call.request_.body_ = body.dump();
    writer.Start(call, [](const HttpResult&) {});
  });
  CheckKeyStays(vm, key);
  loop_.CancelTimer(timer);
  CheckKeyStays(vm, key);
}

// Guards against the same by a heartbeat in which a field is missing, or that names another
// upstream than the one beside the node.
BOOST_AUTO_TEST_CASE(IncompleteAndMisdirectedHeartbeatsAreRejected) {
  const Vm& vm = fleet_.Vms()[0];
  const HttpCall foreign = ForeignHeartbeat(vm);
  const nlohmann::json complete = nlohmann::json::parse(foreign.request_.body_);
  std::vector<nlohmann::json> bodies;
  for (const char* field :
       {"/born", "/info/version", "/info/zone", "/status/cold-left", "/holds", "/freed", "/addr"}) {
    bodies.push_back(complete);
    bodies.back()[nlohmann::json::json_pointer(field)] = nullptr;
    bodies.push_back(complete.patch({{{"op", "remove"}, {"path", field}}}));
  }
  for (const auto& [field, value] : {std::pair("/addr", "127.0.0.1:1"), {"/info/zone", "other"}}) {
    bodies.push_back(complete);
    bodies.back()[nlohmann::json::json_pointer(field)] = value;
  }
  for (const nlohmann::json& body : bodies) {
    HttpCall call = foreign;
    call.request_.body_ = body.dump();
    BOOST_TEST(Get(call).response_.value().status_ == 400, body.dump());
  }
}

// Guards against a process that ends because the id of another writer can't be recorded.
BOOST_AUTO_TEST_CASE(OddIdsEndNoProcess) {
  const Vm& vm = fleet_.Vms()[0];
  const HttpCall foreign = ForeignHeartbeat(vm);
  for (const std::string id : {"\xff\xfe", "i-\xc3", "\xed\xa0\x80", "i-\xe9"}) {
    for (const std::string suffix : {"/leave", "/heartbeat"}) {
      UpstreamCall call;
      call.request_ = foreign.request_;
      call.request_.path_ = std::string(platform::kInstancesPath).append(id).append(suffix);
      call.request_.headers_.emplace_back("Host", "node");
      // libcurl would encode the bytes of the path.
      UpstreamClient client(loop_);
      client.SetAddress(foreign.base_url_.substr(std::string_view("http://").size()));
      int status = 0;
      client.Start(std::move(call), [&](const UpstreamResult& result) {
        status = result.response_ ? result.response_.value().status_ : 0;
        loop_.Stop();
      });
      loop_.Run();
      BOOST_TEST(status == kNotFound);
    }
  }
  RunFor(kSettlingTime);
  BOOST_TEST(vm.process_->IsRunning());
}

// Guards against keys that stay without a holder for a further heartbeat interval after all VMs
// have lost power: the first heartbeat of the next incarnation alone doesn't prove that the earlier
// one has ended, but its port does.
BOOST_AUTO_TEST_CASE(AFirstHeartbeatIsConfirmedAtThePort) {
  const int key = AwaitSingleHolder(fleet_.Vms()[0]);
  for (const Vm& vm : fleet_.Vms()) {
    vm.process_->Kill();
    vm.target_->Crash();
  }
  for (Vm& vm : fleet_.Vms()) {
    fleet_.StartProcess(vm);
  }
  for (const Vm& vm : fleet_.Vms()) {
    AwaitReady(vm);
  }
  for (const Vm& vm : fleet_.Vms()) {
    vm.target_->Start();
  }
  const Vm& vm = fleet_.Vms()[0];
  const BootTime end = BootClock::now() + kStartTimeout;
  while (CountHolders(key) == 0 && BootClock::now() < end) {
    RunFor(kProbeInterval);
  }
  BOOST_TEST(CountHolders(key) == 1);
  BOOST_TEST(vm.target_->HeartbeatsSent() == 1U);
}

// Guards against one odd record that ends every process which reads it, again after each restart.
BOOST_AUTO_TEST_CASE(RecordsOfAnotherWriterEndNoProcess) {
  constexpr std::size_t kDepth = 100'000;
  const std::string nested = std::string(kDepth, '[') + std::string(kDepth, ']');
  const std::string node_key(kNodePrefix);
  const std::string table_key = std::string(kTablePrefix) + "lookup";
  for (const std::string& value : {nested, std::string("{\"data_centre\":7,\"life\":\"a\"}"),
                                   std::string("{\"data_centre\":{},\"life\":[]}"),
                                   std::string("[1e999]"), std::string("\xff\xfe")}) {
    fleet_.Store().Append(kFleetTopic, node_key + "127.0.0.1:7620", value);
    fleet_.Store().Append(kFleetTopic, table_key, value);
    fleet_.Store().Append(platform::kOperatorTopic, platform::kConfigurationKey, value);
  }
  // A sound registration at an address that can't exist.
  for (const char* address : {"127.0.0.1:99999", "nowhere", "", "127.0.0.1:-1"}) {
    fleet_.Store().Append(kFleetTopic, node_key + address,
                          "{\"data_centre\":\"dc-0\",\"life\":\"a\"}");
  }
  RunFor(kSettlingTime);
  const std::uint64_t version = fleet_.WriteConfiguration();
  for (std::size_t node = 0; node < fleet_.Vms().size(); ++node) {
    BOOST_TEST(fleet_.Vms()[node].process_->IsRunning(), fleet_.Vms()[node].name_);
    BOOST_TEST(AwaitConfiguration(node, version, kMaxConfigurationDelay));
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(LeavingTargets, RecordsFixture)

// Guards against requests to a target that has left (DRAIN): the leave was acknowledged and all
// processes were killed 0.2 s later, so that none of them remembered it when a heartbeat from
// before the leave arrived late.
BOOST_AUTO_TEST_CASE(AnAcknowledgedLeaveOutlivesAllProcesses) {
  const Vm& vm = fleet_.Vms().back();
  const HttpCall late_heartbeat = vm.target_->HeartbeatCall();
  vm.target_->LeaveFirst();
  BOOST_REQUIRE(AwaitLeavingAcknowledged(vm, kMaxAcknowledgementDelay));
  CheckNoRequestsAfterKill(late_heartbeat);
}

// Guards against the same while the store is away: a leave that can't be recorded isn't
// acknowledged, the target gets no requests all the same, and the leave is recorded when the store
// is back.
BOOST_AUTO_TEST_CASE(ALeaveIsAcknowledgedOnceItIsRecorded) {
  const Vm& vm = fleet_.Vms().back();
  const HttpCall late_heartbeat = vm.target_->HeartbeatCall();
  fleet_.Store().fault_ = stand_ins::StoreFault::kRefuse;
  vm.target_->LeaveFirst();
  BOOST_TEST(!AwaitLeavingAcknowledged(vm, kMaxAcknowledgementDelay));
  const int runs = vm.target_->Runs();
  BOOST_TEST(CallBookingService(milliseconds(1000)) > 0);
  BOOST_TEST(vm.target_->Runs() == runs);
  fleet_.Store().fault_ = stand_ins::StoreFault::kNone;
  BOOST_REQUIRE(AwaitLeavingAcknowledged(vm, kMaxAcknowledgementDelay));
  CheckNoRequestsAfterKill(late_heartbeat);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sassafrasbay::soak
