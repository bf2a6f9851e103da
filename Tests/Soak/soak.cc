// Runs real node processes under random faults that are injected from outside, and checks from what
// callers and targets observe that the rules of the platform's pages hold. See docs/OPERATIONS.md,
// "Fault soak".

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

/// Timeout for all nodes to become ready, and the platform's limit on the time to serve again after
/// the last fault. Requests are counted in the last part of the latter.
constexpr milliseconds kStartTimeout{20'000};
constexpr milliseconds kRecoveryTimeout{15'000};
constexpr milliseconds kRecoveryMeasurementPeriod{5'000};

/// Minimum fraction of these requests that must be served, as in the platform's rules.
constexpr double kMinRecoveredFraction = 0.25;

constexpr milliseconds kRequestInterval{40};  ///< Between requests of the callers on one VM.
constexpr milliseconds kRequestTimeout{800};
constexpr milliseconds kAnswerMargin{400};   ///< Wait for a response beyond the sent deadline.
constexpr double kAbandonedFraction = 0.08;  ///< Of the requests, cancelled by their callers.
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
        readiness_client_(loop_, 1) {}

  int Run();

 private:
  void AwaitReady(BootTime deadline);
  void BeginTraffic();
  void SendRequest(Vm& vm);
  void AwaitFaultEnds();
  void Finish();

  Options options_;
  ReactorLoop loop_;
  Ledger ledger_;
  std::mt19937_64 random_;
  std::mt19937_64 traffic_random_{7};  ///< Separate, so that traffic doesn't change the faults.
  Fleet fleet_;
  Faults faults_;
  HttpClient readiness_client_;
  std::size_t ready_ = 0;
  std::uint64_t sent_ = 0;
  bool failed_ = false;
};

int Soak::Run() {
  if (const auto started = fleet_.Start(); !started) {
    std::cout << "cannot start the system: " << ToString(started.error()) << std::endl;
    return EXIT_FAILURE;
  }
  AwaitReady(BootClock::now() + kStartTimeout);
  loop_.Run();
  std::cout << "seed=" << options_.seed_ << " " << ledger_.Summary()
            << " recovered=" << ledger_.RecoveredFraction()
            << " broken=" << ledger_.Violations().size() << std::endl;
  return failed_ || !ledger_.Violations().empty() ? EXIT_FAILURE : EXIT_SUCCESS;
}

void Soak::AwaitReady(BootTime deadline) {
  if (ready_ == fleet_.Vms().size()) {
    // Keys are assigned after the first heartbeats, so callers start some seconds after readiness.
    constexpr milliseconds kMinFirstAssignmentDelay{4000};
    loop_.StartTimer(kMinFirstAssignmentDelay, [this] { BeginTraffic(); });
    return;
  }
  if (BootClock::now() > deadline) {
    std::cout << "node not ready before the start timeout: " << fleet_.Vms()[ready_].name_
              << std::endl;
    failed_ = true;
    loop_.Stop();
    return;
  }
  HttpCall call;
  call.base_url_ = "http://" + fleet_.Vms()[ready_].host_ + ":7002";
  call.request_ = {"GET", "/-/ready", {}, {}};
  readiness_client_.Start(std::move(call), [this, deadline](const HttpResult& result) {
    const bool is_ready = result.response_ && result.response_.value().status_ == 200;
    ready_ += is_ready ? 1 : 0;
    loop_.StartTimer(milliseconds(is_ready ? 1 : 100), [this, deadline] { AwaitReady(deadline); });
  });
}

void Soak::BeginTraffic() {
  fleet_.EndFirstStart();
  for (Vm& vm : fleet_.Vms()) {
    loop_.StartRepeatingTimer(kRequestInterval, [this, &vm] { SendRequest(vm); });
  }
  constexpr milliseconds kCheckInterval{50};
  loop_.StartRepeatingTimer(kCheckInterval, [this] { ledger_.CheckOverlaps(BootClock::now()); });
  faults_.Start();
  loop_.StartTimer(std::chrono::seconds(options_.seconds_), [this] {
    faults_.Stop();
    AwaitFaultEnds();
  });
}

// Callers send to the node of their own VM over persistent connections, whatever its state.
void Soak::SendRequest(Vm& vm) {
  const std::uint64_t choice = traffic_random_() % 10;
  const RequestKind kind = choice < 5   ? RequestKind::kLookup
                           : choice < 7 ? RequestKind::kReport
                                        : RequestKind::kBooking;
  const std::string id = "r" + std::to_string(++sent_);
  UpstreamCall call;
  call.request_ = {
      kind == RequestKind::kBooking ? "POST" : "GET",
      RequestPath(kind, id),
      {{"Host", "soak.example"},
       {std::string(platform::kRequestIdHeader), id},
       {std::string(platform::kRemainingTimeHeader), std::to_string(kRequestTimeout.count())}},
      RequestBody(kind, id)};
  if (kind == RequestKind::kLookup) {
    call.request_.headers_.emplace_back(platform::kShardKeyHeader,
                                        std::to_string(traffic_random_() % kKeys));
  }
  call.timeout_ = kRequestTimeout + kAnswerMargin;
  ledger_.OnSent(id, kind);
  const auto number = vm.callers_->Start(std::move(call), [this, id](UpstreamResult result) {
    if (result.response_) {
      ledger_.OnAnswer(id, result.response_.value());
      return;
    }
    ledger_.OnLost(id, result.maybe_sent_, BootClock::now());
  });
  if (std::uniform_real_distribution<double>(0, 1)(traffic_random_) < kAbandonedFraction) {
    const milliseconds abandon_delay(20 + static_cast<int>(traffic_random_() % 100));
    loop_.StartTimer(abandon_delay, [&vm, number] { vm.callers_->Cancel(number); });
  }
}

void Soak::AwaitFaultEnds() {
  if (faults_.ActiveFaults() > 0) {
    loop_.StartTimer(milliseconds(50), [this] { AwaitFaultEnds(); });
    return;
  }
  std::cout << "calm" << std::endl;
  loop_.StartTimer(kRecoveryTimeout - kRecoveryMeasurementPeriod,
                   [this] { ledger_.BeginRecoveryMeasurement(); });
  loop_.StartTimer(kRecoveryTimeout, [this] { Finish(); });
}

void Soak::Finish() {
  if (ledger_.RecoveredFraction() < kMinRecoveredFraction) {
    std::cout << "BROKEN RECOVER: only " << ledger_.RecoveredFraction()
              << " of the requests after the last fault were served" << std::endl;
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
                 "The logs of the node processes are kept in PATH/seed-N.\n";
    return EXIT_FAILURE;
  }
  std::signal(SIGPIPE, SIG_IGN);
  sassafrasbay::soak::Soak soak(std::move(options));
  return soak.Run();
}
