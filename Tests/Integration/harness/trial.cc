#include "harness/trial.h"

#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <map>
#include <thread>

namespace sassafrasbay::harness {
namespace {

using nlohmann::json;

constexpr std::string_view kPrefix = "/bench/";
constexpr std::size_t kKeyCount = 6;
constexpr int kCandidateKeys = 200;
constexpr milliseconds kWarmUpDuration{1000};

constexpr const char* kRouting = R"(
[service.bench]
shards = 24
[[service.bench.class]]
name = "read"
method = "GET"
path_prefix = "/bench/"
kind = "idempotent"
[[service.bench.class]]
name = "write"
method = "PUT"
path_prefix = "/bench/"
kind = "binding"
)";

json OwnSession(Fleet& fleet, std::size_t node) {
  const json status = GetJson(fleet.Node(node).callers_port_, "/-/status");
  if (!status.is_object() || !status.contains("sessions")) {
    return {};
  }
  for (const json& session : status["sessions"]) {
    if (session["session"] == status.value("session", "")) {
      return session;
    }
  }
  return {};
}

bool AllJoined(Fleet& fleet, bool with_units) {
  for (std::size_t node = 0; node < fleet.Size(); ++node) {
    const json session = OwnSession(fleet, node);
    if (!session.is_object() || session["grantors"].size() != 2 ||
        (with_units && session["units"] == 0)) {
      return false;
    }
  }
  return true;
}

void RequireJoined(Fleet& fleet, bool with_units) {
  const bool joined = WaitUntil([&] { return AllJoined(fleet, with_units); });
  for (std::size_t node = 0; !joined && node < fleet.Size(); ++node) {
    BOOST_TEST_MESSAGE(GetJson(fleet.Node(node).callers_port_, "/-/status").dump());
  }
  BOOST_REQUIRE_MESSAGE(
      joined,
      "timed out waiting for every node to have a session, two grantors and, after "
      "the publication, units");
}

// Sends a request for every candidate key and finds its owner from the records of the upstreams.
// Keeps an equal number of keys for each node.
void ChooseKeys(Trial& trial) {
  Fleet& fleet = *trial.fleet_;
  trial.keys_.resize(fleet.Size());
  std::map<std::string, int> owners;
  for (int i = 0; i < kCandidateKeys; ++i) {
    const std::string key = "key" + std::to_string(i);
    BOOST_REQUIRE(WaitUntil([&] {
      return SendLoadRequest(fleet.Node(0).callers_port_, "GET", key, std::chrono::seconds(5))
          .succeeded_;
    }));
  }
  for (const RunRecord& run : fleet.Runs()) {
    owners[run.path_.substr(kPrefix.size())] = run.port_;
  }
  for (const auto& [key, port] : owners) {
    for (std::size_t node = 0; node < fleet.Size(); ++node) {
      if (fleet.Node(node).upstream_port_ == port &&
          trial.keys_[node].size() < kKeyCount / fleet.Size()) {
        trial.keys_[node].push_back(key);
      }
    }
  }
  for (const auto& keys : trial.keys_) {
    BOOST_REQUIRE(keys.size() == kKeyCount / fleet.Size());
  }
}

std::filesystem::path RecordsOf(Trial& trial, std::size_t node) {
  return trial.fleet_->Directory() / (trial.fleet_->Node(node).options_.name_ + ".records");
}

}  // namespace

Trial StartTrial(const TrialOptions& options) {
  Trial trial;
  FleetBuilder builder;
  for (std::size_t node = 0; node < options.nodes_; ++node) {
    NodeOptions node_options;
    node_options.data_centre_ = "dc" + std::to_string(node % 3);
    node_options.checks_grants_ = options.checks_grants_;
    // Disables moves by the planner, so that only the injected fault moves units.
    node_options.extra_settings_ = "[placement]\nmoves_per_minute = 0\n";
    builder.AddNode(node_options);
  }
  if (options.proxies_) {
    builder.UseProxies();
  }
  auto fleet = builder.Build();
  BOOST_REQUIRE_MESSAGE(fleet, (fleet ? "" : ToString(fleet.error())));
  trial.fleet_ = std::move(fleet).value();
  // The first assignment spreads the units over the sessions that have joined by the publication.
  RequireJoined(*trial.fleet_, false);
  BOOST_REQUIRE(trial.fleet_->Publish({{"bench.routing.toml", kRouting}}));
  RequireJoined(*trial.fleet_, true);
  ChooseKeys(trial);
  trial.load_ = std::make_unique<SteadyLoad>(*trial.fleet_, KeysNotOf(trial, {}));
  std::this_thread::sleep_for(kWarmUpDuration);
  return trial;
}

