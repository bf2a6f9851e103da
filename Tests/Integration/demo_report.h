#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <span>
#include <string>

#include "harness/history.h"

namespace sassafrasbay::demo {

/// The data that the demo records as input of its report.
struct Recording {
  std::vector<harness::RunRecord> runs_;
  std::vector<harness::AnswerRecord> answers_;
  std::map<int, std::string> node_of_port_;  ///< Node name by the port of its upstream.
  nlohmann::json status_before_;             ///< GET /-/status before the loss.
  nlohmann::json status_after_;              ///< GET /-/status after the traffic.
  std::string killed_node_;
  std::string killed_service_;
  std::int64_t killed_at_ms_ = 0;  ///< CLOCK_BOOTTIME.
  std::set<std::string> lost_keys_;
  double ownership_moves_ = 0;  ///< Moves after the first assignment of the units.
  double idle_memory_mb_ = 0;   ///< Maximum over all nodes, before the traffic.
};

/// Prints the tables, measures and checks. Returns true when every check passed, except for the
/// memory check, which is only printed.
bool PrintReport(const Recording& recording);

/// The service to which a class of the demo's load belongs.
std::string ServiceOfClass(const std::string& load_class);

}  // namespace sassafrasbay::demo
