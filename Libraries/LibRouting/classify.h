#pragma once

#include <string>
#include <string_view>

#include "LibConfiguration/routing_configuration.h"
#include "LibCore/error.h"
#include "LibRouting/messages.h"

namespace sassafrasbay {

struct Classification {
  const ServiceSpec* service_ = nullptr;  ///< Points into the configuration given.
  const RequestClass* class_ = nullptr;
  std::string key_;
  std::uint64_t key_hash_ = 0;
  std::uint64_t fingerprint_ = 0;  ///< Of service, method, path and body.
};

/// Finds service, class and key of a request. Errors: kInvalidArgument with the missing part.
Result<Classification> Classify(const RoutingConfiguration& configuration,
                                const HttpRequest& request);

std::uint64_t HashKey(std::string_view service, std::string_view key);

}  // namespace sassafrasbay
