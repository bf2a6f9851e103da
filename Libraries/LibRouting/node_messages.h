#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "LibCore/error.h"
#include "LibCore/http_message.h"
#include "LibCore/topic_position.h"
#include "LibRouting/key_load.h"
#include "LibRouting/messages.h"

namespace sassafrasbay {

/// A caller's request, sent by the node that received it to the node beside the upstream.
struct ForwardedRequest {
  /// Names this attempt among all that the sender's process makes; its answer returns the number.
  std::uint64_t number_ = 0;
  /// Incarnation of the receiver to which the attempt was sent before, over a connection that was
  /// lost; nothing when it is sent for the first time.
  std::optional<std::string> sent_before_to_;
  std::string service_;
  std::optional<std::uint32_t> shard_key_;
  std::string request_id_;
  std::string class_;  ///< Name of the route.
  int rank_ = 0;       ///< Priority; 0 is the highest.
  /// Made by a request that an upstream runs; the rank is inherited from it.
  bool is_call_ = false;
  /// Was refused before, and its caller has come back when it was told to.
  bool returned_ = false;
  bool idempotent_ = false;
  std::uint32_t remaining_ms_ = 0;  ///< Time until the deadline of the caller or the route.
  /// The sender's clock when this was sent; nothing from earlier versions. See TransitTime().
  std::optional<std::uint64_t> clock_ms_;
  /// Time until the route's latency objective; 0 when it has passed.
  std::uint32_t objective_ms_ = 0;
  std::uint64_t fingerprint_ = 0;  ///< Hash of path, caller and body.
  /// Number of requests to the owner that this one represents: itself and those held back by the
  /// send throttle, see SamplingWeight().
  double sampling_weight_ = 1;
  HttpRequest request_;  ///< As sent to the upstream, except for the headers that the gate adds.
};

/// Result of a request at the gate, which admits requests to the upstream beside the node.
enum class GateOutcome : std::uint8_t {
  kAnswered,  ///< The upstream responded.
  kRefused,   ///< The gate refused the request; it wasn't sent to an upstream.
  kRejected,  ///< The upstream stated that it didn't run the request.
  kUnknown,   ///< The request may have run; no complete response was received.
};

/// Why a gate refused a request. The sender uses it to decide whether to try another node.
enum class RefusalReason : std::uint8_t {
  kNone,
  kFull,          ///< No slot is expected to be free in time.
  kNoUpstream,    ///< The node has no upstream that accepts requests.
  kNotOwner,      ///< The upstream isn't the owner of the key.
  kWrongService,  ///< The upstream belongs to another service.
  kSuspect,       ///< The request is suspected of crashing upstreams.
  kDeadline,      ///< The deadline can't be met.
};

std::string_view ToString(RefusalReason reason);

/// Slowness of an upstream whose work takes its usual time.
inline constexpr std::uint32_t kUsualSlownessPercent = 100;

/// Load of a gate, sent with every answer and report.
struct GateLoad {
  /// Slots of the upstream that requests can use; 0 when none accepts requests.
  std::uint32_t slots_ = 0;
  std::uint32_t running_ = 0;
  std::uint32_t waiting_ = 0;
  double arrivals_per_second_ = 0;  ///< Smoothed rate of requests to the upstream; 0 if unknown.
  /// Time that work takes at the upstream at present, relative to its usual time.
  std::uint32_t slowness_percent_ = kUsualSlownessPercent;
  std::uint32_t mean_service_ms_ = 0;  ///< Smoothed, of all requests; 0 if unknown.
  /// Least urgent rank that finds room, see AdmittedRank(); nothing without a limit.
  std::optional<std::uint32_t> admitted_rank_;
};

/// Answers a ForwardedRequest.
struct ForwardedAnswer {
  std::uint64_t number_ = 0;
  GateOutcome outcome_ = GateOutcome::kUnknown;
  RefusalReason reason_ = RefusalReason::kNone;
  std::uint32_t retry_after_ms_ = 0;
  GateLoad load_;
  HttpResponse response_;
};

/// First message on a connection that is used for requests. Earlier connections of the same sender
/// are no longer used.
struct Introduction {
  std::string address_;      ///< Peer address of the sender.
  std::string incarnation_;  ///< Random id of the sender's process.
};

/// Cancels a ForwardedRequest whose caller has disconnected.
struct CancelForwarded {
  std::uint64_t number_ = 0;
};

/// Identity and state of the upstream beside the sender.
struct UpstreamSummary {
  std::string service_;
  std::string instance_;
  std::int64_t born_ms_ = 0;   ///< Unix time of the incarnation's start.
  bool accepts_keys_ = false;  ///< The upstream is ready, and neither draining nor leaving.
  bool leaving_ = false;       ///< The upstream drains or leaves.
};

/// Smoothed service time of the sender's upstream for one class of requests.
struct ServiceTime {
  std::string class_;
  std::uint32_t ms_ = 0;
};

/// Status of a node, sent to every other node at regular intervals.
struct NodeReport {
  std::string address_;  ///< Peer address of the sender.
  std::string data_centre_;
  std::string incarnation_;     ///< Random id of the sender's process.
  std::uint64_t clock_ms_ = 0;  ///< The sender's clock; the receiver echoes it in its own report.
  /// Last clock value received from the receiver, and the process that sent it; 0 and empty if
  /// there was none yet. Clocks of different boots can't be compared.
  std::uint64_t echoed_clock_ms_ = 0;
  std::string echoed_incarnation_;
  bool tables_known_ = false;  ///< Whether the next two fields are set.
  /// Time since the sender last verified that its tables were up to date.
  std::uint64_t tables_age_ms_ = 0;
  TopicPosition tables_end_;     ///< Position up to which the sender knows the topic of tables.
  std::uint64_t store_era_ = 0;  ///< Latest era in which the store has answered the sender.
  bool reaches_store_ = false;   ///< Whether the sender can reach the store.
  std::uint64_t configuration_version_ = 0;
  /// Time since the sender last verified that this version was the newest; nothing if it never did.
  std::optional<std::uint64_t> configuration_age_ms_;
  /// Position up to which the sender knows the operators' topic; nothing from earlier versions.
  std::optional<TopicPosition> operators_end_;
  /// Whether the sender's reads of the operators' topic succeed, or are in progress and none has
  /// failed yet.
  bool reads_operators_topic_ = false;
  GateLoad load_;
  std::vector<ServiceTime> service_times_;
  UpstreamSummary upstream_;
  bool leaving_ = false;  ///< The process of the sender is about to end.
  /// Incarnation of the upstream beside the receiver that the sender knows to leave; an empty
  /// instance if none.
  std::string leaving_instance_;
  std::int64_t leaving_born_ms_ = 0;
  /// The sender has been registered long enough to be known to all nodes, see IsKnownToOwners().
  bool known_to_owners_ = false;
  /// Whether the report carries a takeover promise to the receiver, see TakeoverPromises.
  bool promises_ = false;
};

/// Configuration and tables for a node whose own are older and that may not reach the store.
struct StateTransfer {
  std::string configuration_;  ///< Text of the configuration as published by the operator.
  TopicPosition tables_end_;
  /// Keys and values of the newest records of the topic.
  std::vector<std::pair<std::string, std::string>> records_;
  /// Position in the operators' topic up to which the next field holds; nothing if it isn't sent.
  std::optional<TopicPosition> operators_end_;
  std::vector<std::string> evacuated_;  ///< Names of the evacuated data centres.
};

/// A record that the sender has written to the topic of tables.
struct TableRecord {
  TopicPosition position_;
  std::string key_;
  std::string value_;
  /// The value holds only the ranges that differ from the previous version of the table.
  bool changes_only_ = false;
};

/// Demand on the upstream beside the sender, sent to the planning node.
struct DemandReport {
  std::string address_;  ///< Peer address of the sender.
  std::string service_;
  double capacity_per_second_ = 0;
  std::vector<KeyRangeLoad> pieces_;  ///< Disjoint ranges, ascending by key.
};

using NodeMessage = std::variant<ForwardedRequest, ForwardedAnswer, CancelForwarded, NodeReport,
                                 StateTransfer, TableRecord, DemandReport, Suspect, Introduction>;

/// Encodes a message as one CBOR frame.
std::string EncodeNodeMessage(const NodeMessage& message);

/// Decodes one frame. Errors: kMalformed, kTooLarge, kUnsupportedVersion for an unknown type.
Result<NodeMessage> DecodeNodeMessage(std::string_view frame);

}  // namespace sassafrasbay
