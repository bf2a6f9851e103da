#include "LibControl/control_cbor.h"

namespace sassafrasbay::cbor {
namespace {

/// The deepest encoded value is an override in a control state; this limit leaves room for fields
/// that are added later.
constexpr std::size_t kMaxDepth = 16;

/// Checks nesting and declared sizes before the library builds a value. The library's CBOR reader
/// recurses for each level, so deep nesting exhausts the stack, and it throws on excessive sizes
/// even when exceptions are turned off.
class SizeAndDepthCheck final : public nlohmann::json_sax<Json> {
 public:
  explicit SizeAndDepthCheck(std::size_t max_elements) : max_elements_(max_elements) {}

  bool null() override { return true; }                                                  // NOLINT
  bool boolean(bool) override { return true; }                                           // NOLINT
  bool number_integer(number_integer_t) override { return true; }                        // NOLINT
  bool number_unsigned(number_unsigned_t) override { return true; }                      // NOLINT
  bool number_float(number_float_t, const string_t&) override { return true; }           // NOLINT
  bool string(string_t&) override { return true; }                                       // NOLINT
  bool binary(binary_t&) override { return true; }                                       // NOLINT
  bool start_object(std::size_t elements) override { return EnterContainer(elements); }  // NOLINT
  bool key(string_t&) override { return true; }                                          // NOLINT
  bool end_object() override { return LeaveContainer(); }                                // NOLINT
  bool start_array(std::size_t elements) override { return EnterContainer(elements); }   // NOLINT
  bool end_array() override { return LeaveContainer(); }                                 // NOLINT
  bool parse_error(std::size_t, const std::string&,                                      // NOLINT
                   const nlohmann::detail::exception&) override {
    return false;
  }

 private:
  bool EnterContainer(std::size_t elements) {
    constexpr auto kUnknownSize = static_cast<std::size_t>(-1);
    return ++depth_ <= kMaxDepth && (elements == kUnknownSize || elements <= max_elements_);
  }

  bool LeaveContainer() {
    --depth_;
    return true;
  }

  std::size_t max_elements_;
  std::size_t depth_ = 0;
};

/// Length of the UTF-8 sequence that starts with `lead`; 0 when `lead` can't start a sequence.
std::size_t Utf8SequenceLength(unsigned char lead) {
  if (lead < 0x80U) {
    return 1;
  }
  if (lead >= 0xC2U && lead <= 0xDFU) {
    return 2;
  }
  if (lead >= 0xE0U && lead <= 0xEFU) {
    return 3;
  }
  return lead >= 0xF0U && lead <= 0xF4U ? 4 : 0;
}

/// Whether `second` may follow `lead`. Excludes overlong forms, surrogates and code points above
/// U+10FFFF.
bool IsValidSecondByte(unsigned char lead, unsigned char second) {
  const unsigned low = lead == 0xE0U ? 0xA0U : lead == 0xF0U ? 0x90U : 0x80U;
  const unsigned high = lead == 0xEDU ? 0x9FU : lead == 0xF4U ? 0x8FU : 0xBFU;
  return second >= low && second <= high;
}

}  // namespace

Json Parse(std::string_view bytes) {
  SizeAndDepthCheck check(bytes.size());
  if (!Json::sax_parse(bytes.begin(), bytes.end(), &check, Json::input_format_t::cbor)) {
    return Json(Json::value_t::discarded);
  }
  return Json::from_cbor(bytes.begin(), bytes.end(), true, false);
}

std::string Serialize(const Json& value) {
  std::string bytes;
  Json::to_cbor(value, bytes);
  return bytes;
}

// The decoder rejects invalid UTF-8, because the JSON writer of the status page throws on it.
bool IsUtf8(std::string_view text) {
  std::size_t i = 0;
  while (i < text.size()) {
    const auto lead = static_cast<unsigned char>(text[i]);
    const std::size_t length = Utf8SequenceLength(lead);
    if (length == 0 || text.size() - i < length) {
      return false;
    }
    for (std::size_t k = 1; k < length; ++k) {
      const auto next = static_cast<unsigned char>(text[i + k]);
      if ((next & 0xC0U) != 0x80U || (k == 1 && !IsValidSecondByte(lead, next))) {
        return false;
      }
    }
    i += length;
  }
  return true;
}

}  // namespace sassafrasbay::cbor
