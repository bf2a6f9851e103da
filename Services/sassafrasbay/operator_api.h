#pragma once

#include <functional>
#include <memory>
#include <string>

#include "LibCore/http_message.h"
#include "LibRouting/routing_snapshot.h"
#include "owned_units.h"
#include "owner.h"
#include "shared_state.h"
#include "upstream_link.h"

namespace sassafrasbay {

/// Handles the paths below "/-/": announcements of upstreams, and requests of operators.
class OperatorApi {
 public:
  OperatorApi(SharedState& shared, const LeaseView& lease, UpstreamLink& link, OwnedUnits& units,
              Owner& owner);

  void SetControlCalls(ControlCalls calls) { control_ = std::move(calls); }
  void SetUpstreamStarted(std::function<void()> callback) {
    on_upstream_started_ = std::move(callback);
  }
  void SetSnapshot(std::shared_ptr<const RoutingSnapshot> snapshot);

  static bool IsOperatorRequest(const HttpRequest& request) {
    return request.path_.starts_with("/-/");
  }
  HttpResponse Handle(const HttpRequest& request);

 private:
  HttpResponse Announce(const HttpRequest& request);
  HttpResponse Status() const;
  HttpResponse Explain(const HttpRequest& request) const;
  HttpResponse RenderMetrics();
  HttpResponse Drain(const HttpRequest& request);

  SharedState& shared_;
  const LeaseView& lease_;
  UpstreamLink& link_;
  OwnedUnits& units_;
  Owner& owner_;
  ControlCalls control_;
  std::function<void()> on_upstream_started_;
  std::shared_ptr<const RoutingSnapshot> snapshot_;
};

}  // namespace sassafrasbay
