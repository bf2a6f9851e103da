#include "Soak/target.h"

#include <charconv>
#include <chrono>
#include <nlohmann/json.hpp>

#include "platform/duration_text.h"
#include "platform/wire_names.h"

namespace sassafrasbay::soak {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kKeys = 65536;
constexpr int kSlots = 18;

// Intervals and timeouts as the platform's pages give them.
constexpr milliseconds kHeartbeatInterval{870};
constexpr milliseconds kReleaseHeartbeatInterval{90};
constexpr milliseconds kAnswerTimeout{1000};
constexpr milliseconds kDrainTimeout{2000};
/// A request that reaches a draining target later than this breaks the drain rule. 300 ms allow for
/// the transit time of the request.
constexpr milliseconds kLateArrivalThreshold = kDrainTimeout + milliseconds(300);
constexpr double kSlowClockFactor = 1.02;

constexpr int kOk = 200;

constexpr std::string_view kHealthPath = "/healthz";
constexpr std::string_view kLongPrefix = "/long/";

constexpr int kMinWorkMs = 5;
constexpr int kMaxWorkMs = 80;

std::int64_t UnixMilliseconds() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

HttpResponse NotRun(int status) {
  return {status, {{std::string(platform::kNotExecutedHeader), "1"}}, "not run\n"};
}

/// Encodes runs of adjacent keys with the same non-zero `value` as rows [first, last, value].
template <typename Value>
Json EncodeRanges(std::size_t count, Value value) {
  Json rows = Json::array();
  for (std::size_t first = 0; first < count;) {
    const auto current = value(first);
    std::size_t last = first;
    while (last + 1 < count && value(last + 1) == current) {
      ++last;
    }
    if (current != 0) {
      rows.push_back({first, last, current});
    }
    first = last + 1;
  }
  return rows;
}

}  // namespace

Target::Target(ReactorLoop& loop, Ledger& ledger, std::mt19937_64& random, TargetOptions options)
    : loop_(loop),
      ledger_(ledger),
      random_(random),
      options_(std::move(options)),
      client_(loop, 2),
      keys_(kKeys) {
  ledger_.AddTarget(this);
}

Target::~Target() { Crash(); }

