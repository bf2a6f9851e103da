#pragma once

#include <cstdlib>
#include <string>
#include <string_view>

namespace sassafrasbay::stand_ins {

/// A text option of popt, which leaves it to the program to free the text.
class OptionText {
 public:
  OptionText() = default;
  ~OptionText() { std::free(text_); }
  OptionText(const OptionText&) = delete;
  OptionText& operator=(const OptionText&) = delete;

  char** Target() { return &text_; }
  std::string Value(std::string_view fallback = {}) const {
    return text_ == nullptr ? std::string(fallback) : std::string(text_);
  }

 private:
  char* text_ = nullptr;
};

}  // namespace sassafrasbay::stand_ins
