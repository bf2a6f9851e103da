#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <span>
#include <string>

#include "harness/history.h"

namespace sassafrasbay::demo {

/// What the demo recorded, and the input of its report.
struct Recording {
  std::vector<harness::RunRecord> runs_;
  std::vector<harness::AnswerRecord> answers_;
  std::map<int, std::string> node_of_port_;  ///< Node beside the upstream with this port.
  nlohmann::json status_before_;             ///< GET /-/status before and after the loss.
  nlohmann::json status_after_;
  std::string killed_node_;
  std::string killed_service_;
  std::int64_t killed_at_ms_ = 0;  ///< CLOCK_BOOTTIME.
  std::set<std::string> lost_keys_;
  double ownership_moves_ = 0;  ///< After the first assignment.
  double idle_memory_mb_ = 0;   ///< Largest node before the traffic.
};

/// Prints tables, measures and verdict. True when every check passed.
bool PrintReport(const Recording& recording);

/// The service that a class of the demo's load belongs to.
std::string ServiceOfClass(const std::string& load_class);

}  // namespace sassafrasbay::demo
