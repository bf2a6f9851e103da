#include "LibRouting/cbor_frame.h"

#include <array>
#include <cmath>
#include <exception>
#include <utility>

#include "LibRouting/message_codec.h"

namespace sassafrasbay {
namespace {

/// Deepest nesting of a message: map, array of entries, entry, array of headers.
constexpr std::size_t kMaxDepth = 6;

/// Most items of a frame. Table entries of the smallest size fill the largest frame with some
/// 600,000; without a bound one frame of single bytes would grow to several hundred megabytes.
constexpr std::size_t kMaxItems = 1U << 20U;

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

/// State of a scan over a frame.
struct Scan {
  std::string_view frame_;
  std::size_t position_ = 0;
  std::size_t depth_ = 0;
  std::array<std::uint64_t, kMaxDepth + 1> remaining_{1};  ///< Items left at each depth.
  std::size_t items_ = 0;
  std::vector<std::string_view> strings_;  ///< Contents of the byte strings, in order.
  std::string rest_;                       ///< The frame with a mark for each byte string.
  std::size_t copied_ = 0;                 ///< Position up to which `rest_` has the frame.
};

/// Replaces a byte string that starts at `start` by an empty one whose tag is its index. Frames
/// can't hold tags of their own, since the scan refuses them.
void MarkByteString(Scan& scan, std::size_t start, std::string_view content) {
  static constexpr char kTagOfFourBytes = static_cast<char>(0xDA);
  static constexpr char kEmptyByteString = 0x40;
  scan.rest_ += scan.frame_.substr(scan.copied_, start - scan.copied_);
  scan.rest_ += kTagOfFourBytes;
  for (int shift = 24; shift >= 0; shift -= 8) {
    scan.rest_ += static_cast<char>((scan.strings_.size() >> static_cast<unsigned>(shift)) & 0xFFU);
  }
  scan.rest_ += kEmptyByteString;
  scan.strings_.push_back(content);
  scan.copied_ = scan.position_;
}

/// Passes over one item, without the items in it.
bool ScanItem(Scan& scan) {
  --scan.remaining_.at(scan.depth_);
  const std::size_t start = scan.position_;
  Header header;
  if (++scan.items_ > kMaxItems || !ReadHeader(scan.frame_, scan.position_, header)) {
    return false;
  }
  const std::size_t left = scan.frame_.size() - scan.position_;
  if (header.major_ == 2 || header.major_ == 3) {
    if (header.argument_ > left) {
      return false;
    }
    const std::string_view content = scan.frame_.substr(scan.position_, header.argument_);
    scan.position_ += header.argument_;
    if (header.major_ == 2) {
      MarkByteString(scan, start, content);
    }
    return true;
  }
  if (header.major_ == 4 || header.major_ == 5) {
    // Each element takes at least one byte, which also bounds what the parser may reserve.
    if (header.argument_ > left || scan.depth_ == kMaxDepth) {
      return false;
    }
    scan.remaining_.at(++scan.depth_) = header.argument_ * (header.major_ == 5 ? 2 : 1);
    return true;
  }
  return header.major_ < 2 || (header.major_ == 7 && IsKnownSimple(header));
}

/// Checks the structure without building values. The library's parser recurses for nested arrays
/// and for chunked strings, so that a small frame could exhaust the stack; frames with deep
/// nesting, chunks or tags are refused here before it sees them.
bool IsWellFormed(Scan& scan) {
  while (true) {
    while (scan.remaining_.at(scan.depth_) == 0) {
      if (scan.depth_ == 0) {
        scan.rest_ += scan.frame_.substr(scan.copied_);
        return scan.position_ == scan.frame_.size();
      }
      --scan.depth_;
    }
    if (!ScanItem(scan)) {
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

Result<ParsedFrame> ParseFrame(std::string_view frame) {
  if (frame.size() > kMaxFrameBytes) {
    return MakeError(Errc::kTooLarge, "decode message", "", std::to_string(frame.size()));
  }
  Scan scan;
  scan.frame_ = frame;
  if (!IsWellFormed(scan)) {
    return MakeError(Errc::kMalformed, "decode message", "", "not a CBOR item");
  }
  // Some faults are thrown by the library even when exceptions are switched off for the parser.
  try {
    ParsedFrame parsed;
    parsed.strings_ = std::move(scan.strings_);
    parsed.fields_ = Cbor::from_cbor(scan.rest_, true, false, Cbor::cbor_tag_handler_t::store);
    if (parsed.fields_.is_object()) {
      return parsed;
    }
  } catch (const std::exception& exception) {
    return MakeError(Errc::kMalformed, "decode message", "", exception.what());
  }
  return MakeError(Errc::kMalformed, "decode message", "", "not a CBOR map");
}

std::string SerializeFrame(const Cbor& fields) {
  std::string frame;
  Cbor::to_cbor(fields, frame);
  return frame;
}

std::string SerializeFrame(const Cbor& fields, std::string_view body) {
  static constexpr std::size_t kUsualFieldBytes = 512;
  static constexpr unsigned kByteStringMajor = 2U << 5U;
  std::string frame;
  frame.reserve(kUsualFieldBytes + body.size());
  Cbor::to_cbor(fields, frame);
  // The initial byte of a small map ends with its number of fields.
  ++frame.front();
  Cbor::to_cbor(Cbor(kBodyField), frame);
  // The header of a byte string is that of its length as a number, but for the major type.
  const std::size_t header = frame.size();
  Cbor::to_cbor(Cbor(body.size()), frame);
  frame[header] = static_cast<char>(static_cast<unsigned char>(frame[header]) | kByteStringMajor);
  frame += body;
  return frame;
}

FieldReader ReaderOf(ParsedFrame& frame) {
  FieldReader reader;
  reader.fields_ = frame.fields_.get_ptr<Cbor::object_t*>();
  reader.strings_ = frame.strings_;
  return reader;
}

FieldReader ReaderOf(Cbor& value, const FieldReader& outer) {
  FieldReader reader;
  reader.fields_ = value.get_ptr<Cbor::object_t*>();
  reader.strings_ = outer.strings_;
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

void Inherit(FieldReader& outer, const FieldReader& inner) {
  if (!inner.fault_.empty()) {
    NoteFault(outer, inner.fault_);
  }
}

Error FieldError(std::string_view step, const FieldReader& reader) {
  return MakeError(Errc::kMalformed, step, "", "field " + std::string(reader.fault_));
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
    NoteFault(reader, "h");
    return headers;
  }
  for (std::size_t i = 0; i < items.size(); i += 2) {
    headers.emplace_back(ToBytes(reader, "h", items[i]), ToBytes(reader, "h", items[i + 1]));
  }
  return headers;
}

}  // namespace sassafrasbay
