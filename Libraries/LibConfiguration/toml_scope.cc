#include "LibConfiguration/toml_scope.h"

#include <algorithm>
#include <sstream>
#include <tuple>
#include <utility>

namespace sassafrasbay {
namespace {

constexpr std::size_t kMaxNameLength = 64;

template <typename T>
std::string Text(T value) {
  std::ostringstream stream;
  stream << value;
  return stream.str();
}

template <typename T>
std::string OutOfRange(T value, Range<T> range) {
  return Text(value) + " is outside " + Text(range.min_) + " to " + Text(range.max_);
}

template <typename T>
std::optional<T> CheckRange(const TomlScope& scope, std::string_view key, T value, Range<T> range) {
  // The comparisons are false for NaN, which is thereby rejected.
  if (value >= range.min_ && value <= range.max_) {
    return value;
  }
  AddFault(scope, key, OutOfRange(value, range));
  return std::nullopt;
}

bool IsLetterOrDigit(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
}

}  // namespace

int LineOf(const toml::node& node) { return static_cast<int>(node.source().begin.line); }

std::optional<toml::table> ParseToml(std::string_view file, std::string_view text,
                                     std::vector<Fault>& faults) {
  toml::parse_result result = toml::parse(text);
  if (!result) {
    const toml::parse_error& error = result.error();
    faults.push_back({.file_ = std::string(file),
                      .line_ = static_cast<int>(error.source().begin.line),
                      .key_ = {},
                      .message_ = "syntax error: " + std::string(error.description())});
    return std::nullopt;
  }
  return std::move(result).table();
}

TomlScope EnterTable(const TomlScope& scope, std::string_view key) {
  TomlScope inner{.table_ = nullptr,
                  .file_ = scope.file_,
                  .path_ = PathOf(scope, key),
                  .line_ = scope.line_,
                  .faults_ = scope.faults_};
  const toml::node* node = FindNode(scope, key);
  if (node == nullptr) {
    return inner;
  }
  inner.line_ = LineOf(*node);
  inner.table_ = node->as_table();
  if (inner.table_ == nullptr) {
    AddFault(scope, key, "must be a table");
  }
  return inner;
}

std::string PathOf(const TomlScope& scope, std::string_view key) {
  if (scope.path_.empty()) {
    return std::string(key);
  }
  return scope.path_ + "." + std::string(key);
}

void AddFault(const TomlScope& scope, std::string_view key, std::string_view message) {
  const toml::node* node = FindNode(scope, key);
  scope.faults_->push_back({.file_ = scope.file_,
                            .line_ = node == nullptr ? scope.line_ : LineOf(*node),
                            .key_ = PathOf(scope, key),
                            .message_ = std::string(message)});
}

bool HasFault(const TomlScope& scope, std::string_view key) {
  const std::string path = PathOf(scope, key);
  return std::any_of(scope.faults_->begin(), scope.faults_->end(), [&](const Fault& fault) {
    return fault.file_ == scope.file_ && fault.key_ == path;
  });
}

void CheckKnownKeys(const TomlScope& scope, std::initializer_list<std::string_view> known) {
  if (scope.table_ == nullptr) {
    return;
  }
  for (const auto& [key, value] : *scope.table_) {
    if (std::find(known.begin(), known.end(), key.str()) == known.end()) {
      AddFault(scope, key.str(), "unknown key");
    }
  }
}

const toml::node* FindNode(const TomlScope& scope, std::string_view key) {
  return scope.table_ == nullptr ? nullptr : scope.table_->get(key);
}

std::optional<std::int64_t> ReadInteger(const TomlScope& scope, std::string_view key,
                                        Range<std::int64_t> range) {
  const toml::node* node = FindNode(scope, key);
  if (node == nullptr) {
    return std::nullopt;
  }
  const auto value = node->value_exact<std::int64_t>();
  if (!value.has_value()) {
    AddFault(scope, key, "must be an integer");
    return std::nullopt;
  }
  return CheckRange(scope, key, *value, range);
}

std::optional<double> ReadNumber(const TomlScope& scope, std::string_view key,
                                 Range<double> range) {
  const toml::node* node = FindNode(scope, key);
  if (node == nullptr) {
    return std::nullopt;
  }
  const auto value = node->is_number() ? node->value<double>() : std::nullopt;
  if (!value.has_value()) {
    AddFault(scope, key, "must be a number");
    return std::nullopt;
  }
  return CheckRange(scope, key, *value, range);
}

std::optional<std::string> ReadString(const TomlScope& scope, std::string_view key) {
  const toml::node* node = FindNode(scope, key);
  if (node == nullptr) {
    return std::nullopt;
  }
  auto value = node->value_exact<std::string>();
  if (!value.has_value() || value->empty()) {
    AddFault(scope, key, "must be a string that isn't empty");
    return std::nullopt;
  }
  return value;
}

std::optional<std::string> RequireString(const TomlScope& scope, std::string_view key) {
  if (FindNode(scope, key) == nullptr) {
    AddFault(scope, key, "is missing");
    return std::nullopt;
  }
  return ReadString(scope, key);
}

bool IsName(std::string_view text, std::string_view extra) {
  const auto allowed = [extra](char c) {
    return IsLetterOrDigit(c) || extra.find(c) != std::string_view::npos;
  };
  return !text.empty() && text.size() <= kMaxNameLength &&
         std::all_of(text.begin(), text.end(), allowed);
}

void SortFaults(std::vector<Fault>& faults) {
  const auto order = [](const Fault& fault) {
    return std::tie(fault.file_, fault.line_, fault.key_, fault.message_);
  };
  std::sort(faults.begin(), faults.end(),
            [&order](const Fault& left, const Fault& right) { return order(left) < order(right); });
}

}  // namespace sassafrasbay
