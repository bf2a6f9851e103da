#include "LibRouting/cbor_fields.h"

#include <array>
#include <cmath>
#include <exception>
#include <utility>

#include "LibRouting/message_codec.h"

namespace sassafrasbay {
namespace {

/// Deepest nesting of a message: map, array of entries, entry, array of headers.
constexpr std::size_t kMaxDepth = 6;

struct Header {
  unsigned major_ = 0;
  unsigned information_ = 0;
  std::uint64_t argument_ = 0;
};

/// Reads the initial byte and the argument of a CBOR item. False when the frame ends early or the
/// item has an indefinite length or a reserved form.
bool ReadHeader(std::string_view frame, std::size_t& position, Header& header) {
  if (position >= frame.size()) {
    return false;
  }
  const auto initial = static_cast<unsigned char>(frame[position++]);
  header.major_ = initial >> 5U;
  header.information_ = initial & 0x1FU;
  header.argument_ = header.information_;
  if (header.information_ < 24) {
    return true;
  }
  if (header.information_ > 27) {
    return false;
  }
  const std::size_t width = std::size_t{1} << (header.information_ - 24U);
  if (frame.size() - position < width) {
    return false;
  }
  header.argument_ = 0;
  for (std::size_t i = 0; i < width; ++i) {
    header.argument_ = (header.argument_ << 8U) | static_cast<unsigned char>(frame[position++]);
  }
  return true;
}

/// False for simple values other than false, true, null and the three floating-point widths.
bool IsKnownSimple(const Header& header) {
  return (header.information_ >= 20 && header.information_ <= 22) || header.information_ >= 25;
}

/// Checks the structure without building values. The library's parser recurses for nested arrays
/// and for chunked strings, so that a small frame could exhaust the stack; frames with deep
/// nesting, chunks or tags are refused here before it sees them.
bool IsWellFormed(std::string_view frame) {
  std::array<std::uint64_t, kMaxDepth + 1> remaining{1};
  std::size_t depth = 0;
  std::size_t position = 0;
  while (true) {
    while (remaining.at(depth) == 0) {
      if (depth == 0) {
        return position == frame.size();
      }
      --depth;
    }
    --remaining.at(depth);
    Header header;
    if (!ReadHeader(frame, position, header)) {
      return false;
    }
    const std::uint64_t left = frame.size() - position;
    if (header.major_ == 2 || header.major_ == 3) {
      if (header.argument_ > left) {
        return false;
      }
      position += header.argument_;
    } else if (header.major_ == 4 || header.major_ == 5) {
      // Each element takes at least one byte, which also bounds what the parser may reserve.
      if (header.argument_ > left || depth == kMaxDepth) {
        return false;
      }
      remaining.at(++depth) = header.argument_ * (header.major_ == 5 ? 2 : 1);
    } else if (header.major_ == 6 || (header.major_ == 7 && !IsKnownSimple(header))) {
      return false;
    }
  }
}

Cbor* Fail(FieldReader& reader, std::string_view name) {
  NoteFault(reader, name);
  return nullptr;
}

}  // namespace

void NoteFault(FieldReader& reader, std::string_view name) {
  if (reader.fault_.empty()) {
    reader.fault_ = name;
  }
}

Result<Cbor> ParseFrame(std::string_view frame) {
  if (frame.size() > kMaxFrameBytes) {
    return MakeError(Errc::kTooLarge, "decode message", "", std::to_string(frame.size()));
  }
  if (!IsWellFormed(frame)) {
    return MakeError(Errc::kMalformed, "decode message", "", "not a CBOR item");
  }
  // Some faults are thrown by the library even when exceptions are switched off for the parser.
  try {
    Cbor value = Cbor::from_cbor(frame.begin(), frame.end(), true, false);
    if (value.is_object()) {
      return value;
    }
  } catch (const std::exception& exception) {
    return MakeError(Errc::kMalformed, "decode message", "", exception.what());
  }
  return MakeError(Errc::kMalformed, "decode message", "", "not a CBOR map");
}

std::string SerializeFrame(const Cbor& value) {
  std::string frame;
  Cbor::to_cbor(value, frame);
  return frame;
}

FieldReader ReaderOf(Cbor& value) {
  FieldReader reader;
  reader.fields_ = value.get_ptr<Cbor::object_t*>();
  if (reader.fields_ == nullptr) {
    reader.fault_ = "map";
  }
  return reader;
}

Cbor* TakeField(FieldReader& reader, std::string_view name) {
  if (reader.fields_ == nullptr) {
    return Fail(reader, name);
  }
  const auto found = reader.fields_->find(name);
  return found == reader.fields_->end() ? Fail(reader, name) : &found->second;
}

std::uint64_t TakeUnsigned(FieldReader& reader, std::string_view name, std::uint64_t maximum) {
  const Cbor* value = TakeField(reader, name);
  const auto* number = value == nullptr ? nullptr : value->get_ptr<const std::uint64_t*>();
  if (number == nullptr || *number > maximum) {
    Fail(reader, name);
    return 0;
  }
  return *number;
}

bool TakeFlag(FieldReader& reader, std::string_view name) {
  const Cbor* value = TakeField(reader, name);
  const auto* flag = value == nullptr ? nullptr : value->get_ptr<const bool*>();
  if (flag == nullptr) {
    Fail(reader, name);
    return false;
  }
  return *flag;
}

std::string TakeText(FieldReader& reader, std::string_view name) {
  Cbor* value = TakeField(reader, name);
  auto* text = value == nullptr ? nullptr : value->get_ptr<std::string*>();
  if (text == nullptr) {
    Fail(reader, name);
    return {};
  }
  return std::move(*text);
}

std::string TakeBytes(FieldReader& reader, std::string_view name) {
  const Cbor* value = TakeField(reader, name);
  if (value == nullptr || !value->is_binary()) {
    Fail(reader, name);
    return {};
  }
  return ToBytes(value->get_binary());
}

double TakeNumber(FieldReader& reader, std::string_view name) {
  const Cbor* value = TakeField(reader, name);
  if (value == nullptr || !value->is_number() || !std::isfinite(value->get<double>())) {
    Fail(reader, name);
    return 0;
  }
  return value->get<double>();
}

Cbor::array_t TakeArray(FieldReader& reader, std::string_view name) {
  Cbor* value = TakeField(reader, name);
  auto* array = value == nullptr ? nullptr : value->get_ptr<Cbor::array_t*>();
  if (array == nullptr) {
    Fail(reader, name);
    return {};
  }
  return std::move(*array);
}

void Inherit(FieldReader& outer, const FieldReader& inner) {
  if (!inner.fault_.empty()) {
    NoteFault(outer, inner.fault_);
  }
}

Error FieldError(std::string_view step, const FieldReader& reader) {
  return MakeError(Errc::kMalformed, step, "", "field " + std::string(reader.fault_));
}

}  // namespace sassafrasbay
