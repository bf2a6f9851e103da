#define BOOST_TEST_MODULE UpstreamGate
#include <boost/test/unit_test.hpp>

#include "LibTransport/http_server.h"
#include "router/upstream_gate.h"

namespace sassafrasbay {
namespace {

/// A gate in front of an upstream with one slot that answers after service_time_.
struct GateFixture {
  GateFixture() {
    Listen(0);
    upstream_.holder_ = {"a", "i-a", 1};
    upstream_.service_ = "booking";
    upstream_.address_ = "127.0.0.1:" + std::to_string(server_->Port());
    upstream_.accepts_requests_ = true;
    gate_.SetUpstream(std::make_shared<UpstreamState>(upstream_));
  }

  void Listen(std::uint16_t port) {
    server_ = std::move(
        HttpServerBuilder(loop_)
            .Listen("127.0.0.1", port)
            .OnRequest([this](const std::shared_ptr<HttpExchange>& exchange) {
              const auto id = FindHeader(exchange->Request().headers_, "X-Request-Id");
              ++arrivals_;
              HttpResponse answer{200, {{"X-Request-Id", std::string(id)}}, "done"};
              if (!rate_limit_.empty()) {
                answer.headers_.emplace_back("Server-Limit", rate_limit_);
              }
              if (!server_load_.empty()) {
                answer.headers_.emplace_back("X-Server-Load", server_load_);
              }
              if (sheds_) {
                answer.status_ = 503;
                answer.headers_.emplace_back("X-Not-Executed", "1");
              }
              if (leaving_) {
                answer.headers_.emplace_back("Server-Leaving", "1");
              }
              loop_.StartTimer(service_time_, [exchange, answer] { exchange->Respond(answer); });
            })
            .Build()
            .value());
  }

  /// A heartbeat says that the upstream is cold for this time.
  void ReportCold(milliseconds left) {
    upstream_.slots_ = 20;
    upstream_.cold_start_ = ColdStartTerms{milliseconds(3000), 13, 8};
    upstream_.heartbeat_at_ = BootClock::now();
    upstream_.cold_until_ = upstream_.heartbeat_at_ + left;
    gate_.SetUpstream(std::make_shared<UpstreamState>(upstream_));
  }

  void Submit(const std::string& id, int rank = 0, std::optional<ShardKey> key = std::nullopt) {
    ForwardedRequest request;
    request.rank_ = rank;
    request.shard_key_ = key;
    request.service_ = "booking";
    request.class_ = "class";
    request.request_id_ = id;
    request.remaining_ms_ = 5000;
    request.objective_ms_ = 5000;
    request.request_ = {"GET", "/", {{"X-Request-Id", id}}, {}};
    gate_.Submit(request, [this, id](const ForwardedAnswer& answer) { answers_[id] = answer; });
  }

  void RunFor(milliseconds time) {
    loop_.StartTimer(time, [this] { loop_.Stop(); });
    loop_.Run();
  }

