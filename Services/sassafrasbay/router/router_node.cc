#include "router/router_node.h"

#include <pthread.h>

#include <atomic>
#include <csignal>
#include <ctime>
#include <string>
#include <thread>
#include <utility>

#include "LibCore/logging.h"
#include "router/control_thread.h"
#include "router/router_state.h"
#include "router/traffic_thread.h"

namespace sassafrasbay {
namespace {

constexpr std::string_view kPart = "node";
constexpr timespec kSignalPollInterval{0, 100'000'000};

constexpr milliseconds kReloadInterval{1000};

/// Part of the grace period that is reserved for the exit of the process itself.
constexpr milliseconds kExitMargin{500};

sigset_t HandledSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  for (const int signal : {SIGTERM, SIGINT, SIGHUP}) {
    sigaddset(&signals, signal);
  }
  return signals;
}

/// Applies the setting that may change while the process runs: the service of this VM. Changed
/// addresses take effect when the process is restarted.
void Reload(const std::function<Result<platform::NodeEnvironment>()>& reload, bool signalled,
            std::string& service, TrafficThread& traffic) {
  const Result<platform::NodeEnvironment> settings = reload();
  if (!settings) {
    LogWarning(kPart, "reload failed reason=\"" + ToString(settings.error()) +
                          "\"; keeping the previous settings.");
    return;
  }
  if (signalled || settings.value().service_ != service) {
    LogInfo(kPart, "reload service=" + settings.value().service_ + " before=" + service + ".");
  }
  if (settings.value().service_ != service) {
    service = settings.value().service_;
    traffic.SetCallerService(service);
  }
}

}  // namespace

Result<void> RunRouterNode(platform::NodeEnvironment environment, std::string advertised,
                           const std::function<Result<platform::NodeEnvironment>()>& reload) {
  // Blocked before the threads start, so that only this thread receives these signals.
  const sigset_t signals = HandledSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);

  RouterShared shared;
  shared.environment_ = std::move(environment);
  shared.budget_.SetLimit(HeldBytesLimit(shared.environment_.memory_bytes_));
  const platform::ListenAddress& peers = shared.environment_.peers_;
  shared.self_ =
      advertised.empty() ? peers.host_ + ":" + std::to_string(peers.port_) : std::move(advertised);
  TrafficThread traffic(shared);
  ControlThread control(shared);
  SASSAFRASBAY_TRY(traffic.Open(control.Callbacks()));
  SASSAFRASBAY_TRY(control.Open(traffic.Callbacks()));
  std::thread traffic_thread([&traffic] { traffic.Run(); });
  std::thread control_thread([&control] { control.Run(); });
  LogInfo(kPart, "start node=" + shared.environment_.node_ + " address=" + shared.self_ +
                     " data_centre=" + shared.environment_.data_centre_ +
                     " service=" + shared.environment_.service_ + ".");

  std::atomic<bool> drained = false;
  std::string service = shared.environment_.service_;
  BootTime last_reload = BootClock::now();
  while (!drained) {
    const int signal = sigtimedwait(&signals, nullptr, &kSignalPollInterval);
    if (signal == SIGHUP || BootClock::now() - last_reload > kReloadInterval) {
      last_reload = BootClock::now();
      Reload(reload, signal == SIGHUP, service, traffic);
    }
    // Plans of operators overlap, so that a process may be told twice. Each time the platform
    // grants it a grace period.
    if (signal == SIGTERM || signal == SIGINT) {
      LogInfo(kPart, "stop signal=" + std::to_string(signal) + ".");
      traffic.ShutDown(shared.environment_.termination_grace_ - kExitMargin,
                       [&drained] { drained = true; });
    }
  }
  control.Stop();
  traffic.Stop();
  control_thread.join();
  traffic_thread.join();
  LogInfo(kPart, "end node=" + shared.environment_.node_ + ".");
  return boost::outcome_v2::success();
}

}  // namespace sassafrasbay
