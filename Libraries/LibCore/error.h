#pragma once

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/try.hpp>
#include <string>
#include <string_view>
#include <system_error>

namespace sassafrasbay {

/// Error conditions of the router itself; system and library errors keep their own categories.
enum class Errc {
  kInvalidArgument = 1,
  kMalformed,
  kTooLarge,
  kTimedOut,
  kConnectionLost,
  kUnavailable,
  kTruncated,
  kConflict,
  kUnsupportedVersion,
};

const std::error_category& RouterCategory();
std::error_code make_error_code(Errc code);  // NOLINT(readability-identifier-naming): found by ADL

/// An error with the operation that failed and the peer involved.
struct Error {
  std::error_code code_;
  std::string operation_;
  std::string peer_;  ///< Address or file name; empty when no peer is involved.
  std::string detail_;
};

Error MakeError(std::error_code code, std::string_view operation, std::string_view peer,
                std::string_view detail);

/// Formats an error on one line: "operation (peer): message: detail".
std::string ToString(const Error& error);

template <typename T>
using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::terminate>;

}  // namespace sassafrasbay

template <>
struct std::is_error_code_enum<sassafrasbay::Errc> : std::true_type {};

/// SASSAFRASBAY_TRY(name, expression) declares `name` with the value of a Result, or returns
/// its error from the calling function; SASSAFRASBAY_TRY(expression) only does the latter.
#define SASSAFRASBAY_TRY(...) BOOST_OUTCOME_TRY(__VA_ARGS__)
