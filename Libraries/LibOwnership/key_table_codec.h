#pragma once

#include <string>
#include <string_view>

#include "LibCore/error.h"
#include "LibOwnership/key_table.h"

namespace sassafrasbay {

/// Encodes a table as CBOR, the format in which it is stored and sent to other nodes.
std::string EncodeKeyTable(const KeyTable& table);

/// Decodes a table. Returns the error kMalformed for bytes that aren't an encoded table, and for
/// ranges that overlap, aren't in ascending order or exceed kLastShardKey.
Result<KeyTable> DecodeKeyTable(std::string_view bytes);

}  // namespace sassafrasbay
