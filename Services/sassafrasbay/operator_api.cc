#include "operator_api.h"

#include <curl/curl.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "LibControl/placement.h"
#include "LibRouting/classify.h"

namespace sassafrasbay {
namespace {

using nlohmann::json;

HttpResponse IndentedResponse(int status, const json& body) {
  // Texts of queries aren't checked for valid UTF-8, without which dump would throw.
  return JsonResponse(status, body.dump(2, ' ', false, json::error_handler_t::replace) + "\n");
}

HttpResponse ErrorResponse(int status, std::string_view message) {
  return IndentedResponse(status, {{"error", message}});
}

/// Returns the percent-decoded value of a query parameter; empty when absent.
std::string QueryParameter(std::string_view path, std::string_view name) {
  std::size_t start = path.find('?');
  while (start != std::string_view::npos) {
    const std::string_view rest = path.substr(start + 1);
    const std::size_t end = rest.find('&');
    const std::string_view item = rest.substr(0, end);
    if (item.size() > name.size() && item.starts_with(name) && item[name.size()] == '=') {
      const std::string_view value = item.substr(name.size() + 1);
      int length = 0;
      char* decoded =
          curl_easy_unescape(nullptr, value.data(), static_cast<int>(value.size()), &length);
      std::string result(decoded, static_cast<std::size_t>(length));
      curl_free(decoded);
      return result;
    }
    start = end == std::string_view::npos ? end : start + 1 + end;
  }
  return {};
}

std::string NodeName(const ControlState& state, const SessionId& session) {
  const Session* found = FindSession(state, session);
  return found == nullptr ? "" : found->join_.node_;
}

json DescribeSession(const ControlState& state, const Session& session) {
  json grantors = json::array();
  for (const GrantorAssignment& assignment : session.grantors_) {
    grantors.push_back({{"node", NodeName(state, assignment.grantor_)},
                        {"session", assignment.grantor_},
                        {"attested", assignment.attested_}});
  }
  return {{"session", session.join_.session_},
          {"node", session.join_.node_},
          {"service", session.join_.service_},
          {"data_centre", session.join_.data_centre_},
          {"epoch", session.epoch_},
          {"draining", session.draining_},
          {"units", CountUnits(state, session.join_.session_)},
          {"grantors", std::move(grantors)}};
}

/// Ratio of the maximum to the mean number of units over the sessions of a service.
double UnitImbalance(const ControlState& state, const std::string& name, std::size_t units) {
  std::size_t sessions = 0;
  std::size_t max_units = 0;
  for (const auto& [id, session] : state.sessions_) {
    if (session.join_.service_ == name) {
      ++sessions;
      max_units = std::max<std::size_t>(max_units, CountUnits(state, id));
    }
  }
  return units == 0 ? 1 : static_cast<double>(max_units * sessions) / static_cast<double>(units);
}

json DescribeService(const Metrics& metrics, const ControlState& state, const std::string& name,
                     const ServiceState& service) {
  std::size_t without_owner = 0;
  std::size_t moving = 0;
  ForEachUnit(name, service, [&](const UnitId&, const Unit& unit) {
    without_owner += unit.owner_.empty() ? 1 : 0;
    moving += unit.move_ ? 1 : 0;
  });
  const std::size_t units = service.shards_.size() + service.overrides_.size();
  const std::string labels = "service=\"" + name + "\"";
  return {{"shards", service.shards_.size()},
          {"overrides", service.overrides_.size()},
          {"without_owner", without_owner},
          {"moving", moving},
          {"unit_imbalance", UnitImbalance(state, name, units)},
          {"ownership_moves", metrics.CounterValue(kOwnershipMovesMetric, labels)},
          {"unavailable_unit_ms", metrics.CounterValue(kUnavailableUnitTimeMetric, labels)}};
}

}  // namespace

OperatorApi::OperatorApi(SharedState& shared, const LeaseView& lease, UpstreamLink& link,
                         OwnedUnits& units, Owner& owner)
    : shared_(shared), lease_(lease), link_(link), units_(units), owner_(owner) {}

void OperatorApi::SetSnapshot(std::shared_ptr<const RoutingSnapshot> snapshot) {
  snapshot_ = std::move(snapshot);
}

HttpResponse OperatorApi::Handle(const HttpRequest& request) {
  std::string_view path = request.path_;
  path = path.substr(0, path.find('?'));
  if (path == "/-/announce" && request.method_ == "POST") {
    return Announce(request);
  }
  if (path == "/-/drain" && request.method_ == "POST") {
    return Drain(request);
  }
  if (path == "/-/metrics" && request.method_ == "GET") {
    return RenderMetrics();
  }
  if (path == "/-/status" && request.method_ == "GET") {
    return Status();
  }
  if (path == "/-/explain" && request.method_ == "GET") {
    return Explain(request);
  }
  return ErrorResponse(404, "unknown path or method");
}

HttpResponse OperatorApi::Announce(const HttpRequest& request) {
  const json body = json::parse(request.body_, nullptr, false);
  if (!body.is_object()) {
    return ErrorResponse(400, "the body is not a JSON object");
  }
  UpstreamAnnouncement announcement;
  const auto text = [&body](const char* key) {
    return body.contains(key) && body[key].is_string() ? body[key].get<std::string>() : "";
  };
  const auto number = [&body](const char* key, std::uint32_t fallback) {
    return body.contains(key) && body[key].is_number_unsigned() ? body[key].get<std::uint32_t>()
                                                                : fallback;
  };
  const auto flag = [&body](const char* key) {
    return body.contains(key) && body[key].is_boolean() && body[key].get<bool>();
  };
  announcement.service_ = text("service");
  announcement.address_ = text("address");
  announcement.checks_grants_ = flag("checks_grants");
  announcement.draining_ = flag("draining");
  announcement.slots_ = number("slots", announcement.slots_);
  announcement.connections_ = number("connections", announcement.connections_);
  if (announcement.service_.empty() || ParseEndpoint(announcement.address_).host_.empty() ||
      announcement.slots_ == 0 || announcement.connections_ == 0) {
    return ErrorResponse(400,
                         "service, address (numeric host:port), slots and connections are needed");
  }
  if (link_.Announce(announcement)) {
    on_upstream_started_();
  }
  control_.upstream_announced_(announcement);
  return IndentedResponse(200, {{"node", shared_.settings_.name_}});
}

HttpResponse OperatorApi::Status() const {
  json body = {{"node", shared_.settings_.name_},
               {"data_centre", shared_.settings_.data_centre_},
               {"upstream", link_.Health()},
               {"lease_remaining_ms",
                std::chrono::floor<milliseconds>(LeaseEnd(lease_) - BootClock::now()).count()},
               {"units_held", units_.Count()}};
  if (snapshot_) {
    const ControlState& state = *snapshot_->state_;
    body["planner"] = NodeName(state, PlannerSession(state));
    body["session"] = snapshot_->own_session_;
    body["next_offset"] = state.next_offset_;
    body["configuration_version"] = state.configuration_version_;
    body["sessions"] = json::array();
    for (const auto& [id, session] : state.sessions_) {
      body["sessions"].push_back(DescribeSession(state, session));
    }
    body["services"] = json::object();
    for (const auto& [name, service] : state.services_) {
      body["services"][name] = DescribeService(shared_.metrics_, state, name, service);
    }
  }
  return IndentedResponse(200, body);
}

HttpResponse OperatorApi::Explain(const HttpRequest& request) const {
  const std::string service_name = QueryParameter(request.path_, "service");
  const std::string key = QueryParameter(request.path_, "key");
  if (service_name.empty() || key.empty()) {
    return ErrorResponse(400, "the parameters service and key are needed");
  }
  if (!snapshot_) {
    return ErrorResponse(503, "this node has not read the log yet");
  }
  const ControlState& state = *snapshot_->state_;
  const auto service = state.services_.find(service_name);
  if (service == state.services_.end()) {
    return ErrorResponse(404, "no such service");
  }
  const UnitId id = UnitOfKey(service->second, service_name, HashKey(service_name, key));
  const Unit* unit = FindUnit(state, id);
  if (unit == nullptr) {
    return ErrorResponse(404, "the service has no units");
  }
  json body = {{"service", service_name},
               {"key", key},
               {"unit", id.unit_},
               {"key_override", id.unit_ >= kFirstOverrideUnit},
               {"owner", NodeName(state, unit->owner_)},
               {"session", unit->owner_},
               {"token", unit->token_},
               {"assigned_at_offset", unit->token_},
               {"inherited_from", unit->inherited_from_}};
  if (unit->move_) {
    body["moving_to"] = NodeName(state, unit->move_->to_);
    body["move_token"] = unit->move_->token_;
  }
  return IndentedResponse(200, body);
}

HttpResponse OperatorApi::RenderMetrics() {
  Metrics& metrics = shared_.metrics_;
  const Admission& admission = owner_.CurrentAdmission();
  metrics.SetGauge("sassafrasbay_units_held", {}, static_cast<double>(units_.Count()));
  metrics.SetGauge("sassafrasbay_admission_limit", {}, CurrentLimit(admission, BootClock::now()));
  metrics.SetGauge("sassafrasbay_admission_running", {}, admission.running_);
  metrics.SetGauge("sassafrasbay_admission_queued", {},
                   static_cast<double>(admission.queue_.size()));
  if (snapshot_) {
    for (const auto& [name, service] : snapshot_->state_->services_) {
      const std::string labels = "service=\"" + name + "\"";
      const std::size_t units = service.shards_.size() + service.overrides_.size();
      metrics.SetGauge("sassafrasbay_unit_imbalance", labels,
                       UnitImbalance(*snapshot_->state_, name, units));
      // Exports the counters as 0 before their first event, so that rates include that event.
      metrics.Count(kOwnershipMovesMetric, labels, 0);
      metrics.Count(kUnavailableUnitTimeMetric, labels, 0);
    }
    metrics.SetGauge("sassafrasbay_configuration_version", {},
                     static_cast<double>(snapshot_->state_->configuration_version_));
    metrics.SetGauge("sassafrasbay_log_next_offset", {},
                     static_cast<double>(snapshot_->state_->next_offset_));
  }
  return {200, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics.Render()};
}

HttpResponse OperatorApi::Drain(const HttpRequest& request) {
  control_.drain_requested_(QueryParameter(request.path_, "exit") == "true");
  return IndentedResponse(202, {{"draining", true}});
}

}  // namespace sassafrasbay
