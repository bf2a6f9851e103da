#pragma once

#include <string>
#include <string_view>

#include "LibControl/control_state.h"
#include "LibControl/records.h"
#include "LibCore/error.h"

namespace sassafrasbay {

std::string EncodeRecord(const Record& record);

/// Errors: kMalformed for bytes that aren't a record, kUnsupportedVersion for a record with another
/// rules version than kRulesVersion.
Result<Record> DecodeRecord(std::string_view bytes);

std::string EncodeState(const ControlState& state);

/// Errors: as for DecodeRecord().
Result<ControlState> DecodeState(std::string_view bytes);

}  // namespace sassafrasbay
