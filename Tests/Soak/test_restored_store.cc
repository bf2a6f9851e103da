#define BOOST_TEST_MODULE RestoredStore
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <string>

#include "LibOwnership/history_settlement.h"
#include "Soak/keys_fixture.h"
#include "router/key_table_writer.h"

namespace sassafrasbay::soak {
namespace {

constexpr int kFirstNetwork = 70;

/// Time for which the key holders are observed after a restore: longer than all grants that rest on
/// lost records, and the time until the store's era is settled.
constexpr milliseconds kObservation{9000};

/// Time after which keys have owners again if nobody remembers the lost history.
constexpr milliseconds kMaxRecovery{15'000};

constexpr milliseconds kCheckInterval{50};

struct RestoredFixture : KeysFixture {
  RestoredFixture() : KeysFixture(kFirstNetwork) {
    loop_.StartRepeatingTimer(kCheckInterval, [this] { ledger_.CheckOverlaps(BootClock::now()); });
  }

  /// Lets the target beside the first node leave, so that its keys get other holders. Returns one
  /// of them.
  int MoveKeys() {
    const Vm& vm = fleet_.Vms()[0];
    const int key = AwaitSingleHolder(vm);
    vm.target_->Drain();
    const BootTime end = BootClock::now() + kStartTimeout;
    while (BootClock::now() < end && (vm.target_->Holds(key) || CountHolders(key) != 1)) {
      RunFor(kProbeInterval);
    }
    BOOST_REQUIRE(!vm.target_->Holds(key));
    return key;
  }

  bool AwaitHolder(int key, milliseconds limit) {
    const BootTime end = BootClock::now() + limit;
    while (BootClock::now() < end && CountHolders(key) == 0) {
      RunFor(kProbeInterval);
    }
    return CountHolders(key) == 1;
  }

  void CheckLedger() {
    for (const std::string& violation : ledger_.Violations()) {
      BOOST_ERROR(violation);
    }
  }

  /// The registration of a node in the store; empty without one.
  std::string Registration(const Vm& vm) {
    const auto newest = fleet_.Store().Newest(kFleetTopic);
    const auto found = newest.find(std::string(kNodePrefix) + vm.advertised_address_);
    return found == newest.end() ? std::string() : found->second;
  }
};

BOOST_FIXTURE_TEST_SUITE(Restored, RestoredFixture)

// Guards against a configuration in force too late (CONFIG): the store is restored so briefly that
// nodes which read rarely don't notice, and the offsets of the lost records are given out again.
BOOST_AUTO_TEST_CASE(AConfigurationAtAnOffsetThatCountsAgainIsInForceInTime) {
  const BootTime copied_at = BootClock::now();
  const std::uint64_t lost = fleet_.WriteConfiguration();
  for (std::size_t node = 0; node < fleet_.Vms().size(); ++node) {
    BOOST_REQUIRE(AwaitConfiguration(node, lost, kMaxConfigurationDelay));
  }
  fleet_.Store().Restore(copied_at);
  const std::uint64_t version = fleet_.WriteConfiguration();
  const BootTime end = BootClock::now() + kMaxConfigurationDelay;
  for (std::size_t node = 0; node < fleet_.Vms().size(); ++node) {
    const auto left = std::chrono::duration_cast<milliseconds>(end - BootClock::now());
    BOOST_TEST(AwaitConfiguration(node, version, left), fleet_.Vms()[node].name_);
  }
}

// Guards against a configuration that comes back older (CONFIG): a process that starts after the
// restore finds one in the store that is older than what the other nodes have in force.
BOOST_AUTO_TEST_CASE(AProcessThatStartsTakesNoOlderConfigurationThanItsPeersHave) {
  const BootTime copied_at = BootClock::now();
  const std::uint64_t version = fleet_.WriteConfiguration();
  for (std::size_t node = 0; node < fleet_.Vms().size(); ++node) {
    BOOST_REQUIRE(AwaitConfiguration(node, version, kMaxConfigurationDelay));
  }
  fleet_.Store().Restore(copied_at);
  KillAndRestart(fleet_.Vms().size() - 2);
  for (std::size_t node = 0; node < fleet_.Vms().size(); ++node) {
    BOOST_TEST(HasConfiguration(node, version), fleet_.Vms()[node].name_);
  }
}

// Guards against two holders of a key (OWNER): processes that start after the restore took the
// table of before the lost moves for the newest one, and granted by it.
BOOST_AUTO_TEST_CASE(NoKeyGetsASecondHolderFromTheTableOfBefore) {
  const Vm& vm = fleet_.Vms()[0];
  MoveKeys();
  RunFor(kSettlingTime);
  const BootTime copied_at = BootClock::now();
  vm.target_->Start();
  const int key = AwaitSingleHolder(vm);
  fleet_.Store().Restore(copied_at);
  KillAndRestart(1);
  RunFor(kObservation);
  BOOST_TEST(AwaitHolder(key, kMaxRecovery));
  CheckLedger();
}

// Guards against the same, and against tokens that don't rise, if nobody remembers the lost moves.
BOOST_AUTO_TEST_CASE(TokensRiseThoughAllProcessesHaveEnded) {
  const BootTime copied_at = BootClock::now();
  const int key = MoveKeys();
  fleet_.Vms()[0].target_->Start();
  fleet_.Store().Restore(copied_at);
  KillAndRestartAll();
  RunFor(kObservation);
  BOOST_TEST(AwaitHolder(key, kMaxRecovery));
  CheckLedger();
}

// Guards against registrations that stay lost, so that a node whose promises nobody asks for may
// take keys over.
BOOST_AUTO_TEST_CASE(LostRegistrationsAreWrittenAgain) {
  const BootTime copied_at = BootClock::now();
  KillAndRestart(3);
  RunFor(kSettlingTime);
  std::vector<std::string> registrations;
  for (const Vm& vm : fleet_.Vms()) {
    registrations.push_back(Registration(vm));
  }
  fleet_.Store().Restore(copied_at);
  BOOST_TEST(Registration(fleet_.Vms()[3]) != registrations[3]);
  RunFor(kObservation);
  for (std::size_t node = 0; node < fleet_.Vms().size(); ++node) {
    BOOST_TEST(Registration(fleet_.Vms()[node]) == registrations[node], fleet_.Vms()[node].name_);
  }
  BOOST_TEST(fleet_.Store().Newest(kFleetTopic).contains(HistoryKey(fleet_.Store().era_)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sassafrasbay::soak
