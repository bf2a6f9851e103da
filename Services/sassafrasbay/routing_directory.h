#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "LibConfiguration/routing_configuration.h"

namespace sassafrasbay {

inline constexpr std::string_view kRoutingFileSuffix = ".routing.toml";

bool IsRoutingFile(std::string_view path);

/// Reads the files among `paths` and all routing files below the directories among them, sorted by
/// path. On failure writes an error that starts with the command to standard error and returns
/// false.
bool CollectRoutingFiles(std::string_view command, std::span<const std::string> paths,
                         std::vector<RoutingFile>& files);

}  // namespace sassafrasbay
