#include "harness/attempt_history.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <cinttypes>
#include <cstdio>
#include <map>
#include <random>
#include <set>

namespace sassafrasbay::harness {
namespace {

// Exceeds every deadline of the service, so that a call times out only when the response is lost.
constexpr milliseconds kCallTimeout{20'000};
constexpr std::size_t kGrantorCount = 2;
constexpr std::size_t kMaxViolations = 20;

// Disables moves by the planner: tests that look up the owner of a key need it to stay the owner.
constexpr const char* kSettings = "[placement]\nmoves_per_minute = 0\n";

constexpr const char* kRouting = R"([service.bench]
shards = 12
key = { from = "path", segment = 2 }
[[service.bench.class]]
name = "brief"
method = "GET"
path_prefix = "/bench/brief/"
kind = "idempotent"
worth = 10
deadline_ms = 1000
[[service.bench.class]]
name = "brief-put"
method = "PUT"
path_prefix = "/bench/brief/"
kind = "idempotent"
worth = 10
deadline_ms = 1000
[[service.bench.class]]
name = "read"
method = "GET"
path_prefix = "/bench/lots/"
kind = "idempotent"
worth = 20
deadline_ms = 6000
[[service.bench.class]]
name = "put"
method = "PUT"
path_prefix = "/bench/lots/"
kind = "idempotent"
worth = 20
deadline_ms = 6000
[[service.bench.class]]
name = "book"
method = "POST"
path_prefix = "/bench/lots/"
kind = "binding"
worth = 90
deadline_ms = 6000
)";

std::string PathOf(const CallerRequest& request) {
  return std::string(request.path_suffix_ == "brief" ? "/bench/brief/" : "/bench/lots/") +
         request.key_ + "/" + request.path_suffix_;
}

bool IsOwnBody(const CallerRequest& request, const std::string& body) {
  const nlohmann::json value = nlohmann::json::parse(body, nullptr, false);
  return value.is_object() && value.value("target", "") == PathOf(request) &&
         value.value("idempotency_key", "") == request.id_ &&
         value.value("echo", "") == request.body_;
}

bool HasSessions(Fleet& fleet, std::size_t node, std::size_t count) {
  const nlohmann::json status = GetJson(fleet.Node(node).callers_port_, "/-/status");
  if (!status.is_object() || !status.contains("sessions") || status["sessions"].size() != count) {
    return false;
  }
  const std::size_t grantors = std::min(kGrantorCount, count - 1);
  return std::ranges::all_of(status["sessions"], [grantors](const nlohmann::json& session) {
    return session["grantors"].size() >= grantors;
  });
}

bool StartAndPublish(Fleet& fleet) {
  for (std::size_t node = 0; node < fleet.Size(); ++node) {
    if (!WaitForSessions(fleet, node, fleet.Size())) {
      std::fprintf(
          stderr, "timed out waiting for node %zu to see all sessions with their grantors\n", node);
      return false;
    }
  }
  // Published after all nodes have joined, so that the first assignment spreads the units over
  // them.
  if (!fleet.Publish({{"bench.routing.toml", kRouting}})) {
    std::fprintf(stderr, "publishing bench.routing.toml failed\n");
    return false;
  }
  for (std::size_t node = 0; node < fleet.Size(); ++node) {
    if (!WaitUntilServing(fleet, node)) {
      std::fprintf(stderr, "timed out waiting for node %zu to answer requests\n", node);
      return false;
    }
  }
  return true;
}

}  // namespace

bool IsAcknowledged(const Attempt& attempt) {
  return attempt.outcome_ == "answered" && attempt.status_ == 200 && attempt.body_matches_;
}

std::string Describe(const Attempt& attempt) {
  return attempt.request_.method_ + " " + PathOf(attempt.request_) + " id " + attempt.request_.id_ +
         ": " + attempt.outcome_ + " " + std::to_string(attempt.status_) + " " + attempt.reason_ +
         " " + attempt.body_.substr(0, 200);
}

std::string NewUuid(milliseconds lead) {
  static std::atomic<std::uint64_t> number{std::random_device{}()};
  const auto time = static_cast<std::uint64_t>((WallNow() + lead).time_since_epoch().count());
  std::array<char, 64> text{};
  std::snprintf(text.data(), text.size(), "%08" PRIx64 "-%04" PRIx64 "-7000-8000-%012" PRIx64,
                time >> 16U, time & 0xFFFFU, ++number & 0xFFFFFFFFFFFFU);
  return text.data();
}

Attempt Send(Fleet& fleet, std::size_t node, const CallerRequest& request) {
  Attempt attempt{request, "lost", 0, {}, {}, false};
  HttpRequest call{request.method_, PathOf(request), {}, request.body_};
  if (!request.id_.empty()) {
    call.headers_.emplace_back("Idempotency-Key", request.id_);
  }
  if (!request.stand_in_header_.empty()) {
    call.headers_.emplace_back("Stand-In", request.stand_in_header_);
  }
  const auto response = Call(fleet.Node(node).callers_port_, call, kCallTimeout);
  if (!response) {
    attempt.reason_ = ToString(response.error());
    return attempt;
  }
  const HttpResponse& answer = response.value();
  const std::string_view outcome = FindHeader(answer.headers_, "Sassafrasbay-Outcome");
  attempt.outcome_ = outcome.empty() ? "lost" : std::string(outcome);
  attempt.status_ = answer.status_;
  attempt.reason_ = FindHeader(answer.headers_, "Sassafrasbay-Reason");
  attempt.body_ = answer.body_;
  attempt.body_matches_ = IsOwnBody(request, answer.body_);
  return attempt;
}

std::unique_ptr<Fleet> MakeBenchFleet(const BenchFleetOptions& options) {
  FleetBuilder builder;
  for (std::size_t i = 0; i < options.data_centres_ * options.nodes_per_data_centre_; ++i) {
    NodeOptions node;
    node.data_centre_ = "dc" + std::to_string(i % options.data_centres_);
    node.extra_settings_ = kSettings;
    builder.AddNode(std::move(node));
  }
  if (options.proxies_) {
    builder.UseProxies();
  }
  auto fleet = builder.Build();
  if (!fleet) {
    std::fprintf(stderr, "%s\n", ToString(fleet.error()).c_str());
    return nullptr;
  }
  return StartAndPublish(*fleet.value()) ? std::move(fleet).value() : nullptr;
}

bool WaitUntilServing(Fleet& fleet, std::size_t node, std::size_t keys) {
  for (std::size_t key = 0; key < keys; ++key) {
    const CallerRequest request{.method_ = "GET", .key_ = "probe" + std::to_string(key)};
    if (!WaitUntil([&] { return IsAcknowledged(Send(fleet, node, request)); })) {
      return false;
    }
  }
  return true;
}

bool WaitForSessions(Fleet& fleet, std::size_t node, std::size_t count) {
  return WaitUntil([&] { return HasSessions(fleet, node, count); });
}

bool WaitUntilSettled(Fleet& fleet) {
  return WaitUntil([&fleet] {
    std::set<std::string> own;
    std::set<std::string> seen;
    for (std::size_t node = 0; node < fleet.Size(); ++node) {
      const nlohmann::json status = GetJson(fleet.Node(node).callers_port_, "/-/status");
      if (!HasSessions(fleet, node, fleet.Size()) || !status.is_object()) {
        return false;
      }
      own.insert(status.value("session", ""));
      for (const nlohmann::json& session : status["sessions"]) {
        seen.insert(session.value("session", ""));
      }
    }
    return own.size() == fleet.Size() && own == seen;
  });
}

std::optional<std::size_t> OwnerOf(Fleet& fleet, std::string_view key, std::size_t asked) {
  const nlohmann::json body =
      GetJson(fleet.Node(asked).callers_port_, "/-/explain?service=bench&key=" + std::string(key));
  if (!body.is_object()) {
    return std::nullopt;
  }
  for (std::size_t node = 0; node < fleet.Size(); ++node) {
    if (body.value("owner", "") == fleet.Node(node).options_.name_) {
      return node;
    }
  }
  return std::nullopt;
}

std::string KeyOwnedBy(Fleet& fleet, std::size_t owner) {
  static int number = 0;
  for (int tries = 0; tries < 500; ++tries) {
    std::string key = "key" + std::to_string(++number);
    if (OwnerOf(fleet, key, owner) == owner) {
      return key;
    }
  }
  return {};
}

std::size_t CountRuns(const Fleet& fleet, std::string_view id) {
  return static_cast<std::size_t>(
      std::ranges::count(fleet.Runs(), id, &RunRecord::idempotency_key_));
}

Attempt AttemptHistory::Send(std::size_t node, const CallerRequest& request) {
  Attempt attempt = harness::Send(fleet_, node, request);
  const std::lock_guard lock(mutex_);
  attempts_.push_back(attempt);
  return attempt;
}

std::vector<Attempt> AttemptHistory::Attempts() const {
  const std::lock_guard lock(mutex_);
  return attempts_;
}

Violations AttemptHistory::Check() const {
  const std::vector<RunRecord> runs = fleet_.Runs();
  std::vector<AnswerRecord> answers;
  std::map<std::string, bool> not_run_only;
  std::map<std::string, std::string> acknowledgements;
  Violations violations;
  for (const Attempt& attempt : Attempts()) {
    const std::string& id = attempt.request_.id_;
    if (attempt.outcome_ == "answered" && !attempt.body_matches_) {
      violations.push_back("the body is incomplete or belongs to another request: " +
                           Describe(attempt));
    }
    if (id.empty()) {
      continue;
    }
    const auto [known, first] = not_run_only.emplace(id, true);
    known->second = known->second && attempt.outcome_ == "not-run";
    if (IsAcknowledged(attempt) &&
        acknowledgements.emplace(id, attempt.body_).first->second != attempt.body_) {
      violations.push_back("the body differs from that of an earlier acknowledgement: " +
                           Describe(attempt));
    }
    answers.push_back({.id_ = id,
                       .key_ = attempt.request_.key_,
                       .binding_ = attempt.request_.method_ == "POST",
                       .outcome_ = attempt.outcome_,
                       .status_ = attempt.status_,
                       .body_ok_ = attempt.body_matches_});
  }
  for (AnswerRecord& answer : answers) {
    answer.not_run_only_ = not_run_only[answer.id_];
  }
  for (const Violations& found :
       {CheckRunsOnce(runs), CheckNotRun(runs, answers), CheckAnsweredRan(runs, answers),
        CheckOwnersExclusive(runs), CheckTokensNeverDecrease(runs)}) {
    violations.insert(violations.end(), found.begin(), found.end());
  }
  return violations;
}

Violations AttemptHistory::CheckStillAcknowledged(const std::vector<std::size_t>& nodes) {
  std::map<std::string, Attempt> acknowledged;
  for (const Attempt& attempt : Attempts()) {
    if (attempt.request_.method_ == "POST" && IsAcknowledged(attempt)) {
      acknowledged.emplace(attempt.request_.id_, attempt);
    }
  }
  Violations violations;
  std::size_t turn = 0;
  for (const auto& [id, first] : acknowledged) {
    const Attempt again = Send(nodes[turn++ % nodes.size()], first.request_);
    const bool kept = IsAcknowledged(again) && again.body_ == first.body_;
    if (!kept && violations.size() < kMaxViolations) {
      violations.push_back("first acknowledged with " + first.body_ + ", on repetition " +
                           Describe(again));
    }
  }
  return violations;
}

}  // namespace sassafrasbay::harness
