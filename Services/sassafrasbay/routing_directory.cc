#include "routing_directory.h"

#include <algorithm>
#include <filesystem>
#include <iostream>

#include "command_line.h"

namespace sassafrasbay {
namespace {

namespace fs = std::filesystem;

bool CollectPaths(std::string_view command, const std::string& path,
                  std::vector<std::string>& found) {
  std::error_code error;
  if (!fs::is_directory(path, error)) {
    found.push_back(path);
    return true;
  }
  for (fs::recursive_directory_iterator entry(path, error), end; entry != end;
       entry.increment(error)) {
    if (error) {
      break;
    }
    if (entry->is_regular_file(error) && IsRoutingFile(entry->path().string())) {
      found.push_back(entry->path().string());
    }
  }
  if (error) {
    std::cerr << "sassafrasbay " << command << ": " << path << ": " << error.message() << "\n";
    return false;
  }
  return true;
}

}  // namespace

bool IsRoutingFile(std::string_view path) { return path.ends_with(kRoutingFileSuffix); }

bool CollectRoutingFiles(std::string_view command, std::span<const std::string> paths,
                         std::vector<RoutingFile>& files) {
  std::vector<std::string> found;
  for (const std::string& path : paths) {
    if (!CollectPaths(command, path, found)) {
      return false;
    }
  }
  std::sort(found.begin(), found.end());
  for (const std::string& path : found) {
    RoutingFile file;
    file.name_ = path;
    if (!ReadFile(command, path, file.text_)) {
      return false;
    }
    files.push_back(std::move(file));
  }
  return true;
}

}  // namespace sassafrasbay
