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
#include "LibRouting/key_load.h"
#include "LibRouting/messages.h"

namespace sassafrasbay {

/// A caller's request on its way from the node that took it to the node beside the upstream.
struct ForwardedRequest {
  std::uint64_t number_ = 0;  ///< Correlates the answer on this connection.
  std::string service_;
  std::optional<std::uint32_t> shard_key_;
  std::string request_id_;
  std::string class_;  ///< Name of the route.
  int rank_ = 0;       ///< 0 is the most urgent.
  bool idempotent_ = false;
  std::uint32_t remaining_ms_ = 0;  ///< Until the caller or the route gives up.
  std::uint32_t objective_ms_ = 0;  ///< Until an answer loses worth; 0 when that is over.
  std::uint64_t fingerprint_ = 0;   ///< Hash of path, caller and body.
  /// Requests for the key's owner that this one stands for; the others were held back.
  double sampling_weight_ = 1;
  HttpRequest request_;  ///< As the upstream is to get it, but for what the gate adds.
};

/// How a request ended at the gate in front of an upstream.
enum class GateOutcome : std::uint8_t {
  kAnswered,  ///< The response is the upstream's.
  kRefused,   ///< The gate refused; no upstream was reached.
  kRejected,  ///< The upstream said that it hasn't run the request.
  kUnknown,   ///< The request may have run; there is no whole response.
};

/// Why a gate refused, so that the other node knows where to turn.
enum class RefusalReason : std::uint8_t {
  kNone,
  kFull,          ///< No slot would be free in time.
  kNoUpstream,    ///< No upstream that takes requests.
  kNotOwner,      ///< The upstream doesn't hold the key.
  kWrongService,  ///< The upstream is of another service.
  kSuspect,       ///< The request crashed upstreams.
  kDeadline,      ///< Too little time is left.
};

std::string_view ToString(RefusalReason reason);

/// State of the gate, on every answer and report.
struct GateLoad {
  std::uint32_t slots_ = 0;  ///< 0 when there is no upstream that takes requests.
  std::uint32_t running_ = 0;
  std::uint32_t waiting_ = 0;
};

struct ForwardedAnswer {
  std::uint64_t number_ = 0;
  GateOutcome outcome_ = GateOutcome::kUnknown;
  RefusalReason reason_ = RefusalReason::kNone;
  std::uint32_t retry_after_ms_ = 0;
  GateLoad load_;
  HttpResponse response_;
};

/// The caller of a forwarded request has gone.
struct CancelForwarded {
  std::uint64_t number_ = 0;
};

/// The upstream beside the sender, as other nodes need to know it.
struct UpstreamSummary {
  std::string service_;
  std::string instance_;
  std::int64_t born_ms_ = 0;
  bool accepts_keys_ = false;  ///< Ready, and neither draining nor leaving.
};

/// Time that the upstream takes for the requests of a class.
struct ServiceTime {
  std::string class_;
  std::uint32_t ms_ = 0;
};

/// Sent to every other node at regular intervals.
struct NodeReport {
  std::string address_;  ///< Peer address of the sender.
  std::string data_centre_;
  std::uint64_t clock_ms_ = 0;  ///< Of the sender; returned by the receiver in its own report.
  std::uint64_t echoed_clock_ms_ = 0;  ///< Newest clock got from the receiver; 0 before the first.
  bool tables_known_ = false;          ///< The two fields below are set.
  std::uint64_t tables_age_ms_ = 0;    ///< Since the sender last knew its tables to be the newest.
  std::uint64_t tables_end_ = 0;       ///< End of the topic of tables up to which it has read.
  bool reaches_store_ = false;
  std::uint64_t configuration_version_ = 0;
  GateLoad load_;
  std::vector<ServiceTime> service_times_;
  UpstreamSummary upstream_;
  bool leaving_ = false;   ///< The sender's process is about to end.
  bool promises_ = false;  ///< A promise to the receiver, see TakeoverPromises.
};

/// State for a node that has older one and may not reach the store.
struct StateTransfer {
  std::string configuration_;  ///< As the operator wrote it.
  std::uint64_t tables_end_ = 0;
  std::vector<std::pair<std::string, std::string>> records_;  ///< Newest records of the topic.
};

/// A record of the topic of tables that the sender has written.
struct TableRecord {
  std::uint64_t offset_ = 0;
  std::string key_;
  std::string value_;
  /// The value is a table with only the ranges that differ from the version before.
  bool changes_only_ = false;
};

/// Demand on the upstream beside the sender, for the node that plans.
struct DemandReport {
  std::string address_;  ///< Peer address of the sender.
  std::string service_;
  double capacity_per_second_ = 0;
  std::vector<KeyRangeLoad> pieces_;
};

using NodeMessage = std::variant<ForwardedRequest, ForwardedAnswer, CancelForwarded, NodeReport,
                                 StateTransfer, TableRecord, DemandReport, Suspect>;

/// CBOR, one message a frame.
std::string EncodeNodeMessage(const NodeMessage& message);

/// Errors: kMalformed, kUnsupportedVersion for an unknown type.
Result<NodeMessage> DecodeNodeMessage(std::string_view frame);

}  // namespace sassafrasbay
