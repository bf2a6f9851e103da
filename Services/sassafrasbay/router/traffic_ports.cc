#include <sys/resource.h>

#include <algorithm>
#include <limits>
#include <utility>

#include "router/traffic_thread.h"

namespace sassafrasbay {
namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

/// Descriptors for peers, the upstream, the store and the ports for readiness, heartbeats and
/// metrics. Connections of callers must not use them up.
constexpr std::size_t kReservedDescriptors = 600;

constexpr std::size_t kMaxCallerConnections = 2000;

/// Callers are served even if the descriptor limit leaves none for them.
constexpr std::size_t kMinCallerConnections = 64;

/// Share of the budget for held bytes that callers leave to the ports for readiness, heartbeats and
/// metrics: a node whose upstream can't send heartbeats would lose its keys.
constexpr std::size_t kLocalBudgetShare = 8;

/// Number of callers' connections. `stated` is the limit in the settings; 0 if there is none.
std::size_t MaxCallerConnections(std::size_t stated) {
  std::size_t descriptors = stated == 0 ? std::numeric_limits<std::size_t>::max() : stated;
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
    descriptors = std::min<std::size_t>(descriptors, limit.rlim_cur);
  }
  const std::size_t left = descriptors - std::min(descriptors, kReservedDescriptors);
  return std::clamp(left, kMinCallerConnections, kMaxCallerConnections);
}

}  // namespace

Result<void> TrafficThread::OpenPorts() {
  const platform::NodeEnvironment& environment = shared_.environment_;
  auto callers =
      HttpServerBuilder(loop_)
          .Listen(environment.callers_.host_, environment.callers_.port_)
          .OnRequest(
              [this](const std::shared_ptr<HttpExchange>& exchange) { router_.Handle(exchange); })
          .MayOverlap([this](const HttpRequest& request) { return router_.MayOverlap(request); })
          .MaxConnections(MaxCallerConnections(environment.max_descriptors_))
          .Budget(shared_.budget_, shared_.budget_.Limit() / kLocalBudgetShare)
          .CountIn(shared_.metrics_)
          .Build();
  auto ready = HttpServerBuilder(loop_)
                   .Listen(environment.ready_.host_, environment.ready_.port_)
                   .OnRequest([this](const std::shared_ptr<HttpExchange>& exchange) {
                     exchange->Respond(MakeReadinessResponse());
                   })
                   .MaxConnections(kMaxLocalConnections)
                   .Budget(shared_.budget_)
                   .CountIn(shared_.metrics_)
                   .Build();
  auto metrics = HttpServerBuilder(loop_)
                     .Listen(environment.metrics_.host_, environment.metrics_.port_)
                     .OnRequest([this](const std::shared_ptr<HttpExchange>& exchange) {
                       const bool known = exchange->Request().path_ == "/metrics";
                       exchange->Respond(known ? HttpResponse{kOk, {}, shared_.metrics_.Render()}
                                               : HttpResponse{kNotFound, {}, "see /metrics\n"});
                     })
                     .MaxConnections(kMaxLocalConnections)
                     .Budget(shared_.budget_)
                     .CountIn(shared_.metrics_)
                     .Build();
  for (auto* server : {&callers, &ready, &metrics}) {
    if (!*server) {
      return server->error();
    }
  }
  callers_ = std::move(callers.value());
  ready_ = std::move(ready.value());
  metrics_ = std::move(metrics.value());
  return boost::outcome_v2::success();
}

HttpResponse TrafficThread::MakeReadinessResponse() const {
  const bool ready = !leaving_ && snapshot_ != nullptr && snapshot_->routes_ != nullptr;
  return {ready ? kOk : kUnavailable, {}, ready ? "ready\n" : "not ready\n"};
}

}  // namespace sassafrasbay
