#include <utility>

#include "LibRouting/cbor_frame.h"
#include "LibRouting/message_codec.h"

namespace sassafrasbay {
namespace {

constexpr std::string_view kOperation = "decode control message";

/// Values of the field `t`. They are part of the protocol; a new type gets a new number.
enum class Type : std::uint64_t {
  kHeartbeat = 1,
  kHeartbeatAck = 2,
  kSnapshotRequest = 3,
  kSnapshotReply = 4,
  kLoadReport = 5,
};

Cbor Start(Type type) {
  Cbor value;
  value["t"] = static_cast<std::uint64_t>(type);
  return value;
}

Cbor ToCbor(const Heartbeat& message) {
  Cbor value = Start(Type::kHeartbeat);
  value["ss"] = message.session_;
  value["e"] = message.epoch_;
  value["q"] = message.sequence_;
  return value;
}

Cbor ToCbor(const HeartbeatAck& message) {
  Cbor value = Start(Type::kHeartbeatAck);
  value["ss"] = message.session_;
  value["e"] = message.epoch_;
  value["q"] = message.sequence_;
  value["g"] = message.grantor_;
  return value;
}

Cbor ToCbor(const SnapshotRequest& /*message*/) { return Start(Type::kSnapshotRequest); }

Cbor ToCbor(const SnapshotReply& message) {
  Cbor value = Start(Type::kSnapshotReply);
  value["st"] = Bytes(message.state_);
  return value;
}

Cbor ToCbor(const LoadReport& message) {
  Cbor value = Start(Type::kLoadReport);
  value["ss"] = message.session_;
  value["l"] = message.total_;
  Cbor::array_t units;
  units.reserve(message.units_.size());
  for (const auto& [unit, load] : message.units_) {
    units.push_back({{"s", unit.service_}, {"u", unit.unit_}, {"l", load}});
  }
  value["us"] = std::move(units);
  Cbor::array_t keys;
  keys.reserve(message.hot_keys_.size());
  for (const auto& [key_hash, load] : message.hot_keys_) {
    keys.push_back({{"k", key_hash}, {"l", load}});
  }
  value["ks"] = std::move(keys);
  return value;
}

Heartbeat ReadHeartbeat(FieldReader& reader) {
  Heartbeat message;
  message.session_ = TakeText(reader, "ss");
  Read(reader, "e", message.epoch_);
  Read(reader, "q", message.sequence_);
  return message;
}

HeartbeatAck ReadHeartbeatAck(FieldReader& reader) {
  HeartbeatAck message;
  message.session_ = TakeText(reader, "ss");
  Read(reader, "e", message.epoch_);
  Read(reader, "q", message.sequence_);
  message.grantor_ = TakeText(reader, "g");
  return message;
}

LoadReport ReadLoadReport(FieldReader& reader) {
  LoadReport message;
  message.session_ = TakeText(reader, "ss");
  message.total_ = TakeNumber(reader, "l");
  for (Cbor& item : TakeArray(reader, "us")) {
    FieldReader fields = MakeReader(item, reader);
    auto& [unit, load] = message.units_.emplace_back();
    unit.service_ = TakeText(fields, "s");
    Read(fields, "u", unit.unit_);
    load = TakeNumber(fields, "l");
    PropagateInvalid(reader, fields);
  }
  for (Cbor& item : TakeArray(reader, "ks")) {
    FieldReader fields = MakeReader(item, reader);
    auto& [key_hash, load] = message.hot_keys_.emplace_back();
    Read(fields, "k", key_hash);
    load = TakeNumber(fields, "l");
    PropagateInvalid(reader, fields);
  }
  return message;
}

}  // namespace

std::string Encode(const ControlMessage& message) {
  return SerializeFrame(std::visit([](const auto& body) { return ToCbor(body); }, message));
}

Result<ControlMessage> DecodeControlMessage(std::string_view frame) {
  SASSAFRASBAY_TRY(parsed, ParseFrame(frame));
  FieldReader reader = MakeReader(parsed);
  std::uint64_t type = 0;
  Read(reader, "t", type);
  ControlMessage message;
  switch (static_cast<Type>(type)) {
    case Type::kHeartbeat:
      message = ReadHeartbeat(reader);
      break;
    case Type::kHeartbeatAck:
      message = ReadHeartbeatAck(reader);
      break;
    case Type::kSnapshotRequest:
      message = SnapshotRequest{};
      break;
    case Type::kSnapshotReply:
      message = SnapshotReply{TakeBytes(reader, "st")};
      break;
    case Type::kLoadReport:
      message = ReadLoadReport(reader);
      break;
    default:
      if (reader.invalid_field_.empty()) {
        return MakeError(Errc::kUnsupportedVersion, kOperation, "",
                         "unknown message type " + std::to_string(type));
      }
  }
  if (!reader.invalid_field_.empty()) {
    return FieldError(kOperation, reader);
  }
  return message;
}

}  // namespace sassafrasbay
