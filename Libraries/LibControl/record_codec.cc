#include "LibControl/record_codec.h"

#include <array>
#include <utility>

#include "LibControl/control_cbor.h"

namespace sassafrasbay {
namespace {

using cbor::Json;

/// Names of the record types, in the order of RecordBody.
constexpr std::array<std::string_view, std::variant_size_v<RecordBody>> kTypeNames = {
    "ConfigurationPublished",
    "SessionJoined",
    "SessionRenewed",
    "LapseAttested",
    "SessionDraining",
    "SessionEnded",
    "MovesStarted",
    "MovesCompleted",
    "KeySplit",
    "KeyMerged",
    "Checkpoint"};

Error Malformed(std::string_view detail) {
  return MakeError(make_error_code(Errc::kMalformed), "decode record", {}, detail);
}

template <std::size_t Index>
bool DecodeBodyAs(const Json& json, RecordBody& body) {
  return cbor::Reader::Decode(json, body.emplace<Index>());
}

template <std::size_t... Indexes>
bool DecodeBody(std::string_view type, const Json& json, RecordBody& body,
                std::index_sequence<Indexes...> /*indexes*/) {
  return ((kTypeNames[Indexes] == type && DecodeBodyAs<Indexes>(json, body)) || ...);
}

}  // namespace

std::string EncodeRecord(const Record& record) {
  Json json = Json::object();
  json["id"] = record.id_;
  json["rules"] = record.rules_version_;
  json["type"] = std::string(kTypeNames[record.body_.index()]);
  json["body"] =
      std::visit([](const auto& body) { return cbor::Writer::Encode(body); }, record.body_);
  return cbor::Serialize(json);
}

Result<Record> DecodeRecord(std::string_view bytes) {
  const Json json = cbor::Parse(bytes);
  if (!json.is_object()) {
    return Malformed("not a CBOR map");
  }
  Record record;
  std::string type;
  cbor::Reader reader(json);
  reader("rules", record.rules_version_);
  if (!reader.IsValid()) {
    return Malformed("field \"rules\" is missing or not a 32-bit unsigned integer");
  }
  // The version is checked first, since later rules may change any other field.
  if (record.rules_version_ != kRulesVersion) {
    return MakeError(make_error_code(Errc::kUnsupportedVersion), "decode record", {},
                     "unsupported rules version " + std::to_string(record.rules_version_));
  }
  reader("id", record.id_);
  reader("type", type);
  if (!reader.IsValid() || !json.contains("body")) {
    return Malformed(
        "field \"id\", \"type\" or \"body\" is missing, or the id or type is not text");
  }
  constexpr auto kIndexes = std::make_index_sequence<kTypeNames.size()>();
  if (!DecodeBody(type, json["body"], record.body_, kIndexes)) {
    return Malformed("unknown record type, or a field of the body is missing or invalid");
  }
  return record;
}

}  // namespace sassafrasbay
