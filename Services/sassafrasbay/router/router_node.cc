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
constexpr timespec kSignalPoll{0, 100'000'000};

constexpr milliseconds kReloadInterval{1000};

/// Kept back from the grace period for the end of the process itself.
constexpr milliseconds kExitMargin{500};

sigset_t HandledSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  for (const int signal : {SIGTERM, SIGINT, SIGHUP}) {
    sigaddset(&signals, signal);
  }
  return signals;
}

/// Takes what may change while the process runs: the service of this VM. Addresses hold until the
/// process is started again.
void Reload(const std::function<Result<platform::NodeEnvironment>()>& reload, bool signalled,
            std::string& service, TrafficThread& traffic) {
  const Result<platform::NodeEnvironment> settings = reload();
  if (!settings) {
    LogWarning(kPart, "reload failed reason=\"" + ToString(settings.error()) +
                          "\"; the settings read before hold.");
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
  // Blocked before any thread starts, so that only this thread receives them.
  const sigset_t signals = HandledSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);

  RouterShared shared;
  shared.environment_ = std::move(environment);
  const platform::ListenAddress& peers = shared.environment_.peers_;
  shared.self_ =
      advertised.empty() ? peers.host_ + ":" + std::to_string(peers.port_) : std::move(advertised);
  TrafficThread traffic(shared);
  ControlThread control(shared);
  SASSAFRASBAY_TRY(traffic.Open(control.Calls()));
  SASSAFRASBAY_TRY(control.Open(traffic.Calls()));
  std::thread traffic_thread([&traffic] { traffic.Run(); });
  std::thread control_thread([&control] { control.Run(); });
  LogInfo(kPart, "start node=" + shared.environment_.node_ + " address=" + shared.self_ +
                     " data_centre=" + shared.environment_.data_centre_ +
                     " service=" + shared.environment_.service_ + ".");

  std::atomic<bool> drained = false;
  bool leaving = false;
  std::string service = shared.environment_.service_;
  BootTime reloaded = BootClock::now();
  while (!drained) {
    const int signal = sigtimedwait(&signals, nullptr, &kSignalPoll);
    if (signal == SIGHUP || BootClock::now() - reloaded > kReloadInterval) {
      reloaded = BootClock::now();
      Reload(reload, signal == SIGHUP, service, traffic);
    }
    if ((signal == SIGTERM || signal == SIGINT) && !leaving) {
      leaving = true;
      LogInfo(kPart, "stop signal=" + std::to_string(signal) + ".");
      traffic.Leave(shared.environment_.termination_grace_ - kExitMargin, [&drained] { drained = true; });
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
