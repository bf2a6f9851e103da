#pragma once

#include <sys/types.h>

#include <cstdint>
#include <fstream>
#include <string>

namespace sassafrasbay::hostile {

/// Highest resident memory of the process so far; 0 if the process has ended.
inline std::uint64_t PeakResidentKib(pid_t process) {
  std::ifstream status("/proc/" + std::to_string(process) + "/status");
  std::string word;
  std::uint64_t kib = 0;
  while (status >> word) {
    if (word == "VmHWM:") {
      status >> kib;
      break;
    }
  }
  return kib;
}

}  // namespace sassafrasbay::hostile
