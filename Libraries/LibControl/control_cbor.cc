#include "LibControl/control_cbor.h"

namespace sassafrasbay::cbor {
namespace {

/// Nesting of the deepest value, an override in a state, with room for later fields.
constexpr std::size_t kMaxDepth = 16;

/// Checks nesting and announced sizes before the library builds a value. Its CBOR reader recurses
/// for each level, so that deep nesting exhausts the stack, and it throws on excessive sizes even
/// when exceptions are turned off.
class ShapeCheck final : public nlohmann::json_sax<Json> {
 public:
  explicit ShapeCheck(std::size_t max_elements) : max_elements_(max_elements) {}

  bool null() override { return true; }                                         // NOLINT
  bool boolean(bool) override { return true; }                                  // NOLINT
  bool number_integer(number_integer_t) override { return true; }               // NOLINT
  bool number_unsigned(number_unsigned_t) override { return true; }             // NOLINT
  bool number_float(number_float_t, const string_t&) override { return true; }  // NOLINT
  bool string(string_t&) override { return true; }                              // NOLINT
  bool binary(binary_t&) override { return true; }                              // NOLINT
  bool start_object(std::size_t elements) override { return Enter(elements); }  // NOLINT
  bool key(string_t&) override { return true; }                                 // NOLINT
  bool end_object() override { return Leave(); }                                // NOLINT
  bool start_array(std::size_t elements) override { return Enter(elements); }   // NOLINT
  bool end_array() override { return Leave(); }                                 // NOLINT
  bool parse_error(std::size_t, const std::string&,                             // NOLINT
                   const nlohmann::detail::exception&) override {
    return false;
  }

 private:
  bool Enter(std::size_t elements) {
    constexpr auto kUnknown = static_cast<std::size_t>(-1);
    return ++depth_ <= kMaxDepth && (elements == kUnknown || elements <= max_elements_);
  }

  bool Leave() {
    --depth_;
    return true;
  }

  std::size_t max_elements_;
  std::size_t depth_ = 0;
};

/// Length of the UTF-8 sequence that starts with `lead`, 0 when none does.
std::size_t SequenceLength(unsigned char lead) {
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

/// Rules out overlong forms, surrogates and code points above U+10FFFF.
bool IsSecondByte(unsigned char lead, unsigned char second) {
  const unsigned low = lead == 0xE0U ? 0xA0U : lead == 0xF0U ? 0x90U : 0x80U;
  const unsigned high = lead == 0xEDU ? 0x9FU : lead == 0xF4U ? 0x8FU : 0xBFU;
  return second >= low && second <= high;
}

}  // namespace

Json Parse(std::string_view bytes) {
  ShapeCheck check(bytes.size());
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

// Invalid UTF-8 is refused on decoding, because the JSON writer of the status page throws on it.
bool IsUtf8(std::string_view text) {
  std::size_t i = 0;
  while (i < text.size()) {
    const auto lead = static_cast<unsigned char>(text[i]);
    const std::size_t length = SequenceLength(lead);
    if (length == 0 || text.size() - i < length) {
      return false;
    }
    for (std::size_t k = 1; k < length; ++k) {
      const auto next = static_cast<unsigned char>(text[i + k]);
      if ((next & 0xC0U) != 0x80U || (k == 1 && !IsSecondByte(lead, next))) {
        return false;
      }
    }
    i += length;
  }
  return true;
}

}  // namespace sassafrasbay::cbor
