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

// Times of the platform's pages.
constexpr milliseconds kBeatInterval{870};
constexpr milliseconds kReleaseBeat{90};
constexpr milliseconds kAnswerLimit{1000};
constexpr milliseconds kDrainLimit{2000};
/// Arrivals at a draining target are late after this; the bound and the way of a request.
constexpr milliseconds kLateAfter = kDrainLimit + milliseconds(300);
constexpr double kClockSlowness = 1.02;

constexpr int kShortestWorkMs = 5;
constexpr int kLongestWorkMs = 80;

std::int64_t UnixMilliseconds() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

HttpResponse NotRun(int status) {
  return {status, {{std::string(platform::kNotExecutedHeader), "1"}}, "not run\n"};
}

/// Rows of neighbouring keys for which `value` is equal and not 0.
template <typename Value>
Json RowsOf(std::size_t count, Value value) {
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
  auto server =
      HttpServerBuilder(loop_)
          .Listen(options_.host_, options_.port_)
          .OnRequest([this](const std::shared_ptr<HttpExchange>& exchange) { Handle(exchange); })
          .Build();
  if (!server) {
    // The port of the former life isn't free yet.
    loop_.StartTimer(milliseconds(50), [this] { Start(); });
    return;
  }
  server_ = std::move(server.value());
  ++life_;
  instance_ = "i-" + std::to_string(random_() % 1'000'000'000);
  born_ms_ = std::max(UnixMilliseconds(), born_ms_ + 1);
  sequence_ = 0;
  running_ = 0;
  draining_ = false;
  drain_acknowledged_ = {};
  keys_.assign(kKeys, Key{});
  freed_sent_.clear();
  Beat();
}

void Target::Crash() {
  ++life_;
  loop_.CancelTimer(beat_timer_);
  beat_timer_ = 0;
  server_.reset();
  keys_.assign(kKeys, Key{});
}

void Target::Drain() {
  draining_ = true;
  BeatAfter(milliseconds(1));
}

bool Target::Holds(int key) const {
  return IsUp() && keys_[static_cast<std::size_t>(key)].held_ != 0 &&
         BootClock::now() < held_until_;
}

void Target::Handle(const std::shared_ptr<HttpExchange>& exchange) {
  const HttpRequest& request = exchange->Request();
  const std::string id(FindHeader(request.headers_, platform::kRequestIdHeader));
  const std::string_view key_text = FindHeader(request.headers_, platform::kShardKeyHeader);
  int key = -1;
  std::from_chars(key_text.data(), key_text.data() + key_text.size(), key);
  const std::string_view expected = FindHeader(request.headers_, platform::kExpectedInstanceHeader);
  Lapse();
  if (expected != instance_ || (options_.sharded_ && (key < 0 || !Holds(key)))) {
    exchange->Respond(NotRun(421));
    return;
  }
  if (running_ >= kSlots) {
    exchange->Respond(NotRun(503));
    return;
  }
  if (drain_acknowledged_ != BootTime{} && BootClock::now() - drain_acknowledged_ > kLateAfter) {
    ledger_.OnLateArrival(id, *this);
  }
  Run(exchange, id, options_.sharded_ ? key : -1);
}

void Target::Run(const std::shared_ptr<HttpExchange>& exchange, const std::string& id, int key) {
  const HttpRequest& request = exchange->Request();
  ledger_.OnRun(id, request.path_, request.body_, key, *this);
  ++running_;
  std::uint64_t token = 0;
  if (key >= 0) {
    Key& state = keys_[static_cast<std::size_t>(key)];
    ++state.working_;
    state.last_run_ = BootClock::now();
    token = state.held_;
  }
  const milliseconds work(
      std::uniform_int_distribution<int>(kShortestWorkMs, kLongestWorkMs)(random_));
  loop_.StartTimer(work, [this, exchange, id, key, token, life = life_] {
    if (life != life_) {
      return;
    }
    --running_;
    const bool outlasted =
        key >= 0 && (BootClock::now() > held_until_ ||
                     std::max(keys_[static_cast<std::size_t>(key)].held_,
                              keys_[static_cast<std::size_t>(key)].leaving_) != token);
    if (key >= 0) {
      EndWork(key);
    }
    HttpResponse answer{
        outlasted ? 500 : 200,
        {{std::string(platform::kRequestIdHeader), id}, {std::string(kStampHeader), StampOf(id)}},
        outlasted ? "outlasted its grant\n" : AnswerTo(id)};
    exchange->Respond(std::move(answer));
  });
}

void Target::EndWork(int key) {
  Key& state = keys_[static_cast<std::size_t>(key)];
  --state.working_;
  if (state.working_ == 0 && state.leaving_ != 0) {
    state.leaving_ = 0;
    state.freed_ = true;
  }
}

// A grant that has ended is neither held nor reported as released.
void Target::Lapse() {
  if (BootClock::now() < held_until_) {
    return;
  }
  for (Key& key : keys_) {
    key.held_ = 0;
    key.leaving_ = 0;
  }
}

void Target::BeatAfter(milliseconds delay) {
  loop_.CancelTimer(beat_timer_);
  beat_timer_ = loop_.StartTimer(delay, [this, life = life_] {
    beat_timer_ = 0;
    if (life == life_ && IsUp()) {
      Beat();
    }
  });
}

std::string Target::BeatBody() const {
  Json body = {{"addr", options_.host_ + ":" + std::to_string(options_.port_)},
               {"born", born_ms_},
               {"info",
                {{"service", options_.service_},
                 {"version", "v1"},
                 {"zone", options_.data_centre_},
                 {"capacity", kSlots}}},
               {"status",
                {{"state", draining_ ? "draining" : "ready"},
                 {"sequence", sequence_},
                 {"cold-left", "0ms"}}}};
  if (options_.sharded_) {
    body["holds"] = RowsOf(
        kKeys, [this](std::size_t key) { return std::max(keys_[key].held_, keys_[key].leaving_); });
    Json freed = RowsOf(kKeys, [this](std::size_t key) { return keys_[key].freed_ ? 1 : 0; });
    for (Json& row : freed) {
      row[2] = "5c0e7a21d94b36f8";
    }
    body["freed"] = std::move(freed);
  }
  return body.dump();
}

void Target::Beat() {
  Lapse();
  ++sequence_;
  freed_sent_.clear();
  for (std::size_t key = 0; key < kKeys; ++key) {
    if (keys_[key].freed_) {
      freed_sent_.push_back(key);
    }
  }
  HttpCall call;
  call.base_url_ = options_.heartbeats_to_;
  call.request_ = {
      "POST",
      std::string(platform::kInstancesPath) + instance_ + std::string(platform::kHeartbeatSuffix),
      {{"Content-Type", "application/json"}},
      BeatBody()};
  call.timeout_ = kAnswerLimit;
  const BootTime sent = BootClock::now();
  client_.Start(std::move(call), [this, sent, life = life_](const HttpResult& result) {
    if (life == life_) {
      OnBeatAnswer(result, sent);
    }
  });
}

void Target::OnBeatAnswer(const HttpResult& result, BootTime sent) {
  const bool acknowledged = result.response_ && result.response_.value().status_ == 200;
  if (acknowledged) {
    for (const std::size_t key : freed_sent_) {
      keys_[key].freed_ = false;
    }
    Take(result.response_.value().body_, sent);
    if (draining_ && drain_acknowledged_ == BootTime{}) {
      drain_acknowledged_ = BootClock::now();
      loop_.StartTimer(kDrainLimit + milliseconds(500), [this, life = life_] {
        if (life == life_) {
          Leave();
        }
      });
    }
  }
  bool releasing = false;
  for (const Key& key : keys_) {
    releasing = releasing || key.freed_ || key.leaving_ != 0;
  }
  BeatAfter(releasing ? kReleaseBeat : kBeatInterval);
}

void Target::Take(const std::string& body, BootTime sent) {
  Lapse();
  const Json answer = Json::parse(body, nullptr, false);
  if (!answer.is_object() || !answer.contains("holds")) {
    return;
  }
  const bool disturbed = options_.node_disturbed_();
  const auto length = platform::ParseDuration(answer["hold_time"].get<std::string>());
  std::vector<std::uint64_t> wanted(kKeys);
  for (const Json& row : answer["holds"]) {
    const auto first = row.at(0).get<std::size_t>();
    const auto last = row.at(1).get<std::size_t>();
    const auto token = row.at(2).get<std::uint64_t>();
    bool refused = false;
    for (std::size_t key = first; key <= last; ++key) {
      refused = refused || keys_[key].highest_ > token;
    }
    for (std::size_t key = first; key <= last && !refused; ++key) {
      wanted[key] = token;
    }
  }
  const BootTime now = BootClock::now();
  for (std::size_t index = 0; index < kKeys; ++index) {
    Key& key = keys_[index];
    if (wanted[index] == 0 && key.held_ != 0) {
      key.leaving_ = key.working_ > 0 ? key.held_ : 0;
      key.freed_ = key.working_ == 0;
      key.held_ = 0;
    } else if (wanted[index] != 0 && wanted[index] != key.held_) {
      ledger_.OnTake(static_cast<int>(index), wanted[index], *this, disturbed);
      key.held_ = key.highest_ = wanted[index];
      key.leaving_ = 0;
      key.freed_ = false;
      key.since_ = now;
    }
  }
  const auto slow = std::chrono::duration_cast<BootTime::duration>(
      kClockSlowness * std::chrono::duration<double, std::milli>(length.value_or(milliseconds(0))));
  held_until_ = sent + slow;
}

void Target::Leave() {
  HttpCall call;
  call.base_url_ = options_.heartbeats_to_;
  call.request_ = {
      "POST",
      std::string(platform::kInstancesPath) + instance_ + std::string(platform::kLeaveSuffix),
      {},
      "{}"};
  call.timeout_ = kAnswerLimit;
  client_.Start(std::move(call), [this, life = life_](const HttpResult&) {
    if (life == life_) {
      Crash();
    }
  });
}

}  // namespace sassafrasbay::soak