void Target::Start() {
  if (IsUp()) {
    return;
  }
  auto server = HttpServerBuilder(loop_)
                    .Listen(options_.host_, options_.port_)
                    .OnRequest([this](const std::shared_ptr<HttpExchange>& exchange) {
                      HandleRequest(exchange);
                    })
                    .Build();
  if (!server) {
    // The port of the previous incarnation isn't free yet.
    loop_.StartTimer(milliseconds(50), [this] { Start(); });
    return;
  }
  server_ = std::move(server.value());
  ++incarnation_;
  instance_ = "i-" + std::to_string(random_() % 1'000'000'000);
  born_ms_ = std::max(UnixMilliseconds(), born_ms_ + 1);
  sequence_ = 0;
  running_count_ = 0;
  runs_ = 0;
  draining_ = false;
  has_left_ = false;
  drain_acknowledged_ = {};
  keys_.assign(kKeys, Key{});
  reported_freed_.clear();
  cold_until_ = BootClock::now() + cold_start_;
  reported_cold_at_ = {};
  cold_arrivals_.clear();
  SendHeartbeat();
}

void Target::Crash() {
  ++incarnation_;
  loop_.CancelTimer(heartbeat_timer_);
  heartbeat_timer_ = 0;
  server_.reset();
  keys_.assign(kKeys, Key{});
}

void Target::Drain() {
  draining_ = true;
  ScheduleHeartbeat(milliseconds(1));
}

bool Target::Holds(int key) const {
  return IsUp() && keys_[static_cast<std::size_t>(key)].held_token_ != 0 &&
         BootClock::now() < held_until_;
}

void Target::HandleRequest(const std::shared_ptr<HttpExchange>& exchange) {
  const HttpRequest& request = exchange->Request();
  const std::string id(FindHeader(request.headers_, platform::kRequestIdHeader));
  const std::string_view key_text = FindHeader(request.headers_, platform::kShardKeyHeader);
  int key = -1;
  std::from_chars(key_text.data(), key_text.data() + key_text.size(), key);
  const std::string_view expected = FindHeader(request.headers_, platform::kExpectedInstanceHeader);
  ExpireGrants();
  if (request.path_ == kHealthPath) {
    exchange->Respond({kOk, {{std::string(platform::kInstanceHeader), instance_}}, "ok\n"});
    return;
  }
  if (expected != instance_ || (options_.sharded_ && (key < 0 || !Holds(key)))) {
    exchange->Respond(NotRun(421));
    return;
  }
  CountArrival();
  if (running_count_ >= kSlots) {
    exchange->Respond(NotRun(503));
    return;
  }
  if (drain_acknowledged_ != BootTime{} &&
      BootClock::now() - drain_acknowledged_ > kLateArrivalThreshold) {
    ledger_.OnLateArrival(id, *this);
  }
  Run(exchange, id, options_.sharded_ ? key : -1);
}

milliseconds Target::ColdLeft() const {
  return std::chrono::ceil<milliseconds>(
      std::max(cold_until_ - BootClock::now(), BootTime::duration(0)));
}

// Counts from the first heartbeat that says it is cold, before which the node can't know.
void Target::CountArrival() {
  constexpr milliseconds kSecond{1000};
  const BootTime now = BootClock::now();
  if (!IsCold()) {
    reported_cold_at_ = {};
  }
  if (reported_cold_at_ == BootTime{}) {
    return;
  }
  cold_arrivals_.push_back(now);
  while (now - cold_arrivals_.front() >= kSecond) {
    cold_arrivals_.pop_front();
  }
  max_cold_arrivals_ = std::max(max_cold_arrivals_, cold_arrivals_.size());
}

void Target::Run(const std::shared_ptr<HttpExchange>& exchange, const std::string& id, int key) {
  const HttpRequest& request = exchange->Request();
  ledger_.OnRun(id, request.path_, request.body_, key, *this);
  ++running_count_;
  ++runs_;
  std::uint64_t token = 0;
  if (key >= 0) {
    Key& state = keys_[static_cast<std::size_t>(key)];
    ++state.running_requests_;
    state.last_run_start_ = BootClock::now();
    token = state.held_token_;
  }
  const bool is_long = request.path_.starts_with(kLongPrefix);
  const milliseconds short_work(
      std::uniform_int_distribution<int>(kMinWorkMs, kMaxWorkMs)(random_));
  loop_.StartTimer(
      (is_long ? long_work_ : short_work) * (IsCold() ? 2 : 1),
      [this, exchange, id, key, token, is_long, incarnation = incarnation_] {
        if (incarnation != incarnation_) {
          return;
        }
        --running_count_;
        const bool grant_ended =
            key >= 0 && (BootClock::now() > held_until_ ||
                         std::max(keys_[static_cast<std::size_t>(key)].held_token_,
                                  keys_[static_cast<std::size_t>(key)].releasing_token_) != token);
        if (key >= 0) {
          EndRequest(key);
        }
        HttpResponse answer{
            grant_ended ? 500 : 200,
            {{std::string(platform::kRequestIdHeader), id},
             {std::string(kStampHeader), StampValue(id)}},
            grant_ended ? "outlasted its grant\n"
                        : AnswerBody(is_long ? RequestKind::kLong : RequestKind::kReport, id)};
        exchange->Respond(std::move(answer));
      });
}

void Target::EndRequest(int key) {
  Key& state = keys_[static_cast<std::size_t>(key)];
  --state.running_requests_;
  if (state.running_requests_ == 0 && state.releasing_token_ != 0) {
    state.releasing_token_ = 0;
    state.freed_ = true;
  }
}

// The keys of an expired grant are neither held nor reported as freed.
void Target::ExpireGrants() {
  if (BootClock::now() < held_until_) {
    return;
  }
  for (Key& key : keys_) {
    key.held_token_ = 0;
    key.releasing_token_ = 0;
  }
}

void Target::ScheduleHeartbeat(milliseconds delay) {
  if (has_left_) {
    return;
  }
  loop_.CancelTimer(heartbeat_timer_);
  heartbeat_timer_ = loop_.StartTimer(delay, [this, incarnation = incarnation_] {
    heartbeat_timer_ = 0;
    if (incarnation == incarnation_ && IsUp()) {
      SendHeartbeat();
    }
  });
}

std::string Target::HeartbeatBody() const {
  Json body = {{"addr", options_.host_ + ":" + std::to_string(options_.announced_port_)},
               {"born", born_ms_},
               {"info",
                {{"service", options_.service_},
                 {"version", "v1"},
                 {"zone", options_.data_centre_},
                 {"capacity", kSlots}}},
               {"status",
                {{"state", draining_ ? "draining" : "ready"},
                 {"sequence", sequence_},
                 {"cold-left", std::to_string(ColdLeft().count()) + "ms"}}}};
  if (options_.sharded_) {
    body["holds"] = EncodeRanges(kKeys, [this](std::size_t key) {
      return std::max(keys_[key].held_token_, keys_[key].releasing_token_);
    });
    Json freed = EncodeRanges(kKeys, [this](std::size_t key) { return keys_[key].freed_ ? 1 : 0; });
    for (Json& row : freed) {
      row[2] = "5c0e7a21d94b36f8";
    }
    body["freed"] = std::move(freed);
  }
  return body.dump();
}

HttpCall Target::NodeCall(std::string_view suffix, std::string body) const {
  HttpCall call;
  call.base_url_ = options_.node_control_url_;
  call.request_ = {"POST",
                   std::string(platform::kInstancesPath) + instance_ + std::string(suffix),
                   {{"Content-Type", "application/json"}},
                   std::move(body)};
  call.timeout_ = kAnswerTimeout;
  return call;
}

HttpCall Target::HeartbeatCall() const {
  return NodeCall(platform::kHeartbeatSuffix, HeartbeatBody());
}

void Target::SendHeartbeat() {
  ExpireGrants();
  ++sequence_;
  reported_freed_.clear();
  for (std::size_t key = 0; key < kKeys; ++key) {
    if (keys_[key].freed_) {
      reported_freed_.push_back(key);
    }
  }
  const BootTime sent = BootClock::now();
  if (IsCold() && reported_cold_at_ == BootTime{}) {
    reported_cold_at_ = sent;
  }
  client_.Start(HeartbeatCall(),
                [this, sent, incarnation = incarnation_](const HttpResult& result) {
                  if (incarnation == incarnation_) {
                    OnHeartbeatAnswer(result, sent);
                  }
                });
}

void Target::OnHeartbeatAnswer(const HttpResult& result, BootTime sent) {
  const bool acknowledged = result.response_ && result.response_.value().status_ == kOk;
  if (acknowledged) {
    for (const std::size_t key : reported_freed_) {
      keys_[key].freed_ = false;
    }
    ApplyGrants(result.response_.value().body_, sent);
    if (draining_ && drain_acknowledged_ == BootTime{}) {
      drain_acknowledged_ = BootClock::now();
      loop_.StartTimer(kDrainTimeout + milliseconds(500), [this, incarnation = incarnation_] {
        if (incarnation == incarnation_) {
          Leave();
        }
      });
    }
  }
  bool releasing = false;
  for (const Key& key : keys_) {
    releasing = releasing || key.freed_ || key.releasing_token_ != 0;
  }
  ScheduleHeartbeat(releasing ? kReleaseHeartbeatInterval : kHeartbeatInterval);
}

void Target::ApplyGrants(const std::string& body, BootTime sent) {
  ExpireGrants();
  const Json answer = Json::parse(body, nullptr, false);
  if (!answer.is_object() || !answer.contains("holds")) {
    return;
  }
  const bool recently_interrupted = options_.node_recently_interrupted_();
  const auto hold_time = platform::ParseDuration(answer["hold_time"].get<std::string>());
  std::vector<std::uint64_t> granted(kKeys);
  for (const Json& row : answer["holds"]) {
    const auto first = row.at(0).get<std::size_t>();
    const auto last = row.at(1).get<std::size_t>();
    const auto token = row.at(2).get<std::uint64_t>();
    bool refused = false;
    for (std::size_t key = first; key <= last; ++key) {
      refused = refused || keys_[key].max_token_ > token;
    }
    for (std::size_t key = first; key <= last && !refused; ++key) {
      granted[key] = token;
    }
  }
  const BootTime now = BootClock::now();
  for (std::size_t index = 0; index < kKeys; ++index) {
    Key& key = keys_[index];
    if (granted[index] == 0 && key.held_token_ != 0) {
      key.releasing_token_ = key.running_requests_ > 0 ? key.held_token_ : 0;
      key.freed_ = key.running_requests_ == 0;
      key.held_token_ = 0;
    } else if (granted[index] != 0 && granted[index] != key.held_token_) {
      ledger_.OnKeyAcquired(static_cast<int>(index), granted[index], *this, recently_interrupted);
      key.held_token_ = key.max_token_ = granted[index];
      key.releasing_token_ = 0;
      key.freed_ = false;
      key.held_since_ = now;
    }
  }
  const auto hold_duration = std::chrono::duration_cast<BootTime::duration>(
      kSlowClockFactor *
      std::chrono::duration<double, std::milli>(hold_time.value_or(milliseconds(0))));
  held_until_ = sent + hold_duration;
}

HttpCall Target::LeaveCall() const {
  return NodeCall(platform::kLeaveSuffix, Json{{"born", born_ms_}}.dump());
}

void Target::Leave() {
  client_.Start(LeaveCall(), [this, incarnation = incarnation_](const HttpResult&) {
    if (incarnation == incarnation_) {
      Crash();
    }
  });
}

void Target::LeaveFirst() {
  has_left_ = true;
  loop_.CancelTimer(heartbeat_timer_);
  heartbeat_timer_ = 0;
  client_.Start(LeaveCall(), [this, incarnation = incarnation_](const HttpResult& result) {
    if (incarnation != incarnation_) {
      return;
    }
    if (result.response_ && result.response_.value().status_ == kOk) {
      drain_acknowledged_ = BootClock::now();
      return;
    }
    heartbeat_timer_ = loop_.StartTimer(kHeartbeatInterval, [this] { LeaveFirst(); });
  });
}

}  // namespace sassafrasbay::soak
