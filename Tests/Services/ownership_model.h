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
#include "router/ownership_keeper.h"

namespace sassafrasbay {

/// A store in simulated time, whose appends are answered, refused, lost before or after they take
/// effect, or late.
class ModelStore final : public RecordStore {
 public:
  explicit ModelStore(std::mt19937_64& random) : random_(random) {}

  void Append(std::string_view topic, const KeyedRecord& record, std::optional<std::uint64_t> at,
              std::function<void(Result<std::uint64_t>)> callback) override;
  void Read(std::string_view, std::uint64_t, milliseconds,
            std::function<void(Result<RecordBatch>)>) override {}
  void ReadNewestRecords(std::string_view, std::function<void(Result<RecordBatch>)>) override {}

  /// Lets late appends take effect and delayed answers arrive.
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

/// A target that measures its grants with a slow clock and keeps to them.
struct ModelUpstream {
  UpstreamHeartbeat beat_;
  std::optional<BootTime> born_at_;  ///< Nothing while it is down.
  BootTime next_beat_{};
  BootTime held_until_{};
  std::vector<ReleasedKeys> released_;
};

/// A heartbeat on its way to the node, or its answer on the way back.
struct ModelAnswer {
  BootTime arrives_{};
  BootTime beat_sent_{};
  std::int64_t born_ms_ = 0;
  HeartbeatAnswer answer_;
};

struct ModelNode {
  std::string address_;
  bool running_ = true;
  BootTime restart_at_{};
  BootTime frozen_until_{};
  BootTime no_store_until_{};
  BootTime no_peers_until_{};
  BootTime started_{};
  std::uint64_t registered_at_ =
      0;  ///< End of the topic that its registration needs to be read to.
  std::uint64_t read_to_ = 0;
  KeyTable table_{"lookup", 0, {}};
  BootTime confirmed_{};
  BootTime next_decision_{};
  UpstreamRegistry registry_;
  std::unique_ptr<SharedPromises> promises_;
  std::unique_ptr<OwnershipKeeper> keeper_;
  std::optional<BootTime> registered_;
  ReceivedPromises received_;
  ModelUpstream upstream_;
  std::vector<ModelAnswer> answers_;
};

/// Nodes, their upstreams and the store, with random faults. Checks that no two upstreams hold a
/// key at the same time and that tokens rise.
class OwnershipModel {
 public:
  /// `trace` writes faults, tables and answers to standard output.
  OwnershipModel(std::uint64_t seed, bool trace);

  /// Runs for that long in simulated time. The result names the first broken rule; empty if none.
  std::string Run(milliseconds duration);

  /// Share of the time in which a random key was held by somebody.
  double HeldShare() const;

 private:
  void Fault();
  void StepNode(ModelNode& node);
  void StepUpstream(ModelNode& node);
  void ReadStore(ModelNode& node);
  void Exchange(ModelNode& node, ModelNode& other);
  void Restart(ModelNode& node);
  void Beat(ModelNode& node);
  void Apply(ModelNode& node, const ModelAnswer& answer);
  OwnershipView View(const ModelNode& node) const;
  bool Reaches(const ModelNode& left, const ModelNode& right) const;
  void Check();
  bool Chance(double probability);
  milliseconds Between(int from, int to);

  void Trace(const ModelNode& node, const std::string& text) const;

  bool trace_;
  std::mt19937_64 random_;
  BootTime now_;
  ModelStore store_;
  std::vector<ModelNode> nodes_;
  /// Of processes that have ended.
  std::vector<std::pair<std::unique_ptr<SharedPromises>, std::unique_ptr<OwnershipKeeper>>>
      retired_;
  std::string broken_;
  std::uint64_t samples_ = 0;
  std::uint64_t held_samples_ = 0;
  std::vector<std::uint64_t> highest_token_;  ///< By key divided by kKeyStep.
  std::vector<std::string> last_holder_;
};

}  // namespace sassafrasbay
