#pragma once

#include <string>
#include <string_view>

#include "LibCore/error.h"
#include "LibOwnership/key_table.h"

namespace sassafrasbay {

/// CBOR of a table, as it is kept in the store and sent to other nodes.
std::string EncodeKeyTable(const KeyTable& table);

/// Errors: kMalformed for bytes that aren't a table, and for ranges that overlap or aren't
/// ascending.
Result<KeyTable> DecodeKeyTable(std::string_view bytes);

}  // namespace sassafrasbay
