#pragma once

#include <cstdint>
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
  std::string data_centre_;
  std::string heartbeats_to_;  ///< "http://host:port" of the node beside it.
  bool sharded_ = false;
  /// Whether the node beside it was thawed, or its links healed, a moment ago.
  std::function<bool()> node_disturbed_;
};

/// An upstream that speaks the platform's protocol: heartbeats, keys, drain and requests. It
/// measures its grants with a slow clock and keeps to them.
class Target final : public KeyHolder {
 public:
  Target(ReactorLoop& loop, Ledger& ledger, std::mt19937_64& random, TargetOptions options);
  ~Target() override;
  Target(const Target&) = delete;
  Target& operator=(const Target&) = delete;

  /// Starts a new incarnation that holds nothing.
  void Start();
  /// Ends at once; connections close.
  void Crash();
  /// Reports that it drains, serves on, leaves and ends.
  void Drain();
  bool IsUp() const { return server_ != nullptr; }

  const std::string& Instance() const override { return instance_; }
  bool Holds(int key) const override;
  BootTime HeldSince(int key) const override { return keys_[static_cast<std::size_t>(key)].since_; }
  BootTime LastRun(int key) const override {
    return keys_[static_cast<std::size_t>(key)].last_run_;
  }

 private:
  struct Key {
    std::uint64_t held_ = 0;     ///< Token, 0 when not held.
    std::uint64_t leaving_ = 0;  ///< Token while work on it goes on after its release was asked.
    std::uint64_t highest_ = 0;  ///< Greatest token seen.
    int working_ = 0;
    bool freed_ = false;  ///< Released, and not yet acknowledged.
    BootTime since_{};
    BootTime last_run_{};
  };

  void Handle(const std::shared_ptr<HttpExchange>& exchange);
  void Run(const std::shared_ptr<HttpExchange>& exchange, const std::string& id, int key);
  void EndWork(int key);
  void Beat();
  void BeatAfter(milliseconds delay);
  std::string BeatBody() const;
  void OnBeatAnswer(const HttpResult& result, BootTime sent);
  void Take(const std::string& body, BootTime sent);
  void Lapse();
  void Leave();

  ReactorLoop& loop_;
  Ledger& ledger_;
  std::mt19937_64& random_;
  TargetOptions options_;
  HttpClient client_;
  std::unique_ptr<HttpServer> server_;
  std::string instance_;
  std::int64_t born_ms_ = 0;
  std::uint64_t sequence_ = 0;
  std::uint64_t life_ = 0;  ///< Timers and answers of earlier lives change nothing.
  int running_ = 0;
  bool draining_ = false;
  BootTime drain_acknowledged_{};
  BootTime held_until_{};
  std::vector<Key> keys_;
  std::vector<std::size_t> freed_sent_;  ///< Keys listed as freed in the heartbeat under way.
  ReactorLoop::TimerId beat_timer_ = 0;
};

}  // namespace sassafrasbay::soak
