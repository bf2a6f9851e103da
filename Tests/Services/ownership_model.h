#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "LibOwnership/history_settlement.h"
#include "LibOwnership/upstream_registry.h"
#include "model_store.h"
#include "router/key_table_writer.h"

namespace sassafrasbay {

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
  std::string incarnation_;  ///< Of the process.
  TopicPosition end_;        ///< Up to where it knows the records of a settled era.
  bool is_current_ = false;  ///< It knows records.
  bool may_begin_ = false;   ///< The system starts for the first time.
  FleetRecords records_;
  bool is_table_void_ = false;  ///< In the store.
  std::uint64_t newest_era_ = 0;
  BootTime unsettled_since_{};
  BootTime next_registration_{};
  std::map<std::string, std::pair<TopicPosition, BootTime>> peer_ends_;  ///< As reported, and when.
  BootTime confirmed_{};
  BootTime next_decision_{};
  UpstreamRegistry registry_;
  std::unique_ptr<SharedPromises> promises_;
  std::unique_ptr<KeyTableWriter> key_table_writer_;
  std::optional<BootTime> registered_;
  ReceivedPromises received_promises_;
  ModelUpstream upstream_;
  std::vector<ModelAnswer> answers_in_transit_;
  /// Another writer that sends heartbeats of its own to this node, and until when.
  UpstreamHeartbeat foreign_heartbeat_;
  BootTime foreign_until_{};
  BootTime next_foreign_heartbeat_{};
};

/// Faults beyond restarts, freezes, lost connections and outages of the store.
struct ModelFaults {
  /// The store is restored from older copies, and many processes end at once.
  bool restores_ = false;
  /// Others send heartbeats that look like those of an upstream.
  bool foreign_writers_ = false;
};

/// Simulates nodes, their upstreams and the store, with random faults. Checks that no two upstreams
/// hold a key at the same time and that tokens rise.
class OwnershipModel {
 public:
  /// With `trace`, faults, tables and answers are written to standard output.
  OwnershipModel(std::uint64_t seed, const ModelFaults& faults, bool trace);

  /// Runs for `duration` of simulated time. Returns a description of a violation, or an
  /// empty string.
  std::string Run(milliseconds duration);

  /// Fraction of the simulated time in which a key has a holder, averaged over the sampled keys.
  double HeldFraction() const;

 private:
  void InjectFault();
  void RestoreStore();
  void EndProcess(ModelNode& node);
  void StepNode(ModelNode& node);
  void StepUpstream(ModelNode& node);
  void ReadStore(ModelNode& node);
  void ReadNewest(ModelNode& node);
  void ReadNext(ModelNode& node);
  void Adopt(ModelNode& node, const FleetRecords& records, const TopicPosition& end);
  void SetModelTable(ModelNode& node, KeyTable table);
  void OnOwnRegistration(ModelNode& node, const std::string& value);
  void Register(ModelNode& node);
  void Settle(ModelNode& node);
  void DeliverReport(ModelNode& node, ModelNode& other);
  void Restart(ModelNode& node);
  void SendHeartbeat(ModelNode& node);
  void StartForeignWriter(ModelNode& node);
  void SendForeignHeartbeat(ModelNode& node);
  /// The node's answer, unless the heartbeat is ignored.
  std::optional<HeartbeatAnswer> Receive(ModelNode& node, const UpstreamHeartbeat& heartbeat);
  void ApplyAnswer(ModelNode& node, const ModelAnswer& answer);
  OwnershipView MakeView(const ModelNode& node) const;
  bool Reaches(const ModelNode& left, const ModelNode& right) const;
  void CheckInvariants();
  bool RandomChance(double probability);
  milliseconds RandomDuration(int from, int to);

  void Trace(const ModelNode& node, const std::string& text) const;

  ModelFaults faults_;
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
