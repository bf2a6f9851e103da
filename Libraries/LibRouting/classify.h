#pragma once

#include <string>
#include <string_view>

#include "LibConfiguration/routing_configuration.h"
#include "LibCore/error.h"
#include "LibRouting/messages.h"

namespace sassafrasbay {

/// Service, class and key of a request.
struct Classification {
  const ServiceSpec* service_ = nullptr;  ///< Points into the configuration.
  const RequestClass* class_ = nullptr;
  std::string key_;
  std::uint64_t key_hash_ = 0;
  std::uint64_t fingerprint_ = 0;  ///< Hash of service, method, path and body.
};

/// Finds the service, class and key of a request. Errors: kInvalidArgument; the detail names the
/// part that is missing or malformed.
Result<Classification> Classify(const RoutingConfiguration& configuration,
                                const HttpRequest& request);

/// Hash of a key that differs between services.
std::uint64_t HashKey(std::string_view service, std::string_view key);

}  // namespace sassafrasbay
