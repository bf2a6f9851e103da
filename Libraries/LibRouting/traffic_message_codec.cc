#include <utility>

#include "LibRouting/cbor_frame.h"
#include "LibRouting/message_codec.h"

namespace sassafrasbay {
namespace {

constexpr std::string_view kOperation = "decode traffic message";
constexpr int kBadGateway = 502;

/// Values of the field `t`. They are part of the protocol; a new type gets a new number.
enum class Type : std::uint64_t {
  kForward = 1,
  kAnswer = 2,
  kCancel = 3,
  kCopyEntry = 4,
  kCopyTable = 5,
  kCopyAck = 6,
  kTableRequest = 7,
  kTableReply = 8,
  kHandover = 9,
  kHandoverAck = 10,
  kSuspect = 11,
};

Cbor Start(Type type, std::uint64_t number) {
  return {{"t", static_cast<std::uint64_t>(type)}, {"n", number}};
}

void WriteUnit(Cbor& value, const UnitId& unit) {
  value["s"] = unit.service_;
  value["u"] = unit.unit_;
}

/// Writes all fields of the answer but the body.
void WriteAnswer(Cbor& value, const RoutedAnswer& answer) {
  value["o"] = static_cast<std::uint64_t>(answer.outcome_);
  value["st"] = static_cast<std::uint64_t>(answer.response_.status_);
  value["h"] = HeadersToCbor(answer.response_.headers_);
  value["r"] = Bytes(answer.reason_);
}

Cbor EntryToCbor(const TableEntry& entry) {
  Cbor value = {{"i", Bytes(entry.id_)}, {"f", entry.fingerprint_}};
  WriteUnit(value, entry.unit_);
  value["p"] = static_cast<std::uint64_t>(entry.phase_);
  if (entry.phase_ == EntryPhase::kDone) {
    WriteAnswer(value, entry.answer_);
    value[kBodyField] = Bytes(entry.answer_.response_.body_);
  }
  return value;
}

Cbor EntriesToCbor(const std::vector<TableEntry>& entries) {
  Cbor::array_t items;
  items.reserve(entries.size());
  for (const TableEntry& entry : entries) {
    items.push_back(EntryToCbor(entry));
  }
  return items;
}

Cbor ToCbor(const Forward& message) {
  Cbor value = Start(Type::kForward, message.number_);
  WriteUnit(value, message.unit_);
  value["k"] = message.key_hash_;
  value["i"] = Bytes(message.request_id_);
  value["c"] = message.class_;
  value["m"] = Bytes(message.request_.method_);
  value["p"] = Bytes(message.request_.path_);
  value["h"] = HeadersToCbor(message.request_.headers_);
  value["ik"] = Bytes(message.idempotency_key_);
  value["ms"] = message.remaining_ms_;
  return value;
}

Cbor ToCbor(const Answer& message) {
  Cbor value = Start(Type::kAnswer, message.number_);
  WriteAnswer(value, message.answer_);
  value["oh"] = message.owner_hint_;
  return value;
}

Cbor ToCbor(const Cancel& message) { return Start(Type::kCancel, message.number_); }

Cbor ToCbor(const CopyEntry& message) {
  Cbor value = Start(Type::kCopyEntry, message.number_);
  value["ss"] = message.session_;
  value["en"] = EntryToCbor(message.entry_);
  return value;
}

Cbor UnitsToCbor(const std::vector<std::pair<UnitId, Offset>>& units) {
  Cbor::array_t items;
  items.reserve(units.size());
  for (const auto& [unit, token] : units) {
    items.push_back({{"s", unit.service_}, {"u", unit.unit_}, {"tk", token}});
  }
  return items;
}

Cbor ToCbor(const CopyTable& message) {
  Cbor value = Start(Type::kCopyTable, message.number_);
  value["ss"] = message.session_;
  value["co"] = message.complete_;
  value["gc"] = message.grantors_changed_at_;
  value["us"] = UnitsToCbor(message.units_);
  value["es"] = EntriesToCbor(message.entries_);
  return value;
}

Cbor ToCbor(const CopyAck& message) { return Start(Type::kCopyAck, message.number_); }

Cbor ToCbor(const TableRequest& message) {
  Cbor value = Start(Type::kTableRequest, message.number_);
  value["ss"] = message.session_;
  value["us"] = UnitsToCbor(message.units_);
  return value;
}

Cbor ToCbor(const TableReply& message) {
  Cbor value = Start(Type::kTableReply, message.number_);
  value["ss"] = message.session_;
  value["co"] = message.complete_;
  value["gc"] = message.grantors_changed_at_;
  value["es"] = EntriesToCbor(message.entries_);
  return value;
}

Cbor ToCbor(const Handover& message) {
  Cbor value = Start(Type::kHandover, message.number_);
  WriteUnit(value, message.unit_);
  value["tk"] = message.token_;
  value["co"] = message.complete_;
  value["es"] = EntriesToCbor(message.entries_);
  return value;
}

Cbor ToCbor(const HandoverAck& message) { return Start(Type::kHandoverAck, message.number_); }

Cbor ToCbor(const Suspect& message) {
  return {{"t", static_cast<std::uint64_t>(Type::kSuspect)},
          {"f", message.fingerprint_},
          {"cr", message.crashes_}};
}

UnitId ReadUnit(FieldReader& reader) {
  UnitId unit;
  unit.service_ = TakeText(reader, "s");
  Read(reader, "u", unit.unit_);
  return unit;
}

RoutedAnswer ReadAnswerFields(FieldReader& reader) {
  RoutedAnswer answer;
  answer.outcome_ = static_cast<Outcome>(
      TakeUnsigned(reader, "o", static_cast<std::uint64_t>(Outcome::kUnknown)));
  answer.response_.status_ = TakeStatus(reader, "st");
  answer.response_.headers_ = ReadHeaders(reader);
  answer.response_.body_ = TakeBytes(reader, kBodyField);
  answer.reason_ = TakeBytes(reader, "r");
  // The request may have run, as after an upstream's response without a valid status.
  if (answer.outcome_ == Outcome::kAnswered && answer.response_.status_ == 0) {
    answer = {Outcome::kUnknown, {kBadGateway, {}, {}}, "invalid-status"};
  }
  return answer;
}

TableEntry ReadEntry(FieldReader& outer, Cbor& value) {
  FieldReader reader = MakeReader(value, outer);
  TableEntry entry;
  entry.unit_ = ReadUnit(reader);
  entry.id_ = TakeBytes(reader, "i");
  Read(reader, "f", entry.fingerprint_);
  entry.phase_ = static_cast<EntryPhase>(
      TakeUnsigned(reader, "p", static_cast<std::uint64_t>(EntryPhase::kDone)));
  if (entry.phase_ == EntryPhase::kDone) {
    entry.answer_ = ReadAnswerFields(reader);
  }
  PropagateInvalid(outer, reader);
  return entry;
}

std::vector<TableEntry> ReadEntries(FieldReader& reader) {
  Cbor::array_t items = TakeArray(reader, "es");
  std::vector<TableEntry> entries;
  entries.reserve(items.size());
  for (Cbor& item : items) {
    entries.push_back(ReadEntry(reader, item));
  }
  return entries;
}

Forward ReadForward(FieldReader& reader) {
  Forward message;
  Read(reader, "n", message.number_);
  message.unit_ = ReadUnit(reader);
  Read(reader, "k", message.key_hash_);
  message.request_id_ = TakeBytes(reader, "i");
  message.class_ = TakeText(reader, "c");
  message.request_.method_ = TakeBytes(reader, "m");
  message.request_.path_ = TakeBytes(reader, "p");
  message.request_.headers_ = ReadHeaders(reader);
  message.request_.body_ = TakeBytes(reader, kBodyField);
  message.idempotency_key_ = TakeBytes(reader, "ik");
  Read(reader, "ms", message.remaining_ms_);
  return message;
}

Answer ReadAnswer(FieldReader& reader) {
  Answer message;
  Read(reader, "n", message.number_);
  message.answer_ = ReadAnswerFields(reader);
  message.owner_hint_ = TakeText(reader, "oh");
  return message;
}

CopyEntry ReadCopyEntry(FieldReader& reader) {
  CopyEntry message;
  Read(reader, "n", message.number_);
  message.session_ = TakeText(reader, "ss");
  if (Cbor* entry = TakeField(reader, "en"); entry != nullptr) {
    message.entry_ = ReadEntry(reader, *entry);
  }
  return message;
}

std::vector<std::pair<UnitId, Offset>> ReadUnits(FieldReader& reader) {
  std::vector<std::pair<UnitId, Offset>> units;
  for (Cbor& item : TakeArray(reader, "us")) {
    FieldReader fields = MakeReader(item, reader);
    auto& [unit, token] = units.emplace_back();
    unit = ReadUnit(fields);
    Read(fields, "tk", token);
    PropagateInvalid(reader, fields);
  }
  return units;
}

CopyTable ReadCopyTable(FieldReader& reader) {
  CopyTable message;
  Read(reader, "n", message.number_);
  message.session_ = TakeText(reader, "ss");
  message.complete_ = TakeFlag(reader, "co");
  Read(reader, "gc", message.grantors_changed_at_);
  message.units_ = ReadUnits(reader);
  message.entries_ = ReadEntries(reader);
  return message;
}

TableRequest ReadTableRequest(FieldReader& reader) {
  TableRequest message;
  Read(reader, "n", message.number_);
  message.session_ = TakeText(reader, "ss");
  message.units_ = ReadUnits(reader);
  return message;
}

TableReply ReadTableReply(FieldReader& reader) {
  TableReply message;
  Read(reader, "n", message.number_);
  message.session_ = TakeText(reader, "ss");
  message.complete_ = TakeFlag(reader, "co");
  Read(reader, "gc", message.grantors_changed_at_);
  message.entries_ = ReadEntries(reader);
  return message;
}

Handover ReadHandover(FieldReader& reader) {
  Handover message;
  Read(reader, "n", message.number_);
  message.unit_ = ReadUnit(reader);
  Read(reader, "tk", message.token_);
  message.complete_ = TakeFlag(reader, "co");
  message.entries_ = ReadEntries(reader);
  return message;
}

Suspect ReadSuspect(FieldReader& reader) {
  Suspect message;
  Read(reader, "f", message.fingerprint_);
  Read(reader, "cr", message.crashes_);
  return message;
}

template <typename Message>
Message ReadNumbered(FieldReader& reader) {
  Message message;
  Read(reader, "n", message.number_);
  return message;
}

/// Reads the fields of a message of the type. Returns false for an unknown type.
bool ReadBody(FieldReader& reader, Type type, TrafficMessage& message) {
  switch (type) {
    case Type::kForward:
      message = ReadForward(reader);
      return true;
    case Type::kAnswer:
      message = ReadAnswer(reader);
      return true;
    case Type::kCancel:
      message = ReadNumbered<Cancel>(reader);
      return true;
    case Type::kCopyEntry:
      message = ReadCopyEntry(reader);
      return true;
    case Type::kCopyTable:
      message = ReadCopyTable(reader);
      return true;
    case Type::kCopyAck:
      message = ReadNumbered<CopyAck>(reader);
      return true;
    case Type::kTableRequest:
      message = ReadTableRequest(reader);
      return true;
    case Type::kTableReply:
      message = ReadTableReply(reader);
      return true;
    case Type::kHandover:
      message = ReadHandover(reader);
      return true;
    case Type::kHandoverAck:
      message = ReadNumbered<HandoverAck>(reader);
      return true;
    case Type::kSuspect:
      message = ReadSuspect(reader);
      return true;
  }
  return false;
}

}  // namespace

std::string Encode(const TrafficMessage& message) {
  if (const auto* forward = std::get_if<Forward>(&message); forward != nullptr) {
    return SerializeFrame(ToCbor(*forward), forward->request_.body_);
  }
  if (const auto* answer = std::get_if<Answer>(&message); answer != nullptr) {
    return SerializeFrame(ToCbor(*answer), answer->answer_.response_.body_);
  }
  return SerializeFrame(std::visit([](const auto& body) { return ToCbor(body); }, message));
}

Result<TrafficMessage> DecodeTrafficMessage(std::string_view frame) {
  SASSAFRASBAY_TRY(parsed, ParseFrame(frame));
  FieldReader reader = MakeReader(parsed);
  std::uint64_t type = 0;
  Read(reader, "t", type);
  TrafficMessage message;
  const bool known = ReadBody(reader, static_cast<Type>(type), message);
  if (!known && reader.invalid_field_.empty()) {
    return MakeError(Errc::kUnsupportedVersion, kOperation, "",
                     "unknown message type " + std::to_string(type));
  }
  if (!reader.invalid_field_.empty()) {
    return FieldError(kOperation, reader);
  }
  return message;
}

}  // namespace sassafrasbay
