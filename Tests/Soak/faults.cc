#include "Soak/faults.h"

#include <csignal>
#include <iostream>

#include "platform/wire_names.h"
#include "router/key_table_writer.h"

namespace sassafrasbay::soak {
namespace {

constexpr milliseconds kShortestGap{50};
constexpr milliseconds kLongestGap{1500};

/// From SIGTERM to SIGKILL, as the platform does it.
constexpr milliseconds kGrace{6000};
constexpr milliseconds kPoll{20};

}  // namespace

Faults::Faults(ReactorLoop& loop, Ledger& ledger, std::mt19937_64& random, Fleet& fleet)
    : loop_(loop), ledger_(ledger), random_(random), fleet_(fleet), started_(BootClock::now()) {}

bool Faults::Chance(double probability) {
  return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

milliseconds Faults::Between(milliseconds shortest, milliseconds longest) {
  return milliseconds(
      std::uniform_int_distribution<milliseconds::rep>(shortest.count(), longest.count())(random_));
}

void Faults::Start() { Next(); }

void Faults::Next() {
  loop_.StartTimer(Between(kShortestGap, kLongestGap), [this] {
    if (stopped_) {
      return;
    }
    Inject();
    Next();
  });
}

void Faults::Last(const std::string& what, milliseconds shortest, milliseconds longest,
                  bool planned, std::function<void()> end) {
  const milliseconds length = Between(shortest, longest);
  const auto at = std::chrono::duration_cast<milliseconds>(BootClock::now() - started_).count();
  std::cout << at << " ms: " << what << " for " << length.count() << " ms" << std::endl;
  ++open_;
  unplanned_ += planned ? 0 : 1;
  ledger_.SetOpenDisruptions(unplanned_);
  loop_.StartTimer(length, [this, planned, end = std::move(end)] {
    --open_;
    unplanned_ -= planned ? 0 : 1;
    ledger_.SetOpenDisruptions(unplanned_);
    if (!planned) {
      ledger_.OnDisruption(BootClock::now());
    }
    end();
  });
}

void Faults::Inject() {
  const std::size_t node = random_() % fleet_.Vms().size();
  switch (random_() % 13) {
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
      HarmLink(node, true);
      break;
    case 6:
    case 7:
      HarmLink(node, false);
      break;
    case 8:
      HarmStore();
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
    default:
      if (Chance(0.5)) {
        fleet_.WriteConfiguration();
      } else if (Chance(0.5)) {
        fleet_.Store().Compact(Chance(0.5) ? kFleetTopic : platform::kOperatorTopic);
      } else {
        // Many at the same moment.
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
  if (vm.held_) {
    return;
  }
  vm.held_ = true;
  vm.process_->Kill();
  Last("kill " + vm.name_, milliseconds(100), milliseconds(2000), false, [this, &vm] {
    vm.held_ = false;
    fleet_.StartProcess(vm);
  });
}

void Faults::Pause(std::size_t node) {
  Vm& vm = fleet_.Vms()[node];
  if (vm.held_ || !vm.process_->IsRunning()) {
    return;
  }
  vm.held_ = true;
  vm.process_->Pause();
  Last("pause " + vm.name_, milliseconds(200), milliseconds(6000), false, [&vm] {
    vm.held_ = false;
    vm.disturbed_ = BootClock::now();
    vm.process_->Resume();
  });
}

void Faults::Terminate(std::size_t node) {
  Vm& vm = fleet_.Vms()[node];
  if (vm.held_) {
    return;
  }
  vm.held_ = true;
  vm.process_->Terminate();
  ++open_;
  std::cout << "terminate " << vm.name_ << std::endl;
  AwaitEnd(node, BootClock::now() + kGrace);
}

void Faults::AwaitEnd(std::size_t node, BootTime limit) {
  Vm& vm = fleet_.Vms()[node];
  if (vm.process_->IsRunning() && BootClock::now() < limit) {
    loop_.StartTimer(kPoll, [this, node, limit] { AwaitEnd(node, limit); });
    return;
  }
  vm.process_->Kill();
  vm.held_ = false;
  --open_;
  // The start of a process isn't planned work for the requests that it takes at once.
  ledger_.OnDisruption(BootClock::now());
  fleet_.StartProcess(vm);
}

void Faults::HarmLink(std::size_t node, bool store) {
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
      faults.delay_ms_ = Between(milliseconds(30), milliseconds(600)).count();
      what = "delay of " + std::to_string(faults.delay_ms_) + " ms to";
      break;
    default:
      faults.reset_after_bytes_ = 1 + random_() % 5000;
      what = "resets after " + std::to_string(faults.reset_after_bytes_) + " bytes of";
  }
  Vm& vm = fleet_.Vms()[node];
  const std::size_t from_node = random_() % fleet_.Vms().size();
  const pid_t from = Chance(0.5) ? fleet_.Vms()[from_node].process_->Id() : 0;
  const std::string link = store ? "the store of " : "the links of others with ";
  const auto set = [this, node, store, from](const stand_ins::ProxyFaults& wanted) {
    store ? fleet_.SetStoreFaults(node, wanted) : fleet_.SetPeerFaults(node, from, wanted);
  };
  set(faults);
  Last(what + " " + link + vm.name_ + (from == 0 || store ? "" : " of one process"),
       milliseconds(300), kLongest, false, [this, set] {
         set({});
         for (Vm& other : fleet_.Vms()) {
           other.disturbed_ = BootClock::now();
         }
       });
}

// Cuts a node from all others, both ways, and often from the store too. Its target and its callers
// still reach it.
void Faults::Isolate(std::size_t node) {
  stand_ins::ProxyFaults cut;
  cut.cut_to_target_ = cut.cut_from_target_ = true;
  const pid_t process = fleet_.Vms()[node].process_->Id();
  const bool from_store = Chance(0.7);
  const auto set = [this, node, process, from_store](const stand_ins::ProxyFaults& wanted) {
    fleet_.SetPeerFaults(node, 0, wanted);
    if (from_store) {
      fleet_.SetStoreFaults(node, wanted);
    }
    for (std::size_t other = 0; other < fleet_.Vms().size(); ++other) {
      if (other != node) {
        fleet_.SetPeerFaults(other, process, wanted);
      }
    }
  };
  set(cut);
  Last("isolation of " + fleet_.Vms()[node].name_ + (from_store ? " and its store" : ""),
       milliseconds(1000), kLongest, false, [this, set] {
         set({});
         for (Vm& other : fleet_.Vms()) {
           other.disturbed_ = BootClock::now();
         }
       });
}

void Faults::HarmStore() {
  if (store_harmed_) {
    return;
  }
  store_harmed_ = true;
  constexpr stand_ins::StoreFault kFaults[] = {stand_ins::StoreFault::kRefuse,
                                               stand_ins::StoreFault::kSilent,
                                               stand_ins::StoreFault::kLoseAnswer};
  constexpr const char* kNames[] = {"store refuses", "store is silent", "store loses answers"};
  const std::size_t choice = random_() % 3;
  fleet_.Store().refusal_status_ = Chance(0.5) ? 503 : 429;
  fleet_.Store().fault_ = kFaults[choice];
  Last(kNames[choice], milliseconds(500), kLongest, false, [this] {
    store_harmed_ = false;
    fleet_.Store().fault_ = stand_ins::StoreFault::kNone;
  });
}

void Faults::CrashTarget(std::size_t node) {
  Vm& vm = fleet_.Vms()[node];
  if (!vm.target_->IsUp()) {
    return;
  }
  vm.target_->Crash();
  Last("crash of the target of " + vm.name_, milliseconds(300), milliseconds(4000), false,
       [&vm] { vm.target_->Start(); });
}

void Faults::ReplaceTarget(std::size_t node) {
  Vm& vm = fleet_.Vms()[node];
  if (!vm.target_->IsUp()) {
    return;
  }
  vm.target_->Drain();
  // It drains, leaves and ends within about 3 s; the next one starts at the same address.
  Last("replacement of the target of " + vm.name_, milliseconds(4500), milliseconds(6000), true,
       [&vm] {
         vm.target_->Crash();
         vm.target_->Start();
       });
}

}  // namespace sassafrasbay::soak
