#include "LibControl/control_cbor.h"
#include "LibControl/record_codec.h"

namespace sassafrasbay {
namespace {

Error Malformed(std::string_view detail) {
  return MakeError(make_error_code(Errc::kMalformed), "decode state", {}, detail);
}

}  // namespace

std::string EncodeState(const ControlState& state) {
  cbor::Json json = cbor::Writer::Encode(state);
  json["rules"] = kRulesVersion;
  return cbor::Serialize(json);
}

Result<ControlState> DecodeState(std::string_view bytes) {
  const cbor::Json json = cbor::Parse(bytes);
  if (!json.is_object()) {
    return Malformed("not a CBOR map");
  }
  std::uint32_t rules = 0;
  cbor::Reader reader(json);
  reader("rules", rules);
  if (!reader.IsValid()) {
    return Malformed("field \"rules\" is missing or not a 32-bit unsigned integer");
  }
  if (rules != kRulesVersion) {
    return MakeError(make_error_code(Errc::kUnsupportedVersion), "decode state", {},
                     "unsupported rules version " + std::to_string(rules));
  }
  ControlState state;
  if (!cbor::Reader::Decode(json, state)) {
    return Malformed("a field of the state is missing or invalid");
  }
  if (state.configuration_version_ != 0) {
    RoutingConfigurationResult parsed = ParseRoutingFiles(state.files_);
    if (!parsed.faults_.empty()) {
      return Malformed(ToString(parsed.faults_.front()));
    }
    state.configuration_ = std::move(parsed.configuration_);
  }
  return state;
}

}  // namespace sassafrasbay
