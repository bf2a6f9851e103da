#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>
#include <utility>

#include "LibRouting/cbor_frame.h"
#include "LibRouting/node_messages.h"

namespace sassafrasbay {
namespace {

constexpr std::string_view kOperation = "decode node message";
constexpr std::uint64_t kMaxRank = 1000;
constexpr double kTenths = 10;
constexpr std::uint32_t kMaxTenths = std::numeric_limits<std::uint32_t>::max();

/// Values of the field `t`. They are part of the protocol; a new type gets a new number.
enum class Type : std::uint64_t {
  kForwardedRequest = 32,
  kForwardedAnswer = 33,
  kCancelForwarded = 34,
  kNodeReport = 35,
  kStateTransfer = 36,
  kSuspect = 37,
  kDemandReport = 38,
  kTableRecord = 39,
  kIntroduction = 40,
};

Cbor Start(Type type) { return {{"t", static_cast<std::uint64_t>(type)}}; }

void WriteLoad(Cbor& value, const GateLoad& load) {
  value["ls"] = load.slots_;
  value["lr"] = load.running_;
  value["lw"] = load.waiting_;
  // In tenths, which take fewer bytes than a floating-point number; usual values aren't sent.
  const double tenths = std::round(load.arrivals_per_second_ * kTenths);
  if (tenths > 0) {
    value["lp"] = static_cast<std::uint32_t>(std::min<double>(tenths, kMaxTenths));
  }
  if (load.slowness_percent_ != kUsualSlownessPercent) {
    value["lx"] = load.slowness_percent_;
  }
  if (load.mean_service_ms_ > 0) {
    value["lm"] = load.mean_service_ms_;
  }
  if (load.admitted_rank_) {
    value["la"] = *load.admitted_rank_;
  }
}

GateLoad ReadLoad(FieldReader& reader) {
  GateLoad load;
  Read(reader, "ls", load.slots_);
  Read(reader, "lr", load.running_);
  Read(reader, "lw", load.waiting_);
  // Nodes of earlier versions don't send these fields.
  std::optional<std::uint32_t> tenths;
  ReadIfPresent(reader, "lp", tenths);
  load.arrivals_per_second_ = tenths.value_or(0) / kTenths;
  std::optional<std::uint32_t> slowness_percent;
  ReadIfPresent(reader, "lx", slowness_percent);
  load.slowness_percent_ = slowness_percent.value_or(kUsualSlownessPercent);
  std::optional<std::uint32_t> mean_service_ms;
  ReadIfPresent(reader, "lm", mean_service_ms);
  load.mean_service_ms_ = mean_service_ms.value_or(0);
  ReadIfPresent(reader, "la", load.admitted_rank_);
  return load;
}

void WritePosition(Cbor& value, const TopicPosition& position) {
  value["er"] = position.era_;
  value["te"] = position.offset_;
}

void WriteOperatorsEnd(Cbor& value, const std::optional<TopicPosition>& position) {
  if (position) {
    value["oe"] = position->era_;
    value["oo"] = position->offset_;
  }
}

std::string Write(const ForwardedRequest& message) {
  Cbor value = Start(Type::kForwardedRequest);
  value["n"] = message.number_;
  if (message.sent_before_to_) {
    value["sb"] = *message.sent_before_to_;
  }
  value["s"] = message.service_;
  if (message.shard_key_) {
    value["k"] = *message.shard_key_;
  }
  value["i"] = Bytes(message.request_id_);
  value["c"] = message.class_;
  value["rk"] = message.rank_;
  if (message.is_call_) {
    value["ic"] = true;
  }
  if (message.returned_) {
    value["rt"] = true;
  }
  value["id"] = message.idempotent_;
  value["ms"] = message.remaining_ms_;
  value["om"] = message.objective_ms_;
  if (message.clock_ms_) {
    value["ck"] = *message.clock_ms_;
  }
  value["f"] = message.fingerprint_;
  value["sf"] = message.sampling_weight_;
  value["m"] = Bytes(message.request_.method_);
  value["p"] = Bytes(message.request_.path_);
  value["h"] = HeadersToCbor(message.request_.headers_);
  return SerializeFrame(value, message.request_.body_);
}

std::string Write(const ForwardedAnswer& message) {
  Cbor value = Start(Type::kForwardedAnswer);
  value["n"] = message.number_;
  value["o"] = static_cast<std::uint64_t>(message.outcome_);
  value["r"] = static_cast<std::uint64_t>(message.reason_);
  value["ra"] = message.retry_after_ms_;
  WriteLoad(value, message.load_);
  value["st"] = message.response_.status_;
  value["h"] = HeadersToCbor(message.response_.headers_);
  return SerializeFrame(value, message.response_.body_);
}

std::string Write(const Introduction& message) {
  Cbor value = Start(Type::kIntroduction);
  value["a"] = message.address_;
  value["in"] = message.incarnation_;
  return SerializeFrame(value);
}

std::string Write(const CancelForwarded& message) {
  Cbor value = Start(Type::kCancelForwarded);
  value["n"] = message.number_;
  return SerializeFrame(value);
}

std::string Write(const NodeReport& message) {
  Cbor value = Start(Type::kNodeReport);
  value["a"] = message.address_;
  value["dc"] = message.data_centre_;
  value["in"] = message.incarnation_;
  value["ck"] = message.clock_ms_;
  value["ec"] = message.echoed_clock_ms_;
  value["ei"] = message.echoed_incarnation_;
  value["tk"] = message.tables_known_;
  value["ta"] = message.tables_age_ms_;
  WritePosition(value, message.tables_end_);
  value["se"] = message.store_era_;
  value["rs"] = message.reaches_store_;
  value["cv"] = message.configuration_version_;
  if (message.configuration_age_ms_) {
    value["ca"] = *message.configuration_age_ms_;
  }
  WriteOperatorsEnd(value, message.operators_end_);
  if (message.reads_operators_topic_) {
    value["or"] = true;
  }
  WriteLoad(value, message.load_);
  Cbor::array_t times;
  for (const ServiceTime& time : message.service_times_) {
    times.push_back({{"c", time.class_}, {"ms", time.ms_}});
  }
  value["st"] = std::move(times);
  value["us"] = message.upstream_.service_;
  value["ui"] = message.upstream_.instance_;
  value["ub"] = message.upstream_.born_ms_;
  value["uk"] = message.upstream_.accepts_keys_;
  value["ul"] = message.upstream_.leaving_;
  value["lv"] = message.leaving_;
  value["li"] = message.leaving_instance_;
  value["lb"] = message.leaving_born_ms_;
  value["pr"] = message.promises_;
  value["ko"] = message.known_to_owners_;
  return SerializeFrame(value);
}

std::string Write(const StateTransfer& message) {
  Cbor value = Start(Type::kStateTransfer);
  value["c"] = Bytes(message.configuration_);
  WritePosition(value, message.tables_end_);
  Cbor::array_t records;
  for (const auto& [key, record] : message.records_) {
    records.push_back(Bytes(key));
    records.push_back(Bytes(record));
  }
  value["rs"] = std::move(records);
  WriteOperatorsEnd(value, message.operators_end_);
  Cbor::array_t evacuated;
  for (const std::string& data_centre : message.evacuated_) {
    evacuated.push_back(Bytes(data_centre));
  }
  value["ev"] = std::move(evacuated);
  return SerializeFrame(value);
}

std::string Write(const TableRecord& message) {
  Cbor value = Start(Type::kTableRecord);
  WritePosition(value, message.position_);
  value["k"] = Bytes(message.key_);
  value["co"] = message.changes_only_;
  return SerializeFrame(value, message.value_);
}

std::string Write(const DemandReport& message) {
  Cbor value = Start(Type::kDemandReport);
  value["a"] = message.address_;
  value["s"] = message.service_;
  value["cp"] = message.capacity_per_second_;
  Cbor::array_t pieces;
  for (const KeyRangeLoad& piece : message.pieces_) {
    pieces.push_back({{"f", piece.first_}, {"l", piece.last_}, {"r", piece.per_second_}});
  }
  value["ps"] = std::move(pieces);
  return SerializeFrame(value);
}

std::string Write(const Suspect& message) {
  Cbor value = Start(Type::kSuspect);
  value["f"] = message.fingerprint_;
  value["cr"] = message.crashes_;
  return SerializeFrame(value);
}

/// Nodes of earlier versions don't send the field; it counts as false.
bool TakeFlagIfPresent(FieldReader& reader, std::string_view name) {
  return reader.fields_ != nullptr && reader.fields_->contains(name) && TakeFlag(reader, name);
}

TopicPosition ReadPosition(FieldReader& reader) {
  TopicPosition position;
  Read(reader, "er", position.era_);
  Read(reader, "te", position.offset_);
  return position;
}

std::optional<TopicPosition> ReadOperatorsEnd(FieldReader& reader) {
  std::optional<std::uint64_t> era;
  std::optional<std::uint64_t> offset;
  ReadIfPresent(reader, "oe", era);
  ReadIfPresent(reader, "oo", offset);
  return era && offset ? std::optional(TopicPosition{*era, *offset}) : std::nullopt;
}

ForwardedRequest ReadForwardedRequest(FieldReader& reader) {
  ForwardedRequest message;
  Read(reader, "n", message.number_);
  if (reader.fields_ != nullptr && reader.fields_->contains("sb")) {
    message.sent_before_to_ = TakeText(reader, "sb");
  }
  message.service_ = TakeText(reader, "s");
  ReadIfPresent(reader, "k", message.shard_key_);
  message.request_id_ = TakeBytes(reader, "i");
  message.class_ = TakeText(reader, "c");
  message.rank_ = static_cast<int>(TakeUnsigned(reader, "rk", kMaxRank));
  message.is_call_ = TakeFlagIfPresent(reader, "ic");
  message.returned_ = TakeFlagIfPresent(reader, "rt");
  message.idempotent_ = TakeFlag(reader, "id");
  Read(reader, "ms", message.remaining_ms_);
  Read(reader, "om", message.objective_ms_);
  ReadIfPresent(reader, "ck", message.clock_ms_);
  Read(reader, "f", message.fingerprint_);
  message.sampling_weight_ = std::max(1.0, TakeNumber(reader, "sf"));
  message.request_.method_ = TakeBytes(reader, "m");
  message.request_.path_ = TakeBytes(reader, "p");
  message.request_.headers_ = ReadHeaders(reader);
  message.request_.body_ = TakeBytes(reader, kBodyField);
  return message;
}

ForwardedAnswer ReadForwardedAnswer(FieldReader& reader) {
  ForwardedAnswer message;
  Read(reader, "n", message.number_);
  message.outcome_ = static_cast<GateOutcome>(
      TakeUnsigned(reader, "o", static_cast<std::uint64_t>(GateOutcome::kUnknown)));
  message.reason_ = static_cast<RefusalReason>(
      TakeUnsigned(reader, "r", static_cast<std::uint64_t>(RefusalReason::kDeadline)));
  Read(reader, "ra", message.retry_after_ms_);
  message.load_ = ReadLoad(reader);
  message.response_.status_ = TakeStatus(reader, "st");
  message.response_.headers_ = ReadHeaders(reader);
  message.response_.body_ = TakeBytes(reader, kBodyField);
  // The request may have run, as after an upstream's response without a valid status.
  if (message.outcome_ == GateOutcome::kAnswered && message.response_.status_ == 0) {
    message.outcome_ = GateOutcome::kUnknown;
    message.response_ = {};
  }
  return message;
}

Introduction ReadIntroduction(FieldReader& reader) {
  Introduction message;
  message.address_ = TakeText(reader, "a");
  message.incarnation_ = TakeText(reader, "in");
  return message;
}

NodeReport ReadNodeReport(FieldReader& reader) {
  NodeReport message;
  message.address_ = TakeText(reader, "a");
  message.data_centre_ = TakeText(reader, "dc");
  message.incarnation_ = TakeText(reader, "in");
  Read(reader, "ck", message.clock_ms_);
  Read(reader, "ec", message.echoed_clock_ms_);
  message.echoed_incarnation_ = TakeText(reader, "ei");
  message.tables_known_ = TakeFlag(reader, "tk");
  Read(reader, "ta", message.tables_age_ms_);
  message.tables_end_ = ReadPosition(reader);
  Read(reader, "se", message.store_era_);
  message.reaches_store_ = TakeFlag(reader, "rs");
  Read(reader, "cv", message.configuration_version_);
  ReadIfPresent(reader, "ca", message.configuration_age_ms_);
  message.operators_end_ = ReadOperatorsEnd(reader);
  message.reads_operators_topic_ = TakeFlagIfPresent(reader, "or");
  message.load_ = ReadLoad(reader);
  message.upstream_.service_ = TakeText(reader, "us");
  message.upstream_.instance_ = TakeText(reader, "ui");
  Read(reader, "ub", message.upstream_.born_ms_);
  message.upstream_.accepts_keys_ = TakeFlag(reader, "uk");
  message.upstream_.leaving_ = TakeFlag(reader, "ul");
  message.leaving_ = TakeFlag(reader, "lv");
  message.leaving_instance_ = TakeText(reader, "li");
  Read(reader, "lb", message.leaving_born_ms_);
  message.promises_ = TakeFlag(reader, "pr");
  message.known_to_owners_ = TakeFlag(reader, "ko");
  for (Cbor& item : TakeArray(reader, "st")) {
    FieldReader fields = MakeReader(item, reader);
    ServiceTime& time = message.service_times_.emplace_back();
    time.class_ = TakeText(fields, "c");
    Read(fields, "ms", time.ms_);
    PropagateInvalid(reader, fields);
  }
  return message;
}

StateTransfer ReadStateTransfer(FieldReader& reader) {
  StateTransfer message;
  message.configuration_ = TakeBytes(reader, "c");
  message.tables_end_ = ReadPosition(reader);
  const Cbor::array_t records = TakeArray(reader, "rs");
  for (std::size_t i = 0; i + 1 < records.size(); i += 2) {
    message.records_.emplace_back(ToBytes(reader, "rs", records[i]),
                                  ToBytes(reader, "rs", records[i + 1]));
  }
  message.operators_end_ = ReadOperatorsEnd(reader);
  if (message.operators_end_) {
    for (const Cbor& data_centre : TakeArray(reader, "ev")) {
      message.evacuated_.push_back(ToBytes(reader, "ev", data_centre));
    }
  }
  return message;
}

TableRecord ReadTableRecord(FieldReader& reader) {
  TableRecord message;
  message.position_ = ReadPosition(reader);
  message.key_ = TakeBytes(reader, "k");
  message.value_ = TakeBytes(reader, kBodyField);
  message.changes_only_ = TakeFlag(reader, "co");
  return message;
}

DemandReport ReadDemandReport(FieldReader& reader) {
  DemandReport message;
  message.address_ = TakeText(reader, "a");
  message.service_ = TakeText(reader, "s");
  message.capacity_per_second_ = TakeNumber(reader, "cp");
  for (Cbor& item : TakeArray(reader, "ps")) {
    FieldReader fields = MakeReader(item, reader);
    KeyRangeLoad& piece = message.pieces_.emplace_back();
    Read(fields, "f", piece.first_);
    Read(fields, "l", piece.last_);
    piece.per_second_ = TakeNumber(fields, "r");
    PropagateInvalid(reader, fields);
  }
  return message;
}

Suspect ReadSuspect(FieldReader& reader) {
  Suspect message;
  Read(reader, "f", message.fingerprint_);
  Read(reader, "cr", message.crashes_);
  return message;
}

}  // namespace

std::string_view ToString(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kNone:
      return "none";
    case RefusalReason::kFull:
      return "full";
    case RefusalReason::kNoUpstream:
      return "no-upstream";
    case RefusalReason::kNotOwner:
      return "not-owner";
    case RefusalReason::kWrongService:
      return "wrong-service";
    case RefusalReason::kSuspect:
      return "suspect";
    case RefusalReason::kDeadline:
      return "deadline";
  }
  return "unknown";
}

