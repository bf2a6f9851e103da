// Runs the real programs with random faults from outside them, and checks the promises of the
// platform's pages from what callers and targets see. See docs/OPERATIONS.md, "Fault soak".

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <string>

#include "LibCore/logging.h"
#include "LibTransport/http_client.h"
#include "Soak/faults.h"
#include "Soak/fleet.h"
#include "platform/wire_names.h"

namespace sassafrasbay::soak {
namespace {

/// Time for the system to come up, and to serve again after the last fault (the platform's bound).
constexpr milliseconds kStartLimit{20'000};
constexpr milliseconds kRecoveryLimit{15'000};
constexpr milliseconds kRecoveryMeasured{5'000};

/// Share of the requests that has to be served after that, as in the platform's rules.
constexpr double kRecoveredShare = 0.25;

constexpr milliseconds kRequestInterval{40};  ///< Of the callers on one VM.
constexpr milliseconds kPatience{800};
constexpr milliseconds kAnswerSlack{400};
constexpr double kAbandoned = 0.08;
constexpr int kKeys = 65536;

struct Options {
  std::uint64_t seed_ = 1;
  int seconds_ = 30;
  int network_ = 101;
  std::filesystem::path directory_;
};

class Soak {
 public:
  explicit Soak(Options options)
      : options_(std::move(options)),
        random_(options_.seed_),
        fleet_(loop_, ledger_, random_, options_.network_, options_.directory_),
        faults_(loop_, ledger_, random_, fleet_),
        probes_(loop_, 1) {}

  int Run();

 private:
  void AwaitReady(BootTime limit);
  void BeginTraffic();
  void SendRequest(Vm& vm);
  void OnCalm();
  void End();

  Options options_;
  ReactorLoop loop_;
  Ledger ledger_;
  std::mt19937_64 random_;
  std::mt19937_64 traffic_random_{7};  ///< Apart, so that traffic doesn't change the faults.
  Fleet fleet_;
  Faults faults_;
  HttpClient probes_;
  std::size_t ready_ = 0;
  std::uint64_t sent_ = 0;
  bool failed_ = false;
};

int Soak::Run() {
  if (const auto started = fleet_.Start(); !started) {
    std::cout << "start failed: " << ToString(started.error()) << std::endl;
    return EXIT_FAILURE;
  }
  AwaitReady(BootClock::now() + kStartLimit);
  loop_.Run();
  std::cout << "seed=" << options_.seed_ << " " << ledger_.Summary()
            << " recovered=" << ledger_.RecoveredShare()
            << " broken=" << ledger_.Violations().size() << std::endl;
  return failed_ || !ledger_.Violations().empty() ? EXIT_FAILURE : EXIT_SUCCESS;
}

void Soak::AwaitReady(BootTime limit) {
  if (ready_ == fleet_.Vms().size()) {
    // Keys are assigned after the first heartbeats; callers come some seconds later.
    constexpr milliseconds kFirstAssignment{4000};
    loop_.StartTimer(kFirstAssignment, [this] { BeginTraffic(); });
    return;
  }
  if (BootClock::now() > limit) {
    std::cout << "not ready: " << fleet_.Vms()[ready_].name_ << std::endl;
    failed_ = true;
    loop_.Stop();
    return;
  }
  HttpCall call;
  call.base_url_ = "http://" + fleet_.Vms()[ready_].host_ + ":7002";
  call.request_ = {"GET", "/-/ready", {}, {}};
  probes_.Start(std::move(call), [this, limit](const HttpResult& result) {
    const bool is_ready = result.response_ && result.response_.value().status_ == 200;
    ready_ += is_ready ? 1 : 0;
    loop_.StartTimer(milliseconds(is_ready ? 1 : 100), [this, limit] { AwaitReady(limit); });
  });
}

void Soak::BeginTraffic() {
  for (Vm& vm : fleet_.Vms()) {
    loop_.StartRepeatingTimer(kRequestInterval, [this, &vm] { SendRequest(vm); });
  }
  constexpr milliseconds kCheckInterval{50};
  loop_.StartRepeatingTimer(kCheckInterval, [this] { ledger_.CheckOverlaps(BootClock::now()); });
  faults_.Start();
  loop_.StartTimer(std::chrono::seconds(options_.seconds_), [this] {
    faults_.Stop();
    OnCalm();
  });
}

// Callers on the machine of a node send over kept connections, whatever happens to it.
void Soak::SendRequest(Vm& vm) {
  const std::uint64_t choice = traffic_random_() % 10;
  const Kind kind = choice < 5 ? Kind::kLookup : choice < 7 ? Kind::kReport : Kind::kBooking;
  const std::string id = "r" + std::to_string(++sent_);
  UpstreamCall call;
  call.request_ = {
      kind == Kind::kBooking ? "POST" : "GET",
      PathOf(kind, id),
      {{"Host", "soak.example"},
       {std::string(platform::kRequestIdHeader), id},
       {std::string(platform::kRemainingTimeHeader), std::to_string(kPatience.count())}},
      BodyOf(kind, id)};
  if (kind == Kind::kLookup) {
    call.request_.headers_.emplace_back(platform::kShardKeyHeader,
                                        std::to_string(traffic_random_() % kKeys));
  }
  call.timeout_ = kPatience + kAnswerSlack;
  ledger_.OnSent(id, kind);
  const auto number = vm.callers_->Start(std::move(call), [this, id](UpstreamResult result) {
    if (result.response_) {
      ledger_.OnAnswer(id, result.response_.value());
      return;
    }
    ledger_.OnLost(id, result.maybe_sent_, BootClock::now());
  });
  if (std::uniform_real_distribution<double>(0, 1)(traffic_random_) < kAbandoned) {
    const milliseconds patience(20 + static_cast<int>(traffic_random_() % 100));
    loop_.StartTimer(patience, [&vm, number] { vm.callers_->Cancel(number); });
  }
}

void Soak::OnCalm() {
  if (faults_.Open() > 0) {
    loop_.StartTimer(milliseconds(50), [this] { OnCalm(); });
    return;
  }
  std::cout << "calm" << std::endl;
  loop_.StartTimer(kRecoveryLimit - kRecoveryMeasured, [this] { ledger_.BeginRecovery(); });
  loop_.StartTimer(kRecoveryLimit, [this] { End(); });
}

void Soak::End() {
  if (ledger_.RecoveredShare() < kRecoveredShare) {
    std::cout << "BROKEN RECOVER: only " << ledger_.RecoveredShare() << " served" << std::endl;
    failed_ = true;
  }
  loop_.Stop();
}

bool ReadOptions(int argc, const char** argv, Options& options) {
  options.directory_ = std::filesystem::temp_directory_path() / "sassafrasbay-soak";
  for (int i = 1; i + 1 < argc; i += 2) {
    const std::string name = argv[i];
    const std::string value = argv[i + 1];
    if (name == "--seed") {
      options.seed_ = std::stoull(value);
    } else if (name == "--seconds") {
      options.seconds_ = std::stoi(value);
    } else if (name == "--network") {
      options.network_ = std::stoi(value);
    } else if (name == "--directory") {
      options.directory_ = value;
    } else {
      return false;
    }
  }
  options.directory_ /= "seed-" + std::to_string(options.seed_);
  std::filesystem::remove_all(options.directory_);
  std::filesystem::create_directories(options.directory_);
  return argc % 2 == 1;
}

}  // namespace
}  // namespace sassafrasbay::soak

int main(int argc, const char** argv) {
  sassafrasbay::soak::Options options;
  if (!sassafrasbay::soak::ReadOptions(argc, argv, options)) {
    std::cout << "usage: soak [--seed N] [--seconds S] [--network 1..254] [--directory PATH]\n"
                 "Logs of the processes are kept in PATH/seed-N.\n";
    return EXIT_FAILURE;
  }
  std::signal(SIGPIPE, SIG_IGN);
  sassafrasbay::soak::Soak soak(std::move(options));
  return soak.Run();
}
