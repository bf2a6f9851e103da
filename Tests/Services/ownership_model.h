#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "LibOwnership/upstream_registry.h"
#include "router/key_table_writer.h"

namespace sassafrasbay {

/// A store in simulated time. Appends are answered, refused, lost before or after they take effect,
/// or take effect late.
class ModelStore final : public RecordStore {
 public:
  explicit ModelStore(std::mt19937_64& random) : random_(random) {}

  void Append(std::string_view topic, std::span<const KeyedRecord> records,
              std::optional<std::uint64_t> at,
              std::function<void(Result<TopicPosition>)> callback) override;
  void Read(std::string_view, std::uint64_t, milliseconds,
            std::function<void(Result<RecordBatch>)>) override {}
  void ReadNewestRecords(std::string_view, std::function<void(Result<RecordBatch>)>) override {}

  /// Moves the store to `now`: late appends take effect and delayed answers arrive.
  void Advance(BootTime now);

  std::vector<KeyedRecord> records_;
  bool is_down_ = false;

 private:
  struct Event {
    BootTime due_{};
    std::function<void()> run_;
  };

  bool TakeEffect(const KeyedRecord& record, std::optional<std::uint64_t> at);

  std::mt19937_64& random_;
  std::vector<Event> events_;
  BootTime now_{};
};

/// An upstream that measures its grants with a slow clock and serves no key beyond them.
struct ModelUpstream {
  UpstreamHeartbeat heartbeat_;
  std::optional<BootTime> started_at_;  ///< Empty while it is down.
  BootTime next_heartbeat_{};
  BootTime held_until_{};
  std::vector<ReleasedKeys> released_;
};

/// The answer to a heartbeat, from the time at which the heartbeat was sent until the answer
/// arrives.
struct ModelAnswer {
  BootTime arrives_{};
  BootTime heartbeat_sent_at_{};
  std::int64_t born_ms_ = 0;
  HeartbeatAnswer heartbeat_answer_;
};

struct ModelNode {
  std::string address_;
  bool running_ = true;
  BootTime restart_at_{};
  BootTime frozen_until_{};
  BootTime no_store_until_{};
  BootTime no_peers_until_{};
  BootTime started_{};
  std::uint64_t registration_offset_ = 0;  ///< Topic end behind its registration; 0 before.
  std::uint64_t read_to_ = 0;
  KeyTable table_{"lookup", 0, {}};
  BootTime confirmed_{};
  BootTime next_decision_{};
  UpstreamRegistry registry_;
  std::unique_ptr<SharedPromises> promises_;
  std::unique_ptr<KeyTableWriter> key_table_writer_;
  std::optional<BootTime> registered_;
  ReceivedPromises received_promises_;
  ModelUpstream upstream_;
  std::vector<ModelAnswer> answers_in_transit_;
};

/// Simulates nodes, their upstreams and the store, with random faults. Checks that no two upstreams
/// hold a key at the same time and that tokens rise.
class OwnershipModel {
 public:
  /// With `trace`, faults, tables and answers are written to standard output.
  OwnershipModel(std::uint64_t seed, bool trace);

  /// Runs for `duration` of simulated time. Returns a description of a violation, or an
  /// empty string.
  std::string Run(milliseconds duration);

  /// Fraction of the simulated time in which a key has a holder, averaged over the sampled keys.
  double HeldFraction() const;

 private:
  void InjectFault();
  void StepNode(ModelNode& node);
  void StepUpstream(ModelNode& node);
  void ReadStore(ModelNode& node);
  void DeliverReport(ModelNode& node, ModelNode& other);
  void Restart(ModelNode& node);
  void SendHeartbeat(ModelNode& node);
  void ApplyAnswer(ModelNode& node, const ModelAnswer& answer);
  OwnershipView MakeView(const ModelNode& node) const;
  bool Reaches(const ModelNode& left, const ModelNode& right) const;
  void CheckInvariants();
  bool RandomChance(double probability);
  milliseconds RandomDuration(int from, int to);

  void Trace(const ModelNode& node, const std::string& text) const;

  bool trace_;
  std::mt19937_64 random_;
  BootTime now_;
  ModelStore store_;
  std::vector<ModelNode> nodes_;
  /// State of node processes that have ended, kept while the store refers to it.
  std::vector<std::pair<std::unique_ptr<SharedPromises>, std::unique_ptr<KeyTableWriter>>>
      ended_processes_;
  std::string violation_;
  std::uint64_t samples_ = 0;
  std::uint64_t held_samples_ = 0;
  std::vector<std::uint64_t> max_token_;  ///< By key divided by kKeyStep.
  std::vector<std::string> last_holder_;
};

}  // namespace sassafrasbay
