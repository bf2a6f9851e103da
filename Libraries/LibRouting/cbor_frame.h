#pragma once

#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "LibCore/error.h"
#include "LibCore/http_message.h"

namespace sassafrasbay {

using Cbor = nlohmann::json;

/// Name of the field that holds a message's body.
inline constexpr std::string_view kBodyField = "b";

/// A parsed frame. The CBOR library reads byte strings byte by byte into a growing vector. To avoid
/// that cost their contents stay in the frame: the subtype of each binary value in `fields_` is its
/// index in `strings_`.
struct ParsedFrame {
  Cbor fields_;
  std::vector<std::string_view> strings_;  ///< Contents of the byte strings; views into the frame.
};

/// Parses a frame that holds one CBOR map. Errors: kMalformed, kTooLarge.
Result<ParsedFrame> ParseFrame(std::string_view frame);

std::string SerializeFrame(const Cbor& fields);

/// Serializes a map of at most 22 fields and appends the body as one more field, without copying it
/// into a CBOR value first.
std::string SerializeFrame(const Cbor& fields, std::string_view body);

/// Makes a CBOR byte string.
inline Cbor Bytes(std::string_view bytes) {
  return Cbor::binary(Cbor::binary_t::container_type(bytes.begin(), bytes.end()));
}

/// Reads the fields of one map and records the first one that is missing or mistyped. The Take
/// functions move values out of the map; after an error they return an empty value.
struct FieldReader {
  Cbor::object_t* fields_ = nullptr;
  std::span<const std::string_view> strings_;  ///< ParsedFrame::strings_ of the frame.
  std::string_view invalid_field_;             ///< First missing or mistyped field; empty if none.
};

/// Records `name` as the invalid field, unless one is recorded already.
void MarkInvalid(FieldReader& reader, std::string_view name);

/// Makes a reader of the frame's map.
FieldReader MakeReader(ParsedFrame& frame);

/// Makes a reader of a map nested in the map of `outer`. The value is recorded as invalid if it
/// isn't a map.
FieldReader MakeReader(Cbor& value, const FieldReader& outer);

/// Returns the value of a field, or null after recording the field as invalid.
Cbor* TakeField(FieldReader& reader, std::string_view name);

std::uint64_t TakeUnsigned(FieldReader& reader, std::string_view name, std::uint64_t maximum);
/// The final status of a response, 200 to 599; 0 for any other value and for an absent field.
int TakeStatus(FieldReader& reader, std::string_view name);
bool TakeFlag(FieldReader& reader, std::string_view name);
std::string TakeText(FieldReader& reader, std::string_view name);
std::string TakeBytes(FieldReader& reader, std::string_view name);
double TakeNumber(FieldReader& reader, std::string_view name);
Cbor::array_t TakeArray(FieldReader& reader, std::string_view name);

/// Reads an unsigned integer that must fit the type of `out`.
template <typename Integer>
void Read(FieldReader& reader, std::string_view name, Integer& out) {
  out = static_cast<Integer>(
      TakeUnsigned(reader, name, static_cast<std::uint64_t>(std::numeric_limits<Integer>::max())));
}

/// Like Read, but leaves `out` empty when the field is absent.
template <typename Integer>
void ReadIfPresent(FieldReader& reader, std::string_view name, std::optional<Integer>& out) {
  if (reader.fields_ != nullptr && reader.fields_->contains(name)) {
    Read(reader, name, out.emplace());
  }
}

/// Returns the content of a byte string of the frame. Records the field as invalid if the value
/// isn't one.
std::string ToBytes(FieldReader& reader, std::string_view name, const Cbor& value);

/// Encodes headers as one array of alternating names and values, which saves an array per header.
Cbor HeadersToCbor(const HeaderList& headers);

/// Reads the headers from the field `h`.
HeaderList ReadHeaders(FieldReader& reader);

/// Records the invalid field of a nested map, if any, in the reader of the enclosing map.
void PropagateInvalid(FieldReader& outer, const FieldReader& inner);

/// Makes the error that names the invalid field of the reader.
Error FieldError(std::string_view operation, const FieldReader& reader);

}  // namespace sassafrasbay
