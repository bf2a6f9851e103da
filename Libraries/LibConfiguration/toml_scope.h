#pragma once

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "LibConfiguration/routing_configuration.h"
#include "LibCore/toml.h"

namespace sassafrasbay {

/// A table of a file and the list that its faults are added to. Only the sources of this library
/// include this header.
struct TomlScope {
  const toml::table* table_ = nullptr;  ///< Null when the table is absent or isn't a table.
  std::string file_;
  std::string path_;  ///< Dotted path of the table; empty for the root.
  int line_ = 0;
  std::vector<Fault>* faults_ = nullptr;
};

/// Inclusive range of a number.
template <typename T>
struct Range {
  T min_;
  T max_;
};

int LineOf(const toml::node& node);

/// Parses a file. Adds a fault for the first syntax error, at which the parser stops.
std::optional<toml::table> ParseToml(std::string_view file, std::string_view text,
                                     std::vector<Fault>& faults);

/// Returns the scope of an inner table; the scope of an absent table has no keys.
TomlScope EnterTable(const TomlScope& scope, std::string_view key);

/// Returns the dotted path of a key.
std::string PathOf(const TomlScope& scope, std::string_view key);

/// Adds a fault at the line of the key, or of the table when the key is absent.
void AddFault(const TomlScope& scope, std::string_view key, std::string_view message);

bool HasFault(const TomlScope& scope, std::string_view key);

void CheckKnownKeys(const TomlScope& scope, std::initializer_list<std::string_view> known);

const toml::node* FindNode(const TomlScope& scope, std::string_view key);

/// These return nullopt for an absent key, and add a fault and return nullopt for an invalid value.
std::optional<std::int64_t> ReadInteger(const TomlScope& scope, std::string_view key,
                                        Range<std::int64_t> range);
std::optional<double> ReadNumber(const TomlScope& scope, std::string_view key, Range<double> range);
std::optional<std::string> ReadString(const TomlScope& scope, std::string_view key);

/// Like ReadString, but adds a fault for an absent key.
std::optional<std::string> RequireString(const TomlScope& scope, std::string_view key);

/// Reads an integer into a number or a duration, which is unchanged when there is no valid value.
template <typename T>
void SetInteger(const TomlScope& scope, std::string_view key, Range<std::int64_t> range,
                T& target) {
  if (const auto value = ReadInteger(scope, key, range)) {
    target = static_cast<T>(*value);
  }
}

/// Whether the text consists of 1 to 64 letters, digits and characters of `extra`.
bool IsName(std::string_view text, std::string_view extra);

/// Sorts faults by file, line, key and message.
void SortFaults(std::vector<Fault>& faults);

}  // namespace sassafrasbay
