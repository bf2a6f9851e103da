#include "harness/load.h"

#include <algorithm>
#include <cstdio>
#include <random>

namespace sassafrasbay::harness {
namespace {

using nlohmann::json;

constexpr milliseconds kSampleInterval{20};
constexpr milliseconds kSuspendPollInterval{1};
constexpr int kRequestsPerBindingRequest = 4;

// Exceeds the deadlines of the classes, so that a running node always answers before the timeout.
constexpr milliseconds kClientTimeout{3000};

std::string_view Header(const HttpResponse& response, std::string_view name) {
  return FindHeader(response.headers_, name);
}

bool BodyMatches(const HttpResponse& response, const std::string& target, const std::string& id,
                 bool binding) {
  const json body = json::parse(response.body_, nullptr, false);
  return body.is_object() && body.value("target", "") == target &&
         (!binding || body.value("idempotency_key", "") == id);
}

void Append(Violations& all, const Violations& some) {
  all.insert(all.end(), some.begin(), some.end());
}

}  // namespace

std::int64_t NowMs() { return ToBootMilliseconds(BootClock::now()); }

std::string NewIdempotencyKey() {
  thread_local std::mt19937_64 random(std::random_device{}());
  const auto time_ms = static_cast<std::uint64_t>(WallNow().time_since_epoch().count());
  const std::uint64_t low = random();
  char text[37];
  std::snprintf(text, sizeof(text), "%08x-%04x-7%03x-a%03x-%012llx",
                static_cast<unsigned>(time_ms >> 16U), static_cast<unsigned>(time_ms & 0xffffU),
                static_cast<unsigned>(random() & 0xfffU), static_cast<unsigned>(low >> 52U),
                static_cast<unsigned long long>(low & 0xffffffffffffU));
  return text;
}

LoadAnswer SendLoadRequest(std::uint16_t port, std::string_view method, const std::string& key,
                           milliseconds timeout, std::string_view stand_in_header) {
  static std::atomic<std::uint64_t> next = 0;
  LoadAnswer answer;
  AnswerRecord& record = answer.record_;
  record.id_ = NewIdempotencyKey();
  record.key_ = key;
  record.binding_ = method == "PUT";
  // The number makes every request different. Equal requests would share a fingerprint and become
  // crash suspects together.
  HttpRequest request{
      std::string(method), "/bench/" + key + "?n=" + std::to_string(next++), {}, {}};
  if (record.binding_) {
    request.headers_.emplace_back("Idempotency-Key", record.id_);
  }
  if (!stand_in_header.empty()) {
    request.headers_.emplace_back("Stand-In", stand_in_header);
  }
  answer.sent_ms_ = NowMs();
  const auto response = Call(port, request, timeout);
  answer.answered_ms_ = NowMs();
  answer.connected_ = response || response.error().code_ != Errc::kUnavailable;
  record.outcome_ = response ? Header(response.value(), "Sassafrasbay-Outcome") : "lost";
  record.status_ = response ? response.value().status_ : 0;
  record.not_run_only_ = record.outcome_ == "not-run";
  record.body_ok_ =
      response && BodyMatches(response.value(), request.path_, record.id_, record.binding_);
  answer.succeeded_ = record.outcome_ == "answered" && record.status_ == 200 && record.body_ok_;
  return answer;
}

SteadyLoad::SteadyLoad(Fleet& fleet, std::span<const std::string> keys) {
  const auto nodes = static_cast<std::int64_t>(fleet.Size());
  for (const std::string& key : keys) {
    for (std::size_t node = 0; node < fleet.Size(); ++node) {
      const milliseconds phase = kSampleInterval * static_cast<std::int64_t>(node);
      threads_.emplace_back(
          [this, node, port = fleet.Node(node).callers_port_, key, phase,
           period = kSampleInterval * nodes] { Run(node, port, key, phase, period); });
    }
  }
}

SteadyLoad::~SteadyLoad() { Stop(); }

void SteadyLoad::Run(std::size_t node, std::uint16_t port, const std::string& key,
                     milliseconds phase, milliseconds period) {
  BootTime next = BootClock::now() + phase;
  for (int number = 0; !stopping_; ++number) {
    std::this_thread::sleep_for(std::max(next - BootClock::now(), BootClock::duration(0)));
    next = std::max(next + period, BootClock::now());
    ++in_flight_;
    while (suspended_ && !stopping_) {
      --in_flight_;
      std::this_thread::sleep_for(kSuspendPollInterval);
      ++in_flight_;
    }
    const bool binding = number % kRequestsPerBindingRequest == kRequestsPerBindingRequest - 1;
    LoadAnswer answer = SendLoadRequest(port, binding ? "PUT" : "GET", key, kClientTimeout);
    --in_flight_;
    answer.node_ = node;
    const std::lock_guard lock(mutex_);
    answers_.push_back(std::move(answer));
  }
}

// A thread increments `in_flight_` before it checks `suspended_`, so no request can start unnoticed
// after the loop below has seen zero.
void SteadyLoad::Suspend() {
  suspended_ = true;
  while (in_flight_ > 0) {
    std::this_thread::sleep_for(kSuspendPollInterval);
  }
}

void SteadyLoad::Stop() {
  stopping_ = true;
  threads_.clear();
}

std::vector<LoadAnswer> SteadyLoad::Answers() const {
  const std::lock_guard lock(mutex_);
  return answers_;
}

std::int64_t MaxGapMs(std::span<const LoadAnswer> answers, std::string_view key,
                      std::int64_t from_ms, std::int64_t to_ms) {
  std::vector<std::int64_t> times = {from_ms, to_ms};
  for (const LoadAnswer& answer : answers) {
    if (answer.succeeded_ && answer.record_.key_ == key && answer.answered_ms_ > from_ms &&
        answer.answered_ms_ < to_ms) {
      times.push_back(answer.answered_ms_);
    }
  }
  std::ranges::sort(times);
  std::int64_t max_gap_ms = 0;
  for (std::size_t i = 1; i < times.size(); ++i) {
    max_gap_ms = std::max(max_gap_ms, times[i] - times[i - 1]);
  }
  return max_gap_ms;
}

Violations CheckHistory(std::span<const RunRecord> runs, std::span<const LoadAnswer> answers) {
  std::vector<AnswerRecord> records;
  Violations violations;
  for (const LoadAnswer& answer : answers) {
    records.push_back(answer.record_);
    if (answer.record_.outcome_ == "answered" && answer.record_.status_ == 200 &&
        !answer.record_.body_ok_) {
      violations.push_back(answer.record_.id_ + " got the answer to another request");
    }
  }
  Append(violations, CheckOwnersExclusive(runs));
  Append(violations, CheckTokensNeverDecrease(runs));
  Append(violations, CheckRunsOnce(runs));
  Append(violations, CheckNotRun(runs, records));
  Append(violations, CheckAnsweredRan(runs, records));
  return violations;
}

}  // namespace sassafrasbay::harness
