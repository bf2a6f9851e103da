#include "LibRouting/classify.h"

#include <algorithm>
#include <array>
#include <utility>
#include <vector>

#include "LibCore/hash.h"

namespace sassafrasbay {
namespace {

Error ClassificationError(std::string_view part) {
  return MakeError(Errc::kInvalidArgument, "classify request", "", part);
}

int HexValue(char digit) {
  if (digit >= '0' && digit <= '9') {
    return digit - '0';
  }
  const char lower = static_cast<char>(digit | 0x20);
  return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

/// Meaning of a plus sign: itself in a path, a space in a query.
enum class Plus { kLiteral, kSpace };

/// Percent-decodes the text, so that all encodings of a key lead to the same owner. Returns false
/// when it is malformed.
bool DecodePercent(std::string_view text, Plus plus, std::string& decoded) {
  decoded.clear();
  decoded.reserve(text.size());
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%') {
      const int high = i + 2 < text.size() ? HexValue(text[i + 1]) : -1;
      const int low = high >= 0 ? HexValue(text[i + 2]) : -1;
      if (low < 0) {
        return false;
      }
      decoded += static_cast<char>(high * 16 + low);
      i += 2;
    } else {
      decoded += text[i] == '+' && plus == Plus::kSpace ? ' ' : text[i];
    }
  }
  return true;
}

/// Splits a path at its slashes and decodes the segments.
Result<std::vector<std::string>> SplitPath(std::string_view path) {
  if (path.empty() || path.front() != '/') {
    return ClassificationError("path must start with a slash");
  }
  path.remove_prefix(1);
  std::vector<std::string> segments;
  while (true) {
    const std::size_t slash = path.find('/');
    std::string& segment = segments.emplace_back();
    if (!DecodePercent(path.substr(0, slash), Plus::kLiteral, segment)) {
      return ClassificationError("path has a malformed percent-encoding");
    }
    // An upstream that normalizes the path would otherwise find another class or key than this
    // node.
    if (segment == "." || segment == ".." || (segment.empty() && slash != std::string_view::npos)) {
      return ClassificationError("path has an empty or a dot segment");
    }
    if (slash == std::string_view::npos) {
      return segments;
    }
    path.remove_prefix(slash + 1);
  }
}

std::string Join(const std::vector<std::string>& segments) {
  std::string path;
  for (const std::string& segment : segments) {
    path += '/';
    path += segment;
  }
  return path;
}

const ServiceSpec* FindServiceByName(const RoutingConfiguration& configuration,
                                     std::string_view name) {
  const auto found = std::lower_bound(
      configuration.services_.begin(), configuration.services_.end(), name,
      [](const ServiceSpec& service, std::string_view wanted) { return service.name_ < wanted; });
  return found != configuration.services_.end() && found->name_ == name ? &*found : nullptr;
}

/// Finds the class with the longest matching path prefix. Among equal prefixes, a class that names
/// the method is preferred to one for all methods.
const RequestClass* FindClass(const ServiceSpec& service, std::string_view method,
                              std::string_view path) {
  const RequestClass* best = nullptr;
  const auto specificity = [](const RequestClass& candidate) {
    return std::pair(candidate.path_prefix_.size(), candidate.method_ != "*");
  };
  for (const RequestClass& candidate : service.classes_) {
    const bool matches = (candidate.method_ == "*" || candidate.method_ == method) &&
                         path.starts_with(candidate.path_prefix_);
    if (matches && (best == nullptr || specificity(candidate) > specificity(*best))) {
      best = &candidate;
    }
  }
  return best;
}

/// Returns the decoded value of the first query parameter with the name; empty when it is absent or
/// malformed.
std::string FindQueryParameter(std::string_view query, std::string_view name) {
  std::string decoded;
  while (!query.empty()) {
    const std::size_t end = query.find('&');
    const std::string_view item = query.substr(0, end);
    const std::size_t equals = item.find('=');
    if (equals != std::string_view::npos &&
        DecodePercent(item.substr(0, equals), Plus::kSpace, decoded) && decoded == name) {
      return DecodePercent(item.substr(equals + 1), Plus::kSpace, decoded) ? decoded
                                                                           : std::string();
    }
    query.remove_prefix(end == std::string_view::npos ? query.size() : end + 1);
  }
  return {};
}

/// Extracts the key according to the rule; empty when the request has none.
std::string FindKey(const KeyRule& rule, const HttpRequest& request,
                    const std::vector<std::string>& segments, std::string_view query) {
  switch (rule.source_) {
    case KeyRule::Source::kPathSegment:
      return rule.segment_ < segments.size() ? segments[rule.segment_] : std::string();
    case KeyRule::Source::kHeader:
      return std::string(FindHeader(request.headers_, rule.name_));
    case KeyRule::Source::kQuery:
      return FindQueryParameter(query, rule.name_);
  }
  return {};
}

}  // namespace

std::uint64_t HashKey(std::string_view service, std::string_view key) {
  return HashParts(std::array<std::string_view, 2>{service, key});
}

Result<Classification> Classify(const RoutingConfiguration& configuration,
                                const HttpRequest& request) {
  const std::string_view target = request.path_;
  const std::size_t question_mark = target.find('?');
  const std::string_view query = question_mark == std::string_view::npos
                                     ? std::string_view()
                                     : target.substr(question_mark + 1);
  SASSAFRASBAY_TRY(segments, SplitPath(target.substr(0, question_mark)));
  Classification result;
  result.service_ = FindServiceByName(configuration, segments.front());
  if (result.service_ == nullptr) {
    return ClassificationError("no such service");
  }
  result.class_ = FindClass(*result.service_, request.method_, Join(segments));
  if (result.class_ == nullptr) {
    return ClassificationError("no class matches method and path");
  }
  result.key_ = FindKey(result.service_->key_, request, segments, query);
  if (result.key_.empty()) {
    return ClassificationError("request has no key");
  }
  result.key_hash_ = HashKey(result.service_->name_, result.key_);
  result.fingerprint_ = HashParts(std::array<std::string_view, 4>{
      result.service_->name_, request.method_, request.path_, request.body_});
  return result;
}

}  // namespace sassafrasbay
