#include "upstream_link.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "LibCore/logging.h"

namespace sassafrasbay {
namespace {

constexpr std::string_view kPart = "upstream";
constexpr milliseconds kProbeInterval{100};
constexpr milliseconds kProbeTimeout{150};

/// Consecutive failed probes after which the upstream is lost; when they time out, this takes about
/// 0.6 s. With a lower threshold, a pause of a loaded upstream would count as a loss.
constexpr int kFailedProbesThreshold = 3;

/// Connections of the upstream that are reserved for probes and grants.
constexpr int kReservedConnections = 4;

/// Combines units with adjacent numbers and the same token into one range.
nlohmann::json GrantRanges(const std::map<UnitId, Offset>& units) {
  nlohmann::json ranges = nlohmann::json::array();
  for (const auto& [unit, token] : units) {
    if (!ranges.empty() && ranges.back()["token"] == token &&
        ranges.back()["last"] == unit.unit_ - 1) {
      ranges.back()["last"] = unit.unit_;
      continue;
    }
    ranges.push_back({{"first", unit.unit_}, {"last", unit.unit_}, {"token", token}});
  }
  return ranges;
}

}  // namespace

UpstreamLink::UpstreamLink(ReactorLoop& loop, SharedState& shared, const LeaseView& lease,
                           const StateChart& health_chart)
    : loop_(loop), shared_(shared), lease_(lease), health_(StartChart(health_chart)) {
  probe_client_ = std::make_unique<HttpClient>(loop_, kReservedConnections);
  loop_.StartRepeatingTimer(kProbeInterval, [this] { Probe(); });
  loop_.StartRepeatingTimer(shared_.settings_.heartbeat_, [this] { SendGrants(); });
}

bool UpstreamLink::Announce(const UpstreamAnnouncement& announcement) {
  const bool unchanged = announcement_ && announcement_->address_ == announcement.address_ &&
                         announcement_->service_ == announcement.service_;
  if (unchanged && health_.state_ != "lost") {
    announcement_->draining_ = announcement.draining_;
    return false;
  }
  // The chart accepts the event "announced" only in the states "unknown" and "lost".
  if (health_.state_ != "unknown" && health_.state_ != "lost") {
    health_.state_ = "lost";
  }
  if (auto fired = Fire(health_, "announced"); !fired) {
    LogError(kPart, ToString(fired.error()));
    return false;
  }
  announcement_ = announcement;
  failed_probes_ = 0;
  granted_.clear();
  // Ignore late confirmations of the earlier instance: they are not grants of this one.
  grants_confirmed_ = grants_sent_ + 1;
  const int connections =
      std::max(1, static_cast<int>(announcement.connections_) - kReservedConnections);
  request_client_ = std::make_unique<HttpClient>(loop_, connections);
  LogInfo(kPart, "Upstream " + announcement.address_ + " of " + announcement.service_ +
                     " announced itself; it " +
                     (announcement.checks_grants_ ? "checks grants." : "does not check grants."));
  return true;
}

bool UpstreamLink::IsUsable() const {
  return announcement_ && health_.state_ != "lost" && health_.state_ != "unknown";
}

bool UpstreamLink::AcceptsRequests() const {
  return announcement_ && (health_.state_ == "cold" || health_.state_ == "healthy");
}

void UpstreamLink::SetUnits(std::map<UnitId, Offset> units) {
  if (units == units_) {
    return;
  }
  units_ = std::move(units);
  SendGrants();
}

bool UpstreamLink::IsGranted(const UnitId& unit, Offset token) const {
  if (!announcement_) {
    return false;
  }
  if (!announcement_->checks_grants_) {
    return true;
  }
  const auto found = granted_.find(unit);
  return found != granted_.end() && found->second == token;
}

HttpClient::CallId UpstreamLink::Send(HttpRequest request, milliseconds timeout,
                                      bool fresh_connection, HttpClient::Callback callback) {
  HttpCall call;
  call.base_url_ = BaseUrl();
  call.request_ = std::move(request);
  call.timeout_ = timeout;
  call.fresh_connection_ = fresh_connection;
  return request_client_->Start(std::move(call), std::move(callback));
}

void UpstreamLink::Cancel(HttpClient::CallId call, std::string_view request_id) {
  request_client_->Cancel(call);
  HttpCall cancel;
  cancel.base_url_ = BaseUrl();
  cancel.request_.method_ = "POST";
  cancel.request_.path_ = "/-/cancel?request=" + std::string(request_id);
  cancel.timeout_ = kProbeTimeout;
  probe_client_->Start(std::move(cancel), [](const HttpResult&) {});
}

void UpstreamLink::CheckAlive(std::function<void(bool alive)> callback) {
  CheckAliveAgain(std::move(callback), 0);
}

// A process that ends may close its connections before its port, so a connection that the port
// accepts is no sign of life.
void UpstreamLink::CheckAliveAgain(std::function<void(bool alive)> callback, int failed_checks) {
  HttpCall call = HealthCheck();
  call.fresh_connection_ = true;
  probe_client_->Start(std::move(call), [this, callback = std::move(callback),
                                         failed_checks](const HttpResult& result) mutable {
    if (result.response_.has_value()) {
      callback(true);
      return;
    }
    LogInfo(kPart, "Health check " + std::to_string(failed_checks + 1) +
                       " after a lost connection failed: " + ToString(result.response_.error()) +
                       ".");
    if (!result.maybe_sent_ || failed_checks + 1 >= kFailedProbesThreshold) {
      callback(false);
      return;
    }
    loop_.StartTimer(kProbeInterval, [this, callback = std::move(callback), failed_checks] {
      CheckAliveAgain(callback, failed_checks + 1);
    });
  });
}

HttpCall UpstreamLink::HealthCheck() const {
  HttpCall call;
  call.base_url_ = BaseUrl();
  call.request_ = {"GET", "/-/health", {}, {}};
  call.timeout_ = kProbeTimeout;
  return call;
}

void UpstreamLink::Probe() {
  if (!IsUsable() || probe_running_) {
    return;
  }
  probe_running_ = true;
  probe_client_->Start(HealthCheck(),
                       [this, address = announcement_->address_](const HttpResult& result) {
                         probe_running_ = false;
                         if (announcement_->address_ == address) {
                           OnProbe(result);
                         }
                       });
}

void UpstreamLink::OnProbe(const HttpResult& result) {
  if (result.response_.has_value() && result.response_.value().status_ == 200) {
    failed_probes_ = 0;
    if (health_.state_ == "cold") {
      (void)Fire(health_, "warmed");
    } else if (health_.state_ == "suspect") {
      (void)Fire(health_, "succeeded");
    }
    return;
  }
  ++failed_probes_;
  if (health_.state_ == "healthy" || health_.state_ == "cold") {
    (void)Fire(health_, "failed");
  }
  // A refused connection means that nothing listens at the address any more, so the upstream is
  // lost without further probes.
  const bool refused = !result.response_.has_value() && !result.maybe_sent_;
  if (refused || failed_probes_ >= kFailedProbesThreshold) {
    MarkLost();
  }
}

void UpstreamLink::MarkLost() {
  if (auto fired = Fire(health_, "lost"); !fired) {
    LogError(kPart, ToString(fired.error()));
    return;
  }
  granted_.clear();
  shared_.metrics_.Count("sassafrasbay_upstream_losses_total");
  LogWarning(kPart, "Upstream " + announcement_->address_ + " is lost after " +
                        std::to_string(failed_probes_) + " failed probes.");
  hooks_.on_lost_();
}

void UpstreamLink::SendGrants() {
  if (!IsUsable() || !announcement_->checks_grants_) {
    return;
  }
  nlohmann::json body;
  body["service"] = announcement_->service_;
  body["expires_boottime_ms"] = ToBootMilliseconds(LeaseEnd(lease_));
  body["units"] = GrantRanges(units_);
  HttpCall call;
  call.base_url_ = BaseUrl();
  call.request_ = {"PUT", "/-/grants", {{"Content-Type", "application/json"}}, body.dump()};
  call.timeout_ = shared_.settings_.lease_;
  const std::uint64_t number = ++grants_sent_;
  probe_client_->Start(std::move(call), [this, number, units = units_](const HttpResult& result) {
    if (!result.response_.has_value() || result.response_.value().status_ != 200 || !IsUsable()) {
      return;
    }
    // Confirmations can arrive out of order. An older one would withdraw the grants of units that
    // were announced as serving, and requests for them would wait until their deadline.
    if (number < grants_confirmed_) {
      return;
    }
    grants_confirmed_ = number;
    const bool changed = granted_ != units;
    granted_ = units;
    if (changed) {
      hooks_.on_granted_();
    }
  });
}

std::string UpstreamLink::BaseUrl() const { return "http://" + announcement_->address_; }

}  // namespace sassafrasbay