std::string EncodeNodeMessage(const NodeMessage& message) {
  return std::visit([](const auto& body) { return Write(body); }, message);
}

Result<NodeMessage> DecodeNodeMessage(std::string_view frame) {
  SASSAFRASBAY_TRY(parsed, ParseFrame(frame));
  FieldReader reader = MakeReader(parsed);
  const auto type =
      static_cast<Type>(TakeUnsigned(reader, "t", std::numeric_limits<std::uint64_t>::max()));
  NodeMessage message;
  switch (type) {
    case Type::kForwardedRequest:
      message = ReadForwardedRequest(reader);
      break;
    case Type::kForwardedAnswer:
      message = ReadForwardedAnswer(reader);
      break;
    case Type::kCancelForwarded:
      Read(reader, "n", message.emplace<CancelForwarded>().number_);
      break;
    case Type::kIntroduction:
      message = ReadIntroduction(reader);
      break;
    case Type::kNodeReport:
      message = ReadNodeReport(reader);
      break;
    case Type::kStateTransfer:
      message = ReadStateTransfer(reader);
      break;
    case Type::kTableRecord:
      message = ReadTableRecord(reader);
      break;
    case Type::kDemandReport:
      message = ReadDemandReport(reader);
      break;
    case Type::kSuspect:
      message = ReadSuspect(reader);
      break;
    default:
      return MakeError(Errc::kUnsupportedVersion, kOperation, {}, "unknown message type");
  }
  if (!reader.invalid_field_.empty()) {
    return FieldError(kOperation, reader);
  }
  return message;
}

}  // namespace sassafrasbay
