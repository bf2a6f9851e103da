#pragma once

#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "LibCore/error.h"
#include "LibCore/http_message.h"

namespace sassafrasbay {

using Cbor = nlohmann::json;

/// Field of a frame's map that holds the body.
inline constexpr std::string_view kBodyField = "b";

/// A parsed frame. Byte strings stay in the frame, because the library reads them byte by byte into
/// a growing vector; the subtype of each binary value in `fields_` is its index in `strings_`.
struct ParsedFrame {
  Cbor fields_;
  std::vector<std::string_view> strings_;  ///< Points into the frame.
};

/// Parses one frame, which must be a map. Errors: kMalformed, kTooLarge.
Result<ParsedFrame> ParseFrame(std::string_view frame);

/// Serializes a map.
std::string SerializeFrame(const Cbor& fields);

/// Serializes a map of at most 22 fields with the body as one more field.
std::string SerializeFrame(const Cbor& fields, std::string_view body);

/// A byte string.
inline Cbor Bytes(std::string_view bytes) {
  return Cbor::binary(Cbor::binary_t::container_type(bytes.begin(), bytes.end()));
}

/// Reads the fields of one map and keeps the first fault.
struct FieldReader {
  Cbor::object_t* fields_ = nullptr;
  std::span<const std::string_view> strings_;  ///< Of the parsed frame.
  std::string_view fault_;                     ///< Name of the first missing or mistyped field.
};

/// Records a fault unless there is one already.
void NoteFault(FieldReader& reader, std::string_view name);

/// Reader of the frame's map.
FieldReader ReaderOf(ParsedFrame& frame);

/// Reader of a value in the map of `outer`, with a fault when it isn't a map.
FieldReader ReaderOf(Cbor& value, const FieldReader& outer);

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

/// Content of a byte string of the frame; notes a fault when the value isn't one.
std::string ToBytes(FieldReader& reader, std::string_view name, const Cbor& value);

/// Names and values alternate in one array, which needs no array for each header.
Cbor HeadersToCbor(const HeaderList& headers);

/// The headers in the field `h`.
HeaderList ReadHeaders(FieldReader& reader);

/// Passes the fault of a nested map on to the reader of the enclosing one.
void Inherit(FieldReader& outer, const FieldReader& inner);

/// Error for the first fault of a reader.
Error FieldError(std::string_view step, const FieldReader& reader);

}  // namespace sassafrasbay
