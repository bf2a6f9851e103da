// Stands in for the parser of LibConfiguration: a file starts with "[service.NAME]" and
// "shards = N"; the rest is ignored, and any other start is a fault.

#include <algorithm>
#include <sstream>

#include "LibConfiguration/routing_configuration.h"

namespace sassafrasbay {

std::string ToString(const Fault& fault) { return fault.file_ + ": " + fault.message_; }

RoutingConfigurationResult ParseRoutingFiles(std::span<const RoutingFile> files) {
  RoutingConfigurationResult result;
  for (const RoutingFile& file : files) {
    std::istringstream text(file.text_);
    std::string header;
    std::string key;
    std::string equals;
    ServiceSpec spec;
    constexpr std::string_view kPrefix = "[service.";
    if (!(text >> header >> key >> equals >> spec.shards_) || !header.starts_with(kPrefix)) {
      result.faults_.push_back({file.name_, 1, "", "not a service"});
      continue;
    }
    spec.name_ = header.substr(kPrefix.size(), header.size() - kPrefix.size() - 1);
    result.configuration_.services_.push_back(std::move(spec));
  }
  std::ranges::sort(result.configuration_.services_, {}, &ServiceSpec::name_);
  return result;
}

}  // namespace sassafrasbay
