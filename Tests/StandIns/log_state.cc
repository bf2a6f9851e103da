#include "StandIns/log_state.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "LibCore/clock.h"

namespace sassafrasbay::stand_ins {
namespace {

using nlohmann::json;

std::string ToHex(std::string_view bytes) {
  static constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  text.reserve(bytes.size() * 2);
  for (const char byte : bytes) {
    const auto value = static_cast<unsigned char>(byte);
    text += kDigits[value >> 4U];
    text += kDigits[value & 0xFU];
  }
  return text;
}

void ApplyRetention(LogState& state) {
  const std::uint64_t next = state.entries_.size();
  if (state.faults_.retain_ > 0 && next > state.faults_.retain_) {
    state.first_ = std::max(state.first_, next - state.faults_.retain_);
  }
}

}  // namespace

std::uint64_t AppendRecord(LogState& state, std::string bytes) {
  state.entries_.push_back({std::move(bytes), ToBootMilliseconds(BootClock::now())});
  ApplyRetention(state);
  return state.entries_.size() - 1;
}

HttpResponse ReadRecords(const LogState& state, std::uint64_t from, std::uint64_t max) {
  if (from < state.first_) {
    return {410, {{"Content-Type", "application/json"}}, json{{"first", state.first_}}.dump()};
  }
  if (from > state.entries_.size()) {
    return {400, {}, "offset is beyond the end of the log"};
  }
  const std::uint64_t next = std::min<std::uint64_t>(state.entries_.size(), from + max);
  json records = json::array();
  for (std::uint64_t offset = from; offset < next; ++offset) {
    const std::string& bytes = state.entries_[offset].bytes_;
    records.push_back(
        json::array({offset, json::binary(std::vector<std::uint8_t>(bytes.begin(), bytes.end()))}));
  }
  const json body = {{"first", state.first_}, {"next", next}, {"records", std::move(records)}};
  std::string encoded;
  json::to_cbor(body, encoded);
  return {200, {{"Content-Type", "application/cbor"}}, std::move(encoded)};
}

Result<void> SetLogFaults(LogState& state, std::string_view text) {
  try {
    const json change = json::parse(text);
    LogFaults faults = state.faults_;
    faults.outage_ = change.value("outage", faults.outage_);
    faults.slow_ms_ = change.value("slow_ms", faults.slow_ms_);
    faults.lose_answers_ = change.value("lose_answers", faults.lose_answers_);
    faults.delay_effect_ms_ = change.value("delay_effect_ms", faults.delay_effect_ms_);
    faults.retain_ = change.value("retain", faults.retain_);
    const auto first = change.value("truncate_before", std::uint64_t{0});
    state.faults_ = faults;
    state.first_ = std::clamp<std::uint64_t>(first, state.first_, state.entries_.size());
    ApplyRetention(state);
  } catch (const json::exception& error) {
    return MakeError(Errc::kMalformed, "set faults of the log", "", error.what());
  }
  return boost::outcome_v2::success();
}

std::string DumpRecords(const LogState& state) {
  json list = json::array();
  for (std::size_t offset = 0; offset < state.entries_.size(); ++offset) {
    const LogEntry& entry = state.entries_[offset];
    list.push_back(
        {{"offset", offset}, {"bytes", ToHex(entry.bytes_)}, {"time_ms", entry.time_ms_}});
  }
  return list.dump();
}

}  // namespace sassafrasbay::stand_ins
