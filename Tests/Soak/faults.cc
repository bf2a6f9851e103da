#include "Soak/faults.h"

#include <csignal>
#include <iostream>

#include "platform/wire_names.h"
#include "router/key_table_writer.h"

namespace sassafrasbay::soak {
namespace {

constexpr milliseconds kMinFaultDelay{50};
constexpr milliseconds kMaxFaultDelay{1500};

/// Time from SIGTERM to SIGKILL, as on the platform.
constexpr milliseconds kTerminationTimeout{6000};
constexpr milliseconds kPollInterval{20};

}  // namespace

Faults::Faults(ReactorLoop& loop, Ledger& ledger, std::mt19937_64& random, Fleet& fleet)
    : loop_(loop),
      ledger_(ledger),
      random_(random),
      restore_random_(random),
      fleet_(fleet),
      started_(BootClock::now()) {}

bool Faults::Chance(double probability) {
  return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

milliseconds Faults::RandomDuration(milliseconds min_duration, milliseconds max_duration) {
  return milliseconds(std::uniform_int_distribution<milliseconds::rep>(
      min_duration.count(), max_duration.count())(random_));
}

void Faults::Start() {
  ScheduleNextFault();
  ScheduleNextRestore();
}

// The other faults of a seed stay what they were before restores were added.
void Faults::ScheduleNextRestore() {
  const auto draw = [this](int from, int to) {
    return milliseconds(std::uniform_int_distribution<int>(from, to)(restore_random_));
  };
  const milliseconds delay = draw(3000, 14'000);
  const milliseconds age = draw(200, 9000);
  const milliseconds duration = draw(50, 2500);
  loop_.StartTimer(delay, [this, age, duration] {
    if (stopped_) {
      return;
    }
    RestoreStore(age, duration);
    ScheduleNextRestore();
  });
}

// The store is away and comes back from a copy. The operator writes the configuration again.
void Faults::RestoreStore(milliseconds age, milliseconds duration) {
  if (store_disrupted_) {
    return;
  }
  store_disrupted_ = true;
  const BootTime copied_at = BootClock::now() - age;
  fleet_.Store().fault_ = stand_ins::StoreFault::kRefuse;
  const std::string what = "store restored, " + std::to_string(age.count()) + " ms lost,";
  BeginFaultFor(what, duration, false, [this, copied_at] {
    store_disrupted_ = false;
    fleet_.Store().fault_ = stand_ins::StoreFault::kNone;
    fleet_.Store().Restore(copied_at);
    fleet_.WriteConfigurationAgain();
  });
}

void Faults::ScheduleNextFault() {
  loop_.StartTimer(RandomDuration(kMinFaultDelay, kMaxFaultDelay), [this] {
    if (stopped_) {
      return;
    }
    Inject();
    ScheduleNextFault();
  });
}

void Faults::BeginFault(const std::string& what, milliseconds min_duration,
                        milliseconds max_duration, bool planned, std::function<void()> end) {
  BeginFaultFor(what, RandomDuration(min_duration, max_duration), planned, std::move(end));
}

void Faults::BeginFaultFor(const std::string& what, milliseconds duration, bool planned,
                           std::function<void()> end) {
  const auto at = std::chrono::duration_cast<milliseconds>(BootClock::now() - started_).count();
  std::cout << at << " ms: " << what << " for " << duration.count() << " ms" << std::endl;
  ++active_;
  active_unplanned_ += planned ? 0 : 1;
  ledger_.SetActiveDisruptions(active_unplanned_);
  loop_.StartTimer(duration, [this, planned, end = std::move(end)] {
    --active_;
    active_unplanned_ -= planned ? 0 : 1;
    ledger_.SetActiveDisruptions(active_unplanned_);
    if (!planned) {
      ledger_.OnDisruption(BootClock::now());
    }
    end();
  });
}

void Faults::Inject() {
  const std::size_t node = random_() % fleet_.Vms().size();
  switch (random_() % 15) {
    case 0:
      Kill(node);
      break;
    case 1:
      Pause(node);
      break;
    case 2:
      Terminate(node);
      break;
    case 3:
      if (fleet_.Vms()[node].process_->IsRunning()) {
        kill(fleet_.Vms()[node].process_->Id(), SIGHUP);
      }
      break;
    case 4:
    case 5:
      DisruptLink(node, true);
      break;
    case 6:
    case 7:
      DisruptLink(node, false);
      break;
    case 8:
      DisruptStore();
      break;
    case 9:
      CrashTarget(node);
      break;
    case 10:
      ReplaceTarget(node);
      break;
    case 11:
      Isolate(node);
      break;
    case 12:
    case 13:
      SilenceConnections();
      break;
    default:
      if (Chance(0.5)) {
        fleet_.WriteConfiguration();
      } else if (Chance(0.5)) {
        fleet_.Store().Compact(Chance(0.5) ? kFleetTopic : platform::kOperatorTopic);
      } else {
        // Kills several processes at the same moment.
        for (std::size_t other = 0; other < fleet_.Vms().size(); ++other) {
          if (Chance(0.6)) {
            Kill(other);
          }
        }
      }
  }
}

void Faults::Kill(std::size_t node) {
  Vm& vm = fleet_.Vms()[node];
  if (vm.fault_active_) {
    return;
  }
  vm.fault_active_ = true;
  vm.process_->Kill();
  BeginFault("kill " + vm.name_, milliseconds(100), milliseconds(2000), false, [this, &vm] {
    vm.fault_active_ = false;
    fleet_.StartProcess(vm);
  });
}

void Faults::Pause(std::size_t node) {
  Vm& vm = fleet_.Vms()[node];
  if (vm.fault_active_ || !vm.process_->IsRunning()) {
    return;
  }
  vm.fault_active_ = true;
  vm.process_->Pause();
  BeginFault("pause " + vm.name_, milliseconds(200), milliseconds(6000), false, [&vm] {
    vm.fault_active_ = false;
    vm.interruption_ended_ = BootClock::now();
    vm.process_->Resume();
  });
}

void Faults::Terminate(std::size_t node) {
  Vm& vm = fleet_.Vms()[node];
  if (vm.fault_active_) {
    return;
  }
  vm.fault_active_ = true;
  vm.process_->Terminate();
  ++active_;
  std::cout << "terminate " << vm.name_ << std::endl;
  AwaitExit(node, BootClock::now() + kTerminationTimeout);
}

void Faults::AwaitExit(std::size_t node, BootTime deadline) {
  Vm& vm = fleet_.Vms()[node];
  if (vm.process_->IsRunning() && BootClock::now() < deadline) {
    loop_.StartTimer(kPollInterval, [this, node, deadline] { AwaitExit(node, deadline); });
    return;
  }
  vm.process_->Kill();
  vm.fault_active_ = false;
  --active_;
  // The termination was planned, but requests that callers send while the new process starts may be
  // lost, so the start counts as a disruption.
  ledger_.OnDisruption(BootClock::now());
  fleet_.StartProcess(vm);
}

void Faults::DisruptLink(std::size_t node, bool store) {
  stand_ins::ProxyFaults faults;
  std::string what;
  switch (random_() % 5) {
    case 0:
      faults.cut_to_target_ = true;
      what = "cut towards";
      break;
    case 1:
      faults.cut_from_target_ = true;
      what = "cut from";
      break;
    case 2:
      faults.cut_to_target_ = faults.cut_from_target_ = true;
      what = "silence";
      break;
    case 3:
      faults.delay_ms_ = RandomDuration(milliseconds(30), milliseconds(600)).count();
      what = "delay of " + std::to_string(faults.delay_ms_) + " ms to";
      break;
    default:
      faults.reset_after_bytes_ = 1 + random_() % 5000;
      what = "resets after " + std::to_string(faults.reset_after_bytes_) + " bytes of";
  }
  Vm& vm = fleet_.Vms()[node];
  const std::size_t from_node = random_() % fleet_.Vms().size();
  const pid_t from = Chance(0.5) ? fleet_.Vms()[from_node].process_->Id() : 0;
  const std::string link = store ? "the store of " : "the peer links to ";
  const auto set = [this, node, store, from](const stand_ins::ProxyFaults& new_faults) {
    store ? fleet_.SetStoreFaults(node, new_faults) : fleet_.SetPeerFaults(node, from, new_faults);
  };
  set(faults);
  BeginFault(what + " " + link + vm.name_ + (from == 0 || store ? "" : " from one process"),
             milliseconds(300), kMaxFaultDuration, false, [this, set] {
               set({});
               for (Vm& other : fleet_.Vms()) {
                 other.interruption_ended_ = BootClock::now();
               }
             });
}

// Cuts a node off from all other nodes in both directions, and with probability 0.7 from the store.
// Its target and its callers still reach it.
void Faults::Isolate(std::size_t node) {
  stand_ins::ProxyFaults cut;
  cut.cut_to_target_ = cut.cut_from_target_ = true;
  const pid_t process = fleet_.Vms()[node].process_->Id();
  const bool from_store = Chance(0.7);
  const auto set = [this, node, process, from_store](const stand_ins::ProxyFaults& new_faults) {
    fleet_.SetPeerFaults(node, 0, new_faults);
    if (from_store) {
      fleet_.SetStoreFaults(node, new_faults);
    }
    for (std::size_t other = 0; other < fleet_.Vms().size(); ++other) {
      if (other != node) {
        fleet_.SetPeerFaults(other, process, new_faults);
      }
    }
  };
  set(cut);
  BeginFault("isolation of " + fleet_.Vms()[node].name_ + (from_store ? " and its store" : ""),
             milliseconds(1000), kMaxFaultDuration, false, [this, set] {
               set({});
               for (Vm& other : fleet_.Vms()) {
                 other.interruption_ended_ = BootClock::now();
               }
             });
}

// Connections between nodes go silent without an end, while new ones work.
void Faults::SilenceConnections() {
  const bool to_node = Chance(0.7);
  const bool from_node = !to_node || Chance(0.7);
  for (std::size_t node = 0; node < fleet_.Vms().size(); ++node) {
    if (Chance(0.5)) {
      fleet_.SilencePeerConnections(node, to_node, from_node);
    }
  }
  // The nodes take a while to find out, in which callers may wait in vain.
  BeginFault(std::string("silent connections") + (to_node ? " to" : "") +
                 (from_node ? " from" : "") + " some nodes",
             milliseconds(1500), milliseconds(2500), false, [] {});
}

void Faults::DisruptStore() {
  if (store_disrupted_) {
    return;
  }
  store_disrupted_ = true;
  constexpr stand_ins::StoreFault kFaults[] = {stand_ins::StoreFault::kRefuse,
                                               stand_ins::StoreFault::kSilent,
                                               stand_ins::StoreFault::kLoseAnswer};
  constexpr const char* kNames[] = {"store refuses", "store is silent", "store loses answers"};
  const std::size_t choice = random_() % 3;
  fleet_.Store().refusal_status_ = Chance(0.5) ? 503 : 429;
  fleet_.Store().fault_ = kFaults[choice];
  BeginFault(kNames[choice], milliseconds(500), kMaxFaultDuration, false, [this] {
    store_disrupted_ = false;
    fleet_.Store().fault_ = stand_ins::StoreFault::kNone;
  });
}

void Faults::CrashTarget(std::size_t node) {
  Vm& vm = fleet_.Vms()[node];
  if (!vm.target_->IsUp()) {
    return;
  }
  vm.target_->Crash();
  BeginFault("crash of the target of " + vm.name_, milliseconds(300), milliseconds(4000), false,
             [&vm] { vm.target_->Start(); });
}

void Faults::ReplaceTarget(std::size_t node) {
  Vm& vm = fleet_.Vms()[node];
  if (!vm.target_->IsUp()) {
    return;
  }
  vm.target_->Drain();
  // The target drains, leaves and stops within about 3 s; its successor starts at the same address.
  BeginFault("replacement of the target of " + vm.name_, milliseconds(4500), milliseconds(6000),
             true, [&vm] {
               vm.target_->Crash();
               vm.target_->Start();
             });
}

}  // namespace sassafrasbay::soak
