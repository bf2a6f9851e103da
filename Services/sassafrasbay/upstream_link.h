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

/// The connection to this node's upstream: its announcement, health, grants and requests.
class UpstreamLink {
 public:
  struct Hooks {
    std::function<void()> on_granted_;  ///< The upstream confirmed a changed set of grants.
    std::function<void()> on_lost_;     ///< Probes failed repeatedly, or one was refused.
  };

  UpstreamLink(ReactorLoop& loop, SharedState& shared, const LeaseView& lease,
               const StateChart& health_chart);
  UpstreamLink(const UpstreamLink&) = delete;
  UpstreamLink& operator=(const UpstreamLink&) = delete;

  void SetHooks(Hooks hooks) { hooks_ = std::move(hooks); }

  /// Returns true when the announcement starts a new instance of the upstream: it is the first one,
  /// has another address or service, or follows a loss.
  bool Announce(const UpstreamAnnouncement& announcement);

  const std::optional<UpstreamAnnouncement>& Announcement() const { return announcement_; }
  const std::string& Health() const { return health_.state_; }
  /// Whether an upstream is announced and not lost.
  bool IsUsable() const;

  /// Whether requests may be sent to the upstream. False from the first failed probe on, since a
  /// request sent to a frozen upstream would have to expire before its unit can move.
  bool AcceptsRequests() const;

  /// Sets the units that this node owns, with their tokens. They are granted until the lease ends,
  /// and the grants are renewed with each extension of the lease.
  void SetUnits(std::map<UnitId, Offset> units);

  /// Whether requests for the unit may be sent to the upstream: the upstream doesn't check grants,
  /// or it has confirmed a grant with this token.
  bool IsGranted(const UnitId& unit, Offset token) const;

  HttpClient::CallId Send(HttpRequest request, milliseconds timeout, bool fresh_connection,
                          HttpClient::Callback callback);

  /// Ends a call without calling its callback, and asks the upstream to cancel the request.
  void Cancel(HttpClient::CallId call, std::string_view request_id);

  /// Checks, without waiting for the next probe, whether the upstream answers its health check.
  /// `callback` gets false when its port refuses the connection, or after several checks without an
  /// answer, at most 0.7 s later.
  void CheckAlive(std::function<void(bool alive)> callback);

 private:
  void CheckAliveAgain(std::function<void(bool alive)> callback, int failed_checks);
  HttpCall HealthCheck() const;
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
  /// For probes, grants and cancellations, so that requests that use all connections of
  /// request_client_ don't delay them.
  std::unique_ptr<HttpClient> probe_client_;
  std::map<UnitId, Offset> units_;
  std::map<UnitId, Offset> granted_;
  std::uint64_t grants_sent_ = 0;  ///< Number of the latest call that sent grants.
  /// Number of the latest confirmed call; confirmations of calls with lower numbers are ignored.
  std::uint64_t grants_confirmed_ = 0;
  int failed_probes_ = 0;
  bool probe_running_ = false;
};

}  // namespace sassafrasbay
