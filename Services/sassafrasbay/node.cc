#include "node.h"

#include <pthread.h>

#include <csignal>
#include <ctime>
#include <thread>
#include <utility>

#include "LibCore/logging.h"

namespace sassafrasbay {
namespace {

constexpr std::string_view kPart = "node";
constexpr timespec kSignalPollInterval{0, 50'000'000};

sigset_t TerminationSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

}  // namespace

NodeBuilder& NodeBuilder::Settings(NodeSettings settings) {
  settings_ = std::move(settings);
  return *this;
}

Result<std::unique_ptr<Node>> NodeBuilder::Build() {
  SASSAFRASBAY_TRY(charts, LoadCharts());
  std::unique_ptr<Node> node(new Node());
  node->charts_ = std::move(charts);
  node->shared_.settings_ = settings_;
  return node;
}

Result<void> Node::Run() {
  // New threads inherit the mask, so only the sigtimedwait() below receives the signals.
  const sigset_t signals = TerminationSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);

  TrafficLoop traffic(shared_, charts_);
  ControlLoop control(shared_, charts_);
  std::atomic<bool> drained = false;
  const ControlCalls control_calls = control.Calls();
  SASSAFRASBAY_TRY(traffic.Open(control_calls));
  SASSAFRASBAY_TRY(control.Open(traffic.Calls(), [&drained] { drained = true; }));
  std::thread traffic_thread([&traffic] { traffic.Run(); });
  std::thread control_thread([&control] { control.Run(); });
  // Measurements and operators distinguish the CPU time of the two threads by these names.
  pthread_setname_np(traffic_thread.native_handle(), "traffic");
  pthread_setname_np(control_thread.native_handle(), "control");
  LogInfo(kPart, "Node " + shared_.settings_.name_ + " of data centre " +
                     shared_.settings_.data_centre_ + " accepts callers at " +
                     ToString(shared_.settings_.callers_) + ".");

  int received = 0;
  while (!drained && received < 2) {
    if (sigtimedwait(&signals, nullptr, &kSignalPollInterval) > 0) {
      ++received;
      control_calls.drain_requested_(true);
    }
  }
  control.Stop();
  traffic.Stop();
  control_thread.join();
  traffic_thread.join();
  LogInfo(kPart, "Node " + shared_.settings_.name_ + " has stopped.");
  return boost::outcome_v2::success();
}

}  // namespace sassafrasbay
