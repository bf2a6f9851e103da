#include "LibRouting/cbor_frame.h"

#include <array>
#include <cmath>
#include <exception>
#include <utility>

#include "LibRouting/message_codec.h"

namespace sassafrasbay {
namespace {

/// Maximum nesting depth of a frame. Messages nest a map, an array of entries, an entry and its
/// array of headers.
constexpr std::size_t kMaxDepth = 6;

/// Maximum number of items in a frame. Table entries of the minimum size fill a frame of the
/// maximum size with some 600,000 items. Without this limit a frame of one-byte items would expand
/// to several hundred megabytes.
constexpr std::size_t kMaxItems = 1U << 20U;

/// Head of a CBOR data item (RFC 8949, section 3).
struct Header {
  unsigned major_type_ = 0;
  unsigned additional_information_ = 0;
  std::uint64_t argument_ = 0;
};

/// Reads the initial byte and the argument of a CBOR item. Returns false when the frame ends early,
/// or the item has an indefinite length or a reserved form.
bool ReadHeader(std::string_view frame, std::size_t& position, Header& header) {
  if (position >= frame.size()) {
    return false;
  }
  const auto initial = static_cast<unsigned char>(frame[position++]);
  header.major_type_ = initial >> 5U;
  header.additional_information_ = initial & 0x1FU;
  header.argument_ = header.additional_information_;
  if (header.additional_information_ < 24) {
    return true;
  }
  if (header.additional_information_ > 27) {
    return false;
  }
  const std::size_t width = std::size_t{1} << (header.additional_information_ - 24U);
  if (frame.size() - position < width) {
    return false;
  }
  header.argument_ = 0;
  for (std::size_t i = 0; i < width; ++i) {
    header.argument_ = (header.argument_ << 8U) | static_cast<unsigned char>(frame[position++]);
  }
  return true;
}

/// Returns false for simple values other than false, true, null and the three floating-point
/// widths.
bool IsSupportedSimple(const Header& header) {
  return (header.additional_information_ >= 20 && header.additional_information_ <= 22) ||
         header.additional_information_ >= 25;
}

/// State of the structural check of a frame.
struct Scan {
  std::string_view frame_;
  std::size_t position_ = 0;
  std::size_t depth_ = 0;
  std::array<std::uint64_t, kMaxDepth + 1> remaining_{1};  ///< Items left at each depth.
  std::size_t items_ = 0;
  std::vector<std::string_view> strings_;  ///< Contents of the byte strings, in order.
  std::string rewritten_;       ///< The frame with a tagged empty string for each byte string.
  std::size_t copied_end_ = 0;  ///< End of the part of the frame that is in `rewritten_`.
};

/// Replaces the byte string at `start` by an empty one with its index as the tag. This can't be
/// confused with a tag of the sender, since frames with tags are rejected.
void MarkByteString(Scan& scan, std::size_t start, std::string_view content) {
  static constexpr char kTagWithFourByteArgument = static_cast<char>(0xDA);
  static constexpr char kEmptyByteString = 0x40;
  scan.rewritten_ += scan.frame_.substr(scan.copied_end_, start - scan.copied_end_);
  scan.rewritten_ += kTagWithFourByteArgument;
  for (int shift = 24; shift >= 0; shift -= 8) {
    scan.rewritten_ +=
        static_cast<char>((scan.strings_.size() >> static_cast<unsigned>(shift)) & 0xFFU);
  }
  scan.rewritten_ += kEmptyByteString;
  scan.strings_.push_back(content);
  scan.copied_end_ = scan.position_;
}

/// Scans the head of one item, and the content of a string. Elements of arrays and maps are left
/// for later calls.
bool ScanItem(Scan& scan) {
  --scan.remaining_.at(scan.depth_);
  const std::size_t start = scan.position_;
  Header header;
  if (++scan.items_ > kMaxItems || !ReadHeader(scan.frame_, scan.position_, header)) {
    return false;
  }
  const std::size_t left = scan.frame_.size() - scan.position_;
  if (header.major_type_ == 2 || header.major_type_ == 3) {
    if (header.argument_ > left) {
      return false;
    }
    const std::string_view content = scan.frame_.substr(scan.position_, header.argument_);
    scan.position_ += header.argument_;
    if (header.major_type_ == 2) {
      MarkByteString(scan, start, content);
    }
    return true;
  }
  if (header.major_type_ == 4 || header.major_type_ == 5) {
    // Each element takes at least one byte, which also limits what the parser may reserve.
    if (header.argument_ > left || scan.depth_ == kMaxDepth) {
      return false;
    }
    scan.remaining_.at(++scan.depth_) = header.argument_ * (header.major_type_ == 5 ? 2 : 1);
    return true;
  }
  return header.major_type_ < 2 || (header.major_type_ == 7 && IsSupportedSimple(header));
}

/// Checks the structure without building values. The library's parser recurses into nested arrays
/// and chunked strings, so that a small frame could exhaust the stack. Frames with deep nesting,
/// chunked strings or tags are therefore rejected before they are parsed.
bool IsWellFormed(Scan& scan) {
  while (true) {
    while (scan.remaining_.at(scan.depth_) == 0) {
      if (scan.depth_ == 0) {
        scan.rewritten_ += scan.frame_.substr(scan.copied_end_);
        return scan.position_ == scan.frame_.size();
      }
      --scan.depth_;
    }
    if (!ScanItem(scan)) {
      return false;
    }
  }
}

/// Records the field as invalid and returns null.
Cbor* Fail(FieldReader& reader, std::string_view name) {
  MarkInvalid(reader, name);
  return nullptr;
}

}  // namespace

void MarkInvalid(FieldReader& reader, std::string_view name) {
  if (reader.invalid_field_.empty()) {
    reader.invalid_field_ = name;
  }
}

Result<ParsedFrame> ParseFrame(std::string_view frame) {
  if (frame.size() > kMaxFrameBytes) {
    return MakeError(Errc::kTooLarge, "decode message", "", std::to_string(frame.size()));
  }
  Scan scan;
  scan.frame_ = frame;
  if (!IsWellFormed(scan)) {
    return MakeError(
        Errc::kMalformed, "decode message", "",
        "not exactly one CBOR item, or one with a form, depth or item count that isn't allowed");
  }
  // The library throws some errors even when exceptions are turned off for the parser.
  try {
    ParsedFrame parsed;
    parsed.strings_ = std::move(scan.strings_);
    parsed.fields_ = Cbor::from_cbor(scan.rewritten_, true, false, Cbor::cbor_tag_handler_t::store);
    if (parsed.fields_.is_object()) {
      return parsed;
    }
  } catch (const std::exception& exception) {
    return MakeError(Errc::kMalformed, "decode message", "", exception.what());
  }
  return MakeError(Errc::kMalformed, "decode message", "", "the CBOR item is not a map");
}

std::string SerializeFrame(const Cbor& fields) {
  std::string frame;
  Cbor::to_cbor(fields, frame);
  return frame;
}

std::string SerializeFrame(const Cbor& fields, std::string_view body) {
  static constexpr std::size_t kTypicalFieldBytes = 512;
  static constexpr unsigned kByteStringMajor = 2U << 5U;
  std::string frame;
  frame.reserve(kTypicalFieldBytes + body.size());
  Cbor::to_cbor(fields, frame);
  // In a map of fewer than 24 fields the low bits of the initial byte are the number of fields.
  ++frame.front();
  Cbor::to_cbor(Cbor(kBodyField), frame);
  // The head of a byte string differs from that of its length as an unsigned integer only in the
  // major type.
  const std::size_t header = frame.size();
  Cbor::to_cbor(Cbor(body.size()), frame);
  frame[header] = static_cast<char>(static_cast<unsigned char>(frame[header]) | kByteStringMajor);
  frame += body;
  return frame;
}

FieldReader MakeReader(ParsedFrame& frame) {
  FieldReader reader;
  reader.fields_ = frame.fields_.get_ptr<Cbor::object_t*>();
  reader.strings_ = frame.strings_;
  return reader;
}

FieldReader MakeReader(Cbor& value, const FieldReader& outer) {
  FieldReader reader;
  reader.fields_ = value.get_ptr<Cbor::object_t*>();
  reader.strings_ = outer.strings_;
  if (reader.fields_ == nullptr) {
    reader.invalid_field_ = "map";
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

// A status that is none doesn't make the frame invalid, since the request that it answers would
// then wait until its deadline.
int TakeStatus(FieldReader& reader, std::string_view name) {
  constexpr std::uint64_t kFirstFinal = 200;
  constexpr std::uint64_t kLast = 599;
  if (reader.fields_ == nullptr) {
    Fail(reader, name);
    return 0;
  }
  const auto found = reader.fields_->find(name);
  const auto* number =
      found == reader.fields_->end() ? nullptr : found->second.get_ptr<const std::uint64_t*>();
  const bool valid = number != nullptr && *number >= kFirstFinal && *number <= kLast;
  return valid ? static_cast<int>(*number) : 0;
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
  return value == nullptr ? std::string() : ToBytes(reader, name, *value);
}

std::string ToBytes(FieldReader& reader, std::string_view name, const Cbor& value) {
  if (!value.is_binary() || !value.get_binary().has_subtype() ||
      value.get_binary().subtype() >= reader.strings_.size()) {
    Fail(reader, name);
    return {};
  }
  return std::string(reader.strings_[value.get_binary().subtype()]);
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

void PropagateInvalid(FieldReader& outer, const FieldReader& inner) {
  if (!inner.invalid_field_.empty()) {
    MarkInvalid(outer, inner.invalid_field_);
  }
}

Error FieldError(std::string_view operation, const FieldReader& reader) {
  return MakeError(Errc::kMalformed, operation, "",
                   "missing or invalid field " + std::string(reader.invalid_field_));
}

Cbor HeadersToCbor(const HeaderList& headers) {
  Cbor::array_t items;
  items.reserve(headers.size() * 2);
  for (const auto& [name, value] : headers) {
    items.push_back(Bytes(name));
    items.push_back(Bytes(value));
  }
  return items;
}

HeaderList ReadHeaders(FieldReader& reader) {
  Cbor::array_t items = TakeArray(reader, "h");
  HeaderList headers;
  headers.reserve(items.size() / 2);
  if (items.size() % 2 != 0) {
    MarkInvalid(reader, "h");
    return headers;
  }
  for (std::size_t i = 0; i < items.size(); i += 2) {
    headers.emplace_back(ToBytes(reader, "h", items[i]), ToBytes(reader, "h", items[i + 1]));
  }
  return headers;
}

}  // namespace sassafrasbay
