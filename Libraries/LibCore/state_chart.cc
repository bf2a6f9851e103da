#include "LibCore/state_chart.h"

#include <algorithm>
#include <array>
#include <initializer_list>
#include <optional>
#include <vector>

#include "LibCore/toml.h"

namespace sassafrasbay {
namespace {

// Collects all faults of a chart, so that they are reported together.
struct ChartFaults {
  std::vector<std::string> messages_;
};

void AddFault(ChartFaults& faults, const toml::source_region& source, std::string_view message) {
  std::string text = "line " + std::to_string(source.begin.line) + ": ";
  text += message;
  faults.messages_.push_back(std::move(text));
}

bool IsSnakeCase(std::string_view name) {
  const auto allowed = [](char c) { return (c >= 'a' && c <= 'z') || c == '_'; };
  return !name.empty() && std::all_of(name.begin(), name.end(), allowed);
}

void CheckKeys(const toml::table& table, std::initializer_list<std::string_view> known,
               ChartFaults& faults) {
  for (const auto& [key, value] : table) {
    if (std::find(known.begin(), known.end(), key.str()) == known.end()) {
      AddFault(faults, key.source(), "unknown key '" + std::string(key.str()) + "'");
    }
  }
}

std::optional<std::string> ReadName(const toml::table& table, std::string_view key,
                                    ChartFaults& faults) {
  const toml::node* node = table.get(key);
  auto name = node == nullptr ? std::nullopt : node->value_exact<std::string>();
  if (!name.has_value() || !IsSnakeCase(*name)) {
    const toml::source_region& source = node == nullptr ? table.source() : node->source();
    AddFault(faults, source, "'" + std::string(key) + "' must be a name in snake_case");
    return std::nullopt;
  }
  return name;
}

void ReadStates(const toml::table& root, StateChart& chart, ChartFaults& faults) {
  const toml::array* states = root["states"].as_array();
  if (states == nullptr) {
    AddFault(faults, root.source(), "'states' must be an array of names");
    return;
  }
  for (const toml::node& node : *states) {
    const auto name = node.value_exact<std::string>();
    if (!name.has_value() || !IsSnakeCase(*name)) {
      AddFault(faults, node.source(), "a state must be a name in snake_case");
    } else if (!chart.states_.insert(*name).second) {
      AddFault(faults, node.source(), "state '" + *name + "' is declared twice");
    }
  }
}

void CheckDeclared(const StateChart& chart, const std::string& state,
                   const toml::source_region& source, ChartFaults& faults) {
  if (!chart.states_.contains(state)) {
    AddFault(faults, source, "state '" + state + "' is not declared");
  }
}

void ReadTransition(const toml::node& node, StateChart& chart, ChartFaults& faults) {
  const toml::table* table = node.as_table();
  if (table == nullptr) {
    AddFault(faults, node.source(), "a transition must be a table");
    return;
  }
  CheckKeys(*table, {"from", "event", "to"}, faults);
  const auto from = ReadName(*table, "from", faults);
  const auto event = ReadName(*table, "event", faults);
  const auto to = ReadName(*table, "to", faults);
  if (!from.has_value() || !event.has_value() || !to.has_value()) {
    return;
  }
  CheckDeclared(chart, *from, table->source(), faults);
  CheckDeclared(chart, *to, table->source(), faults);
  if (!chart.transitions_.emplace(std::pair(*from, *event), *to).second) {
    AddFault(faults, table->source(),
             "event '" + *event + "' has two transitions from state '" + *from + "'");
  }
}

void ReadTransitions(const toml::table& root, StateChart& chart, ChartFaults& faults) {
  const toml::array* transitions = root["transitions"].as_array();
  if (transitions == nullptr) {
    AddFault(faults, root.source(), "'transitions' must be an array of tables");
    return;
  }
  for (const toml::node& node : *transitions) {
    ReadTransition(node, chart, faults);
  }
}

std::set<std::string, std::less<>> ReachableStates(const StateChart& chart) {
  std::set<std::string, std::less<>> reached = {chart.initial_};
  std::vector<std::string> open = {chart.initial_};
  while (!open.empty()) {
    const std::string state = std::move(open.back());
    open.pop_back();
    for (const auto& [start, target] : chart.transitions_) {
      if (start.first == state && reached.insert(target).second) {
        open.push_back(target);
      }
    }
  }
  return reached;
}

void CheckReachable(const StateChart& chart, const toml::table& root, ChartFaults& faults) {
  const auto reached = ReachableStates(chart);
  for (const std::string& state : chart.states_) {
    if (!reached.contains(state)) {
      AddFault(faults, root.source(), "state '" + state + "' can't be reached");
    }
  }
}

Error ChartError(std::string_view name, const std::vector<std::string>& messages) {
  std::string detail;
  for (const std::string& message : messages) {
    detail += (detail.empty() ? "" : "; ") + message;
  }
  return MakeError(Errc::kMalformed, "parse state chart", name, detail);
}

}  // namespace

Result<StateChart> ParseStateChart(std::string_view name, std::string_view text) {
  const toml::parse_result parsed = toml::parse(text);
  ChartFaults faults;
  if (!parsed) {
    AddFault(faults, parsed.error().source(), parsed.error().description());
    return ChartError(name, faults.messages_);
  }
  const toml::table& root = parsed.table();
  StateChart chart;
  chart.name_ = std::string(name);
  CheckKeys(root, {"initial", "states", "transitions"}, faults);
  ReadStates(root, chart, faults);
  if (auto initial = ReadName(root, "initial", faults)) {
    CheckDeclared(chart, *initial, root.get("initial")->source(), faults);
    chart.initial_ = std::move(*initial);
  }
  ReadTransitions(root, chart, faults);
  if (faults.messages_.empty()) {
    CheckReachable(chart, root, faults);
  }
  if (!faults.messages_.empty()) {
    return ChartError(name, faults.messages_);
  }
  return chart;
}

ChartPosition StartChart(const StateChart& chart) {
  return ChartPosition{.chart_ = &chart, .state_ = chart.initial_};
}

Result<void> Fire(ChartPosition& position, std::string_view event) {
  const auto& transitions = position.chart_->transitions_;
  const auto next = transitions.find(std::pair(position.state_, std::string(event)));
  if (next == transitions.end()) {
    return MakeError(
        Errc::kInvalidArgument, "change state", position.chart_->name_,
        "no transition from state '" + position.state_ + "' by event '" + std::string(event) + "'");
  }
  position.state_ = next->second;
  return boost::outcome_v2::success();
}

}  // namespace sassafrasbay
