#pragma once

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "LibCore/error.h"

namespace sassafrasbay {

/// States and transitions read from a chart file (TOML), compiled into the program and checked at
/// start-up.
struct StateChart {
  std::string name_;
  std::string initial_;
  std::set<std::string, std::less<>> states_;
  std::map<std::pair<std::string, std::string>, std::string> transitions_;  ///< (state, event)
};

/// Errors: kMalformed for unknown keys, undeclared states, states that can't be reached.
Result<StateChart> ParseStateChart(std::string_view name, std::string_view text);

/// Current state of one object in its state chart.
struct ChartPosition {
  const StateChart* chart_ = nullptr;
  std::string state_;
};

ChartPosition StartChart(const StateChart& chart);

/// Executes the transition for an event. Errors: kInvalidArgument, naming state and event, when the
/// chart has no such transition; the state is then unchanged.
Result<void> Fire(ChartPosition& position, std::string_view event);

}  // namespace sassafrasbay
