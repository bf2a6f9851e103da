#include "LibCore/error.h"

namespace sassafrasbay {
namespace {

class RouterErrorCategory final : public std::error_category {
 public:
  const char* name() const noexcept override { return "sassafrasbay"; }

  std::string message(int value) const override {
    switch (static_cast<Errc>(value)) {
      case Errc::kInvalidArgument:
        return "invalid argument";
      case Errc::kMalformed:
        return "malformed data";
      case Errc::kTooLarge:
        return "too large";
      case Errc::kTimedOut:
        return "timed out";
      case Errc::kConnectionLost:
        return "connection lost";
      case Errc::kUnavailable:
        return "unavailable";
      case Errc::kTruncated:
        return "offset is no longer retained";
      case Errc::kConflict:
        return "conflict";
      case Errc::kUnsupportedVersion:
        return "unsupported version";
    }
    return "unknown error";
  }
};

}  // namespace

const std::error_category& RouterCategory() {
  static const RouterErrorCategory kCategory;
  return kCategory;
}

std::error_code make_error_code(Errc code) {  // NOLINT(readability-identifier-naming)
  return {static_cast<int>(code), RouterCategory()};
}

Error MakeError(std::error_code code, std::string_view operation, std::string_view peer,
                std::string_view detail) {
  return Error{code, std::string(operation), std::string(peer), std::string(detail)};
}

std::string ToString(const Error& error) {
  std::string text = error.operation_;
  if (!error.peer_.empty()) {
    text += " (" + error.peer_ + ")";
  }
  text += ": " + error.code_.message();
  if (!error.detail_.empty()) {
    text += ": " + error.detail_;
  }
  return text;
}

}  // namespace sassafrasbay