  ReactorLoop loop_;
  RouterShared shared_;
  UpstreamGate gate_{loop_, shared_};
  UpstreamState upstream_;
  std::unique_ptr<HttpServer> server_;
  milliseconds service_time_{100};
  std::string rate_limit_;   ///< Named in the upstream's responses; empty for none.
  std::string server_load_;  ///< Stated in the upstream's responses; empty for none.
  bool sheds_ = false;       ///< The upstream rejects all requests.
  bool leaving_ = false;     ///< The upstream's responses say that it leaves.
  int arrivals_ = 0;
  std::map<std::string, ForwardedAnswer> answers_;
};

BOOST_FIXTURE_TEST_SUITE(UpstreamGates, GateFixture)

// Guards against nodes choosing an upstream by what it could do before it became slow.
BOOST_AUTO_TEST_CASE(LoadStatesArrivalsAndSlowness) {
  server_load_ = "1,0,1,300";
  service_time_ = milliseconds(10);
  Submit("slow");
  RunFor(milliseconds(100));
  BOOST_TEST(gate_.Load().slowness_percent_ == 300);
  BOOST_TEST(gate_.Load().arrivals_per_second_ > 0);
  BOOST_TEST(gate_.Load().mean_service_ms_ >= 10);
  RunFor(milliseconds(400));
  BOOST_TEST(gate_.Load().slowness_percent_ == kUsualSlownessPercent);
}

// Guards against an upstream that sheds requests being chosen for all its slots.
BOOST_AUTO_TEST_CASE(SheddingUpstreamReportsFewerSlots) {
  auto upstream = std::make_shared<UpstreamState>();
  upstream->holder_ = {"a", "i-a", 1};
  upstream->service_ = "booking";
  upstream->address_ = "127.0.0.1:" + std::to_string(server_->Port());
  upstream->accepts_requests_ = true;
  upstream->slots_ = 10;
  gate_.SetUpstream(upstream);
  BOOST_TEST(gate_.Load().slots_ == 10);
  service_time_ = milliseconds(1);
  sheds_ = true;
  for (int i = 0; i < 20; ++i) {
    Submit("shed-" + std::to_string(i));
    RunFor(milliseconds(20));
  }
  BOOST_TEST((answers_.at("shed-0").outcome_ == GateOutcome::kRejected));
  BOOST_TEST(gate_.Load().slots_ < 6);
  BOOST_TEST(gate_.Load().slots_ >= 1);
}

// Guards against lost requests in a rolling restart under load: a request that waited at a gate
// whose process was about to end was sent to the upstream and cut off by the end of the process
// (LOST in scale-1 of kcrw-waxrota-grown).
BOOST_AUTO_TEST_CASE(WaitingRequestsAreRefusedWhenGateStops) {
  Submit("runs");
  Submit("waits");
  gate_.StopAdmitting();
  BOOST_TEST((answers_.at("waits").outcome_ == GateOutcome::kRefused));
  BOOST_TEST(!answers_.contains("runs"));
  RunFor(milliseconds(400));
  BOOST_TEST((answers_.at("runs").outcome_ == GateOutcome::kAnswered));
}

// The gate estimates the duration from the service time that the first request gave.
BOOST_AUTO_TEST_CASE(RequestsOutlastingShutdownAreRefused) {
  Submit("first");
  RunFor(milliseconds(400));
  BOOST_REQUIRE((answers_.at("first").outcome_ == GateOutcome::kAnswered));
  gate_.SetShutdownDeadline(BootClock::now() + milliseconds(60));
  Submit("second");
  BOOST_REQUIRE(answers_.contains("second"));
  BOOST_TEST((answers_.at("second").outcome_ == GateOutcome::kRefused));
}

// Guards against an upstream that gets far more requests than the limit that it has named (LIMIT).
// Load: forty times the limit, from whichever nodes.
BOOST_AUTO_TEST_CASE(UpstreamGetsNoMoreRequestsThanItsLimit) {
  constexpr double kLimit = 25;
  constexpr milliseconds kWindow{4000};
  rate_limit_ = "25.0";
  service_time_ = milliseconds(5);
  Submit("first");
  RunFor(milliseconds(100));
  arrivals_ = 0;
  int sent = 0;
  const ReactorLoop::TimerId timer =
      loop_.StartRepeatingTimer(milliseconds(1), [&] { Submit(std::to_string(++sent)); });
  RunFor(kWindow);
  loop_.CancelTimer(timer);
  const double allowed = kLimit * std::chrono::duration<double>(kWindow).count();
  BOOST_TEST(arrivals_ <= 1.5 * allowed + 5);
  BOOST_TEST(arrivals_ >= 0.8 * allowed);
  // Requests that the limit leaves no time for are refused at once, with the time to come back.
  const ForwardedAnswer& refused = answers_.at(std::to_string(sent));
  BOOST_TEST((refused.outcome_ == GateOutcome::kRefused));
  BOOST_TEST(refused.retry_after_ms_ > 0);
  // A response without a limit ends it.
  rate_limit_.clear();
  Submit("unlimited");
  RunFor(milliseconds(6000));
  arrivals_ = 0;
  for (int i = 0; i < 100; ++i) {
    Submit("after " + std::to_string(i));
  }
  RunFor(milliseconds(1500));
  BOOST_TEST(arrivals_ == 100);
}

// Guards against upstreams that crash again and again after a loss of all power. Load: a thousand
// requests a second, to an upstream that bears 13 while it is cold.
BOOST_AUTO_TEST_CASE(ColdUpstreamGetsItsRateUntilItIsWarm) {
  service_time_ = milliseconds(5);
  ReportCold(milliseconds(3000));
  int sent = 0;
  const ReactorLoop::TimerId timer =
      loop_.StartRepeatingTimer(milliseconds(1), [&] { Submit(std::to_string(++sent)); });
  RunFor(milliseconds(2000));
  BOOST_TEST(gate_.Load().slots_ < upstream_.slots_);
  BOOST_TEST(arrivals_ <= 16);  // The gate is new, so the first second counts as full.
  BOOST_TEST(arrivals_ >= 10);
  BOOST_TEST((answers_.at(std::to_string(sent)).outcome_ == GateOutcome::kRefused));
  BOOST_TEST(answers_.at(std::to_string(sent)).retry_after_ms_ > 0);
  // The demand shows the capacity of the warm upstream, so that keys stay.
  BOOST_TEST(gate_.Demand()->capacity_per_second_ > 100);
  RunFor(milliseconds(1200));
  arrivals_ = 0;
  RunFor(milliseconds(500));
  loop_.CancelTimer(timer);
  BOOST_TEST(arrivals_ >= 100);
}

// Guards against a crash of an upstream that has just started again and gets all requests before
// its first heartbeat.
BOOST_AUTO_TEST_CASE(UpstreamThatRefusesConnectionsIsColdUntilItsHeartbeat) {
  UpstreamGate::Hooks hooks;
  hooks.on_suspect_ = [](const Suspect&) {};
  gate_.SetHooks(std::move(hooks));
  ReportCold(milliseconds(0));
  const std::uint16_t port = server_->Port();
  server_.reset();
  Submit("refused");
  RunFor(milliseconds(300));
  BOOST_TEST((answers_.at("refused").outcome_ == GateOutcome::kRefused));
  Listen(port);
  arrivals_ = 0;
  for (int i = 0; i < 200; ++i) {
    Submit(std::to_string(i));
  }
  RunFor(milliseconds(1000));
  BOOST_TEST(arrivals_ <= 15);
  ReportCold(milliseconds(0));
  arrivals_ = 0;
  for (int i = 0; i < 50; ++i) {
    Submit("warm " + std::to_string(i));
  }
  RunFor(milliseconds(1000));
  BOOST_TEST(arrivals_ >= 50);
}

// Guards against requests that reach an evacuated data centre, those that waited for a slot and
// those for keys that haven't moved yet included. Running requests end as usual.
BOOST_AUTO_TEST_CASE(EvacuatedGateAdmitsNothingUntilTheMarkIsRemoved) {
  Submit("runs");
  Submit("waits");
  upstream_.evacuated_ = true;
  upstream_.accepts_requests_ = false;
  upstream_.granted_ = {{0, kLastShardKey}};
  upstream_.granted_until_ = upstream_.drain_deadline_ = BootClock::now() + milliseconds(5000);
  gate_.SetUpstream(std::make_shared<UpstreamState>(upstream_));
  BOOST_TEST((answers_.at("waits").reason_ == RefusalReason::kNoUpstream));
  Submit("new");
  Submit("keyed", 0, 7);
  BOOST_TEST((answers_.at("new").reason_ == RefusalReason::kNoUpstream));
  BOOST_TEST((answers_.at("keyed").reason_ == RefusalReason::kNoUpstream));
  BOOST_TEST(gate_.Load().slots_ == 0);
  RunFor(milliseconds(300));
  BOOST_TEST((answers_.at("runs").outcome_ == GateOutcome::kAnswered));
  BOOST_TEST(arrivals_ == 1);
  upstream_.evacuated_ = false;
  upstream_.accepts_requests_ = true;
  gate_.SetUpstream(std::make_shared<UpstreamState>(upstream_));
  Submit("again");
  RunFor(milliseconds(300));
  BOOST_TEST((answers_.at("again").outcome_ == GateOutcome::kAnswered));
}

// Guards against requests to an upstream that has announced its leaving in its responses only
// (DRAIN).
BOOST_AUTO_TEST_CASE(LeavingThatAResponseAnnouncesIsReported) {
  std::vector<std::string> leaving;
  UpstreamGate::Hooks hooks;
  hooks.on_leaving_ = [&](const Holder& holder) { leaving.push_back(holder.instance_); };
  gate_.SetHooks(std::move(hooks));
  Submit("ready");
  RunFor(milliseconds(200));
  BOOST_TEST(leaving.empty());
  leaving_ = true;
  Submit("leaving");
  RunFor(milliseconds(200));
  BOOST_TEST(leaving == std::vector<std::string>{"i-a"}, boost::test_tools::per_element());
}

// Guards against two owners of a key (OWNER), and against requests that count as crashing: an
// upstream that refuses connections beyond its limit runs, as the open ones show.
BOOST_AUTO_TEST_CASE(ARefusalBesideAnOpenConnectionIsNoClosedPort) {
  int closed_ports = 0;
  UpstreamGate::Hooks hooks;
  hooks.on_port_closed_ = [&] { ++closed_ports; };
  gate_.SetHooks(std::move(hooks));
  upstream_.slots_ = 2;
  gate_.SetUpstream(std::make_shared<UpstreamState>(upstream_));
  service_time_ = milliseconds(200);
  Submit("runs");
  RunFor(milliseconds(50));
  server_->StopAccepting();
  Submit("refused");
  RunFor(milliseconds(50));
  BOOST_TEST((answers_.at("refused").outcome_ == GateOutcome::kRefused));
  BOOST_TEST(closed_ports == 0);
  RunFor(milliseconds(200));
  BOOST_TEST((answers_.at("runs").outcome_ == GateOutcome::kAnswered));
  // Its process ends, and with it the connection that was kept.
  server_.reset();
  RunFor(milliseconds(300));
  Submit("after the exit");
  RunFor(milliseconds(50));
  BOOST_TEST(closed_ports == 1);
}

// Load: more requests than the upstream accepts connections, though it has slots for all. Guards
// against connections that it refuses, each of which stops all requests for a moment.
BOOST_AUTO_TEST_CASE(RequestsWaitForAConnectionThatTheUpstreamAccepts) {
  upstream_.slots_ = 8;
  upstream_.max_connections_ = 3;
  gate_.SetUpstream(std::make_shared<UpstreamState>(upstream_));
  service_time_ = milliseconds(200);
  for (int i = 0; i < 6; ++i) {
    Submit(std::to_string(i));
  }
  RunFor(milliseconds(100));
  BOOST_TEST(arrivals_ == 3);
  RunFor(milliseconds(500));
  BOOST_TEST(arrivals_ == 6);
  BOOST_TEST(answers_.size() == 6U);
}

// Guards against urgent work that waits behind less urgent work at its second hop: a call inherits
// from the request that the upstream runs, and from none that waits or has ended.
BOOST_AUTO_TEST_CASE(RunningRequestIsFoundUntilItsAnswer) {
  Submit("runs");
  Submit("waits");
  const auto running = gate_.FindRunning("runs");
  BOOST_REQUIRE(running.has_value());
  BOOST_TEST(!gate_.FindRunning("waits").has_value());
  BOOST_TEST(!gate_.FindRunning("other").has_value());
  const BootTime now = BootClock::now();
  const RequestTerms call =
      InheritTerms({2, now + milliseconds(200), now + milliseconds(9000)}, *running);
  BOOST_TEST(call.rank_ == 0);
  BOOST_TEST((call.objective_ == now + milliseconds(200)));
  BOOST_TEST((call.deadline_ == running->deadline_));
  RunFor(milliseconds(150));
  BOOST_TEST(!gate_.FindRunning("runs").has_value());
}

// Guards against nodes that send what the upstream has no room for, and against a limit that stays.
// Load: urgent requests at twice the capacity, and one of another rank for each. A restarted gate
// begins without a limit.
BOOST_AUTO_TEST_CASE(GateStatesTheRankThatFindsRoom) {
  service_time_ = milliseconds(50);
  int sent = 0;
  const ReactorLoop::TimerId timer = loop_.StartRepeatingTimer(milliseconds(25), [&] {
    Submit("urgent " + std::to_string(++sent), 0);
    Submit("other " + std::to_string(sent), 2);
  });
  BOOST_TEST(!gate_.Load().admitted_rank_.has_value());
  RunFor(milliseconds(4000));
  loop_.CancelTimer(timer);
  BOOST_REQUIRE(gate_.Load().admitted_rank_.has_value());
  BOOST_TEST(*gate_.Load().admitted_rank_ == 0U);
  RunFor(milliseconds(1500));
  BOOST_TEST(!gate_.Load().admitted_rank_.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sassafrasbay