std::vector<std::string> KeysOf(const Trial& trial, std::span<const std::size_t> nodes) {
  std::vector<std::string> keys;
  for (const std::size_t node : nodes) {
    keys.insert(keys.end(), trial.keys_.at(node).begin(), trial.keys_.at(node).end());
  }
  return keys;
}

std::vector<std::string> KeysNotOf(const Trial& trial, std::span<const std::size_t> nodes) {
  std::vector<std::size_t> others;
  for (std::size_t node = 0; node < trial.keys_.size(); ++node) {
    if (std::ranges::find(nodes, node) == nodes.end()) {
      others.push_back(node);
    }
  }
  return KeysOf(trial, others);
}

std::vector<std::size_t> GrantorsOf(Trial& trial, std::size_t node) {
  std::vector<std::size_t> grantors;
  const json session = OwnSession(*trial.fleet_, node);
  for (const json& grantor : session.at("grantors")) {
    for (std::size_t other = 0; other < trial.fleet_->Size(); ++other) {
      if (trial.fleet_->Node(other).options_.name_ == grantor["node"]) {
        grantors.push_back(other);
      }
    }
  }
  BOOST_REQUIRE(grantors.size() == 2U);
  return grantors;
}

std::vector<LoadAnswer> FinishTrial(Trial& trial, milliseconds delay) {
  std::this_thread::sleep_for(delay);
  trial.load_->Stop();
  std::vector<LoadAnswer> answers = trial.load_->Answers();
  const auto runs = trial.fleet_->Runs();
  BOOST_TEST_MESSAGE(answers.size() << " answers, " << runs.size() << " runs");
  for (const std::string& violation : CheckHistory(runs, answers)) {
    BOOST_ERROR(violation);
  }
  return answers;
}

void CheckServed(std::span<const LoadAnswer> answers, std::span<const std::string> keys,
                 std::int64_t from_ms, std::int64_t limit_ms) {
  std::int64_t last_sent_ms = from_ms;
  for (const LoadAnswer& answer : answers) {
    last_sent_ms = std::max(last_sent_ms, answer.sent_ms_);
  }
  for (const std::string& key : keys) {
    const std::int64_t gap_ms = MaxGapMs(answers, key, from_ms, last_sent_ms);
    BOOST_TEST_MESSAGE(key << ": maximum time without an answer " << gap_ms << " ms");
    BOOST_TEST(gap_ms <= limit_ms, key << " had no successful answer for " << gap_ms << " ms");
  }
}

void CheckOwnersKept(Trial& trial, std::span<const std::size_t> lost, std::int64_t from_ms) {
  for (std::size_t node = 0; node < trial.keys_.size(); ++node) {
    const std::vector<std::string> other_keys = KeysNotOf(trial, std::array{node});
    const std::vector<std::string> lost_keys = KeysOf(trial, lost);
    for (const RunRecord& run : RunsSince(trial, node, from_ms)) {
      const std::string key = run.path_.substr(kPrefix.size());
      const bool moved = std::ranges::find(other_keys, key) != other_keys.end() &&
                         std::ranges::find(lost_keys, key) == lost_keys.end();
      BOOST_TEST(!moved,
                 key << " ran away from its initial owner, at the upstream of node " << node);
    }
  }
}

std::vector<RunRecord> RunsSince(Trial& trial, std::size_t node, std::int64_t from_ms) {
  auto runs = ReadRuns(RecordsOf(trial, node));
  std::erase_if(runs, [from_ms](const RunRecord& run) { return run.start_ms_ < from_ms; });
  return runs;
}

std::size_t CountRefusals(Trial& trial, std::size_t node, std::int64_t from_ms) {
  std::size_t count = 0;
  std::ifstream stream(RecordsOf(trial, node));
  for (std::string line; std::getline(stream, line);) {
    const json record = json::parse(line, nullptr, false);
    count +=
        record.is_object() && record["kind"] == "refusal" && record["time_ms"] >= from_ms ? 1 : 0;
  }
  return count;
}

// A run that started before the pause would continue after it. Grants protect only against runs
// that start after the owner has lost the unit (design page, section 8).
void PauseIdleUpstream(Trial& trial, std::size_t node) {
  trial.load_->Suspend();
  trial.fleet_->Node(node).upstream_->Pause();
  trial.load_->Resume();
}

}  // namespace sassafrasbay::harness
