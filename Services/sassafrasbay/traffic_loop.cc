#include "traffic_loop.h"

#include <utility>

#include "LibCore/logging.h"

namespace sassafrasbay {
namespace {

constexpr std::string_view kPart = "traffic";
constexpr milliseconds kIdlePollInterval{20};

}  // namespace

TrafficLoop::TrafficLoop(SharedState& shared, const Charts& charts)
    : shared_(shared),
      peers_(loop_, shared_),
      link_(loop_, shared_, lease_, charts.upstream_health_),
      copies_(peers_, shared_),
      units_(loop_, shared_, charts.unit_ownership_, link_, peers_, copies_, table_),
      owner_(loop_, shared_, lease_, link_, units_, copies_, table_, peers_),
      ingress_(loop_, shared_, charts.request_, owner_, peers_),
      operators_(shared_, lease_, link_, units_, owner_) {}

Result<void> TrafficLoop::Open(const ControlCalls& control) {
  units_.SetControlCalls(control);
  owner_.SetControlCalls(control);
  operators_.SetControlCalls(control);
  operators_.SetUpstreamStarted([this] { owner_.OnUpstreamStarted(); });
  link_.SetHooks({[this] { units_.OnGranted(); }, [this] { owner_.OnUpstreamLost(); }});
  units_.SetHooks({[this](const UnitId& unit) { owner_.OnUnitServing(unit); },
                   [this](const UnitId& unit) { owner_.OnUnitUnavailable(unit); },
                   [this](const UnitId& unit) { return owner_.HasRunningRequests(unit); }});
  SASSAFRASBAY_TRY(peers_.Listen([this](ConnectionId connection, TrafficMessage message) {
    OnMessage(connection, std::move(message));
  }));
  auto server = HttpServerBuilder(loop_)
                    .Listen(shared_.settings_.callers_.host_, shared_.settings_.callers_.port_)
                    .MaxBodyBytes(shared_.settings_.max_body_bytes_)
                    .OnRequest([this](const std::shared_ptr<HttpExchange>& exchange) {
                      OnExchange(exchange);
                    })
                    .CountIn(shared_.metrics_)
                    .Build();
  if (!server) {
    return server.error();
  }
  server_ = std::move(server.value());
  return boost::outcome_v2::success();
}

TrafficCalls TrafficLoop::Calls() {
  TrafficCalls calls;
  calls.snapshot_published_ = [this](std::shared_ptr<const RoutingSnapshot> snapshot) {
    loop_.Post([this, snapshot = std::move(snapshot)] { SetSnapshot(snapshot); });
  };
  calls.stop_owning_ = [this] { loop_.Post([this] { owner_.StopOwning(); }); };
  calls.drain_connections_ = [this](std::function<void()> done) {
    loop_.Post([this, done = std::move(done)] {
      server_->StopAccepting();
      FinishWhenIdle(done, BootClock::now() + shared_.settings_.drain_limit_);
    });
  };
  return calls;
}

void TrafficLoop::SetSnapshot(const std::shared_ptr<const RoutingSnapshot>& snapshot) {
  lease_.cell_ = snapshot->lease_;
  copies_.SetSnapshot(snapshot);
  owner_.SetSnapshot(snapshot);
  operators_.SetSnapshot(snapshot);
  units_.SetSnapshot(snapshot);
  ingress_.SetSnapshot(snapshot);
  copy_store_.Prune(*snapshot->state_, shared_.settings_.request_table_retention_,
                    BootClock::now());
}

void TrafficLoop::OnExchange(const std::shared_ptr<HttpExchange>& exchange) {
  if (OperatorApi::IsOperatorRequest(exchange->Request())) {
    exchange->Respond(operators_.Handle(exchange->Request()));
    return;
  }
  ingress_.Handle(exchange);
}

void TrafficLoop::OnMessage(ConnectionId connection, TrafficMessage message) {
  if (auto* forward = std::get_if<Forward>(&message)) {
    OnForward(connection, std::move(*forward));
  } else if (const auto* cancel = std::get_if<Cancel>(&message)) {
    const auto found = owner_request_numbers_.find({connection, cancel->number_});
    if (found != owner_request_numbers_.end()) {
      owner_.Cancel(found->second);
      owner_request_numbers_.erase(found);
    }
  } else if (const auto* entry = std::get_if<CopyEntry>(&message)) {
    copy_store_.Store(*entry, BootClock::now());
    peers_.Reply(connection, CopyAck{entry->number_});
  } else if (const auto* table = std::get_if<CopyTable>(&message)) {
    copy_store_.Store(*table, BootClock::now());
    peers_.Reply(connection, CopyAck{table->number_});
  } else if (const auto* request = std::get_if<TableRequest>(&message)) {
    peers_.Reply(connection, copy_store_.Find(*request));
  } else if (const auto* handover = std::get_if<Handover>(&message)) {
    units_.OnHandover(connection, *handover);
  } else if (const auto* suspect = std::get_if<Suspect>(&message)) {
    owner_.OnSuspect(*suspect);
  }
}

void TrafficLoop::OnForward(ConnectionId connection, Forward forward) {
  const std::uint64_t number = forward.number_;
  const std::pair<ConnectionId, std::uint64_t> key{connection, number};
  auto answered = std::make_shared<bool>(false);
  const std::uint64_t owner_request_number =
      owner_.Handle(std::move(forward), [this, connection, key, answered](RoutedAnswer answer) {
        *answered = true;
        owner_request_numbers_.erase(key);
        peers_.Reply(connection, Answer{key.second, std::move(answer), {}});
      });
  if (!*answered) {
    owner_request_numbers_[key] = owner_request_number;
  }
}

void TrafficLoop::FinishWhenIdle(const std::function<void()>& done, BootTime deadline) {
  const bool idle = server_->OpenExchanges() == 0 && owner_.IsIdle();
  if (!idle && BootClock::now() < deadline) {
    loop_.StartTimer(kIdlePollInterval, [this, done, deadline] { FinishWhenIdle(done, deadline); });
    return;
  }
  LogInfo(kPart,
          idle ? "All requests are finished." : "The drain limit passed with requests still open.");
  done();
}

}  // namespace sassafrasbay
