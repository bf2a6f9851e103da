#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "LibTransport/http_client.h"
#include "LibTransport/http_server.h"
#include "LibTransport/reactor_loop.h"
#include "Soak/ledger.h"

namespace sassafrasbay::soak {

struct TargetOptions {
  std::string service_;
  std::string host_;
  std::uint16_t port_ = 0;
  std::uint16_t announced_port_ = 0;  ///< Where the node sends requests.
  std::string data_centre_;
  std::string node_control_url_;  ///< "http://host:port" of the node beside the target.
  bool sharded_ = false;
  /// Whether the node beside the target was resumed, or a link restored, a short time ago. See
  /// `Ledger::OnKeyAcquired`.
  std::function<bool()> node_recently_interrupted_;
};

/// The upstream beside one node. It implements the platform's upstream protocol (heartbeats, key
/// grants, draining, requests) and honours its grants, whose hold times it measures with a clock
/// that runs slow.
class Target final : public KeyHolder {
 public:
  Target(ReactorLoop& loop, Ledger& ledger, std::mt19937_64& random, TargetOptions options);
  ~Target() override;
  Target(const Target&) = delete;
  Target& operator=(const Target&) = delete;

  /// Starts a new incarnation, which holds no keys. Does nothing while the target is up.
  void Start();
  /// Stops at once, without leaving, and closes all connections.
  void Crash();
  /// Reports the state draining, continues to serve until the drain timeout, then leaves and stops.
  void Drain();
  /// Leaves without draining first: sends no further heartbeats, repeats the leave until it is
  /// acknowledged, and continues to serve.
  void LeaveFirst();
  /// Reports itself cold for this time after each later start, and takes twice as long for its work
  /// meanwhile.
  void SetColdStart(milliseconds duration) { cold_start_ = duration; }
  /// Turns cold for this time without a restart; the node learns it with the next heartbeat.
  void TurnCold(milliseconds duration) { cold_until_ = BootClock::now() + duration; }
  /// Largest number of requests within a second, all of it while its heartbeats said it was cold.
  std::size_t MaxColdArrivals() const { return max_cold_arrivals_; }
  /// When the target's drain or leave was acknowledged; the epoch before that.
  BootTime LeavingAcknowledged() const { return drain_acknowledged_; }
  /// The newest heartbeat, for tests that deliver it late.
  HttpCall HeartbeatCall() const;
  bool IsUp() const { return server_ != nullptr; }
  /// Sets the work on each later request of the kind kLong.
  void SetLongWork(milliseconds work) { long_work_ = work; }
  std::uint64_t HeartbeatsSent() const { return sequence_; }
  /// Number of requests that this incarnation has run.
  int Runs() const { return runs_; }

  const std::string& Instance() const override { return instance_; }
  bool Holds(int key) const override;
  BootTime HeldSince(int key) const override {
    return keys_[static_cast<std::size_t>(key)].held_since_;
  }
  BootTime LastRunStart(int key) const override {
    return keys_[static_cast<std::size_t>(key)].last_run_start_;
  }

 private:
  struct Key {
    std::uint64_t held_token_ = 0;       ///< Token of the grant; 0 when the key is not held.
    std::uint64_t releasing_token_ = 0;  ///< Token of a withdrawn key whose requests still run.
    std::uint64_t max_token_ = 0;        ///< Maximum token granted so far.
    int running_requests_ = 0;
    bool freed_ = false;  ///< Released, and the release is not yet acknowledged.
    BootTime held_since_{};
    BootTime last_run_start_{};
  };

  milliseconds ColdLeft() const;
  bool IsCold() const { return BootClock::now() < cold_until_; }
  void CountArrival();
  void HandleRequest(const std::shared_ptr<HttpExchange>& exchange);
  void Run(const std::shared_ptr<HttpExchange>& exchange, const std::string& id, int key);
  void EndRequest(int key);
  void SendHeartbeat();
  void ScheduleHeartbeat(milliseconds delay);
  std::string HeartbeatBody() const;
  void OnHeartbeatAnswer(const HttpResult& result, BootTime sent);
  void ApplyGrants(const std::string& body, BootTime sent);
  void ExpireGrants();
  void Leave();
  HttpCall LeaveCall() const;
  HttpCall NodeCall(std::string_view suffix, std::string body) const;

  ReactorLoop& loop_;
  Ledger& ledger_;
  std::mt19937_64& random_;
  TargetOptions options_;
  HttpClient client_;
  std::unique_ptr<HttpServer> server_;
  std::string instance_;
  std::int64_t born_ms_ = 0;
  std::uint64_t sequence_ = 0;
  std::uint64_t incarnation_ = 0;  ///< Lets timers and answers of earlier incarnations be ignored.
  milliseconds long_work_{1000};
  milliseconds cold_start_{0};
  BootTime cold_until_{};
  BootTime reported_cold_at_{};  ///< First heartbeat since it turned cold; the epoch if none.
  std::deque<BootTime> cold_arrivals_;
  std::size_t max_cold_arrivals_ = 0;
  int running_count_ = 0;
  int runs_ = 0;
  bool draining_ = false;
  bool has_left_ = false;  ///< Sends no further heartbeats.
  BootTime drain_acknowledged_{};
  BootTime held_until_{};
  std::vector<Key> keys_;
  std::vector<std::size_t> reported_freed_;  ///< Keys listed as freed in the pending heartbeat.
  ReactorLoop::TimerId heartbeat_timer_ = 0;
};

}  // namespace sassafrasbay::soak
