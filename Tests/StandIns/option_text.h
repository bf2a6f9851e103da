#pragma once

#include <cstdlib>
#include <string>
#include <string_view>

namespace sassafrasbay::stand_ins {

/// Owns the text of a popt string option, which the program has to free.
class OptionText {
 public:
  OptionText() = default;
  ~OptionText() { std::free(text_); }
  OptionText(const OptionText&) = delete;
  OptionText& operator=(const OptionText&) = delete;

  char** Target() { return &text_; }
  std::string Value(std::string_view default_value = {}) const {
    return text_ == nullptr ? std::string(default_value) : std::string(text_);
  }

 private:
  char* text_ = nullptr;
};

}  // namespace sassafrasbay::stand_ins
