#pragma once

#include <string>
#include <string_view>

#include "LibCore/error.h"
#include "LibOwnership/key_table.h"

namespace sassafrasbay {

/// JSON text of a table, as it is kept in the store.
std::string EncodeKeyTable(const KeyTable& table);

/// Errors: kMalformed for text that isn't a table, and for ranges that overlap or aren't ascending.
Result<KeyTable> DecodeKeyTable(std::string_view text);

}  // namespace sassafrasbay
