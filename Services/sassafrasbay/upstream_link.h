#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "LibCore/state_chart.h"
#include "LibTransport/http_client.h"
#include "LibTransport/reactor_loop.h"
#include "shared_state.h"

namespace sassafrasbay {

/// The upstream beside this node: its announcement, health, grants and calls.
class UpstreamLink {
 public:
  struct Hooks {
    std::function<void()> on_granted_;  ///< The upstream confirmed a changed set of grants.
    std::function<void()> on_lost_;     ///< Probes failed repeatedly, or its port refuses.
  };

  UpstreamLink(ReactorLoop& loop, SharedState& shared, const LeaseView& lease,
               const StateChart& health_chart);
  UpstreamLink(const UpstreamLink&) = delete;
  UpstreamLink& operator=(const UpstreamLink&) = delete;

  void SetHooks(Hooks hooks) { hooks_ = std::move(hooks); }

  /// True when this starts a new life of an upstream: first announcement, another address, or one
  /// after a loss.
  bool Announce(const UpstreamAnnouncement& announcement);

  const std::optional<UpstreamAnnouncement>& Announcement() const { return announcement_; }
  const std::string& Health() const { return health_.state_; }
  bool IsUsable() const;

  /// Whether requests may be handed over now. False from the first failed probe on: a request given
  /// to a frozen upstream would have to expire before its units can move.
  bool AcceptsRequests() const;

  /// Sets the units this node owns with their tokens; they are granted until the lease ends and
  /// granted anew with each extension.
  void SetUnits(std::map<UnitId, Offset> units);

  /// Whether the upstream may get requests for the unit: it doesn't check grants, or has confirmed
  /// one with this token.
  bool IsGranted(const UnitId& unit, Offset token) const;

  HttpClient::CallId Send(HttpRequest request, milliseconds timeout, bool fresh_connection,
                          HttpClient::Callback callback);

  /// Gives up a call and asks the upstream to cancel the request.
  void Cancel(HttpClient::CallId call, std::string_view request_id);

  /// Asks at once whether the upstream still accepts connections; `callback` gets false only when
  /// its port refuses.
  void CheckAlive(std::function<void(bool alive)> callback);

 private:
  void Probe();
  void OnProbe(const HttpResult& result);
  void MarkLost();
  void SendGrants();
  std::string BaseUrl() const;

  ReactorLoop& loop_;
  SharedState& shared_;
  const LeaseView& lease_;
  Hooks hooks_;
  ChartPosition health_;
  std::optional<UpstreamAnnouncement> announcement_;
  std::unique_ptr<HttpClient> request_client_;
  std::unique_ptr<HttpClient>
      probe_client_;  ///< Of its own, so that full slots don't delay a probe.
  std::map<UnitId, Offset> units_;
  std::map<UnitId, Offset> granted_;
  std::uint64_t grants_sent_ = 0;
  std::uint64_t grants_confirmed_ = 0;  ///< Number of the latest confirmed call.
  int failed_probes_ = 0;
  bool probe_running_ = false;
};

}  // namespace sassafrasbay
