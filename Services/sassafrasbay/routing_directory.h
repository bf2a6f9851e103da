#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "LibConfiguration/routing_configuration.h"

namespace sassafrasbay {

/// Ending of the names of routing files.
inline constexpr std::string_view kRoutingFileSuffix = ".routing.toml";

bool IsRoutingFile(std::string_view path);

/// Collects the routing files below directories and those named directly, sorted by path. False
/// with a line on standard error when one can't be read.
bool CollectRoutingFiles(std::string_view command, std::span<const std::string> paths,
                         std::vector<RoutingFile>& files);

}  // namespace sassafrasbay
