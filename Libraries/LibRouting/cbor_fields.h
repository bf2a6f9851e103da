#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "LibCore/error.h"

namespace sassafrasbay {

using Cbor = nlohmann::json;

/// Parses one frame, which must be a map. Errors: kMalformed, kTooLarge.
Result<Cbor> ParseFrame(std::string_view frame);

std::string SerializeFrame(const Cbor& value);

/// A byte string.
inline Cbor Bytes(std::string_view bytes) {
  return Cbor::binary(Cbor::binary_t::container_type(bytes.begin(), bytes.end()));
}

/// Content of a byte string.
inline std::string ToBytes(const Cbor::binary_t& bytes) { return {bytes.begin(), bytes.end()}; }

/// Reads the fields of one map and keeps the first fault.
struct FieldReader {
  Cbor::object_t* fields_ = nullptr;
  std::string_view fault_;  ///< Name of the first missing or mistyped field.
};

/// Records a fault unless there is one already.
void NoteFault(FieldReader& reader, std::string_view name);

/// Reader of `value`, with a fault when it isn't a map.
FieldReader ReaderOf(Cbor& value);

/// Value of a field, or null after noting the fault.
Cbor* TakeField(FieldReader& reader, std::string_view name);

std::uint64_t TakeUnsigned(FieldReader& reader, std::string_view name, std::uint64_t maximum);
bool TakeFlag(FieldReader& reader, std::string_view name);
std::string TakeText(FieldReader& reader, std::string_view name);
std::string TakeBytes(FieldReader& reader, std::string_view name);
double TakeNumber(FieldReader& reader, std::string_view name);
Cbor::array_t TakeArray(FieldReader& reader, std::string_view name);

template <typename Integer>
void Read(FieldReader& reader, std::string_view name, Integer& out) {
  out = static_cast<Integer>(
      TakeUnsigned(reader, name, static_cast<std::uint64_t>(std::numeric_limits<Integer>::max())));
}

/// Passes the fault of a nested map on to the reader of the enclosing one.
void Inherit(FieldReader& outer, const FieldReader& inner);

/// Error for the first fault of a reader.
Error FieldError(std::string_view step, const FieldReader& reader);

}  // namespace sassafrasbay
