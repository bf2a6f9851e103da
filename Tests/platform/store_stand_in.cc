#include "store_stand_in.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "StandIns/blocking_server.h"
#include "platform/wire_names.h"

namespace sassafrasbay::stand_ins {
namespace {

constexpr milliseconds kPollInterval{5};

void AppendBigEndian(std::string& bytes, std::uint64_t value, int width) {
  for (int shift = (width - 1) * 8; shift >= 0; shift -= 8) {
    bytes += static_cast<char>((value >> static_cast<unsigned>(shift)) & 0xFFU);
  }
}

std::string ToBase64(std::string_view bytes) {
  constexpr std::string_view kAlphabet =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t bits = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      bits = (bits << 8U) | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      text += i + j <= bytes.size() ? kAlphabet[(bits >> (18 - 6 * j)) & 63U] : '=';
    }
  }
  return text;
}

std::uint64_t NumberOf(std::string_view path, std::string_view name) {
  const std::string text(QueryValue(path, name));
  return text.empty() ? 0 : std::stoull(text);
}

HttpResponse Json(int status, const nlohmann::json& body) {
  return {status, {{"Content-Type", "application/json"}}, body.dump()};
}

}  // namespace

StoreStandIn::StoreStandIn(ReactorLoop& loop) : loop_(loop) {
  auto server =
      HttpServerBuilder(loop)
          .OnRequest([this](const std::shared_ptr<HttpExchange>& exchange) { Handle(exchange); })
          .Build();
  server_ = std::move(server.value());
  loop_.StartRepeatingTimer(kPollInterval, [this] { AnswerWaiting(); });
}

void StoreStandIn::Store(Topic& topic, KeyedRecord record, BootTime time) {
  record.offset_ = topic.End();
  topic.appended_.emplace_back(time, record);
  if (record.value_.empty()) {
    topic.newest_.erase(record.key_);
  } else {
    topic.newest_[record.key_] = record;
  }
  topic.records_.push_back(std::move(record));
}

void StoreStandIn::Append(std::string_view topic, std::string_view key, std::string_view value) {
  Store(topics_[std::string(topic)], {0, std::string(key), std::string(value)}, BootClock::now());
}

void StoreStandIn::Restore(BootTime copied_at) {
  ++era_;
  for (auto& [name, topic] : topics_) {
    const std::uint64_t first = topic.first_;
    const auto appended = std::exchange(topic, {}).appended_;
    for (const auto& [appended_at, record] : appended) {
      if (appended_at <= copied_at) {
        Store(topic, record, appended_at);
      }
    }
    const std::uint64_t dropped = std::min<std::uint64_t>(first, topic.records_.size());
    topic.records_.erase(topic.records_.begin(),
                         topic.records_.begin() + static_cast<std::ptrdiff_t>(dropped));
    topic.first_ = dropped;
  }
}

std::map<std::string, std::string> StoreStandIn::Newest(std::string_view topic) const {
  std::map<std::string, std::string> newest;
  if (const auto found = topics_.find(topic); found != topics_.end()) {
    for (const auto& [key, record] : found->second.newest_) {
      newest[key] = record.value_;
    }
  }
  return newest;
}

void StoreStandIn::Respond(const std::shared_ptr<HttpExchange>& exchange,
                           HttpResponse response) const {
  response.headers_.emplace_back(platform::kStoreEraHeader, std::to_string(era_));
  if (delay_.count() == 0) {
    exchange->Respond(std::move(response));
    return;
  }
  loop_.StartTimer(delay_, [exchange, response = std::move(response)]() mutable {
    exchange->Respond(std::move(response));
  });
}

void StoreStandIn::Compact(std::string_view topic) {
  Topic& kept = topics_[std::string(topic)];
  kept.first_ = kept.End();
  kept.records_.clear();
}

void StoreStandIn::Handle(const std::shared_ptr<HttpExchange>& exchange) {
  ++calls_;
  const HttpRequest& request = exchange->Request();
  const std::string_view call = WithoutQuery(request.path_);
  if (fault_ == StoreFault::kRefuse) {
    Respond(exchange, Json(refusal_status_, {{"error", "refused"}}));
    return;
  }
  if (fault_ == StoreFault::kSilent) {
    unanswered_.push_back(exchange);
    return;
  }
  if (call == "/-/log-read") {
    OnRead(exchange);
    return;
  }
  HttpResponse response = call == "/-/log-append" ? OnAppend(request) : OnNewest(request);
  if (fault_ == StoreFault::kLoseAnswer) {
    unanswered_.push_back(exchange);
    return;
  }
  Respond(exchange, std::move(response));
}

HttpResponse StoreStandIn::OnAppend(const HttpRequest& request) {
  Topic& topic = topics_[std::string(QueryValue(request.path_, "topic"))];
  const std::uint64_t end = topic.End();
  if (!QueryValue(request.path_, "at").empty() && NumberOf(request.path_, "at") != end) {
    return Json(412, {{"end", end}});
  }
  std::string_view body = request.body_;
  while (body.size() > 5) {
    std::size_t length = 0;
    for (int i = 0; i < 4; ++i) {
      length = length * 256 + static_cast<unsigned char>(body[static_cast<std::size_t>(i)]);
    }
    const std::string_view content = body.substr(4, length);
    const auto key_length = static_cast<unsigned char>(content.front());
    Store(topic,
          {0, std::string(content.substr(1, key_length)),
           std::string(content.substr(1 + key_length))},
          BootClock::now());
    body.remove_prefix(4 + length);
  }
  return Json(200, {{"offset", end}, {"end", topic.End()}});
}

HttpResponse StoreStandIn::OnNewest(const HttpRequest& request) {
  const Topic& topic = topics_[std::string(QueryValue(request.path_, "topic"))];
  const std::string after(QueryValue(request.path_, "after"));
  nlohmann::json items = nlohmann::json::array();
  bool has_more = false;
  for (auto entry = topic.newest_.upper_bound(after); entry != topic.newest_.end(); ++entry) {
    if (items.size() == page_) {
      has_more = true;
      break;
    }
    items.push_back({{"key", entry->first},
                     {"value", ToBase64(entry->second.value_)},
                     {"offset", entry->second.offset_}});
  }
  return Json(200, {{"items", items}, {"has-more", has_more}, {"end", topic.End()}});
}

HttpResponse StoreStandIn::ReadResponse(const Topic& topic, std::uint64_t from) const {
  if (from < topic.first_ || from > topic.End()) {
    return Json(410, {{"first", topic.first_}});
  }
  std::string body;
  AppendBigEndian(body, topic.End(), 8);
  AppendBigEndian(body, topic.first_, 8);
  for (std::uint64_t offset = from; offset < topic.End(); ++offset) {
    const KeyedRecord& record = topic.records_[offset - topic.first_];
    AppendBigEndian(body, 1 + record.key_.size() + record.value_.size(), 4);
    body += static_cast<char>(record.key_.size());
    body += record.key_ + record.value_;
  }
  return {200, {}, body};
}

void StoreStandIn::OnRead(const std::shared_ptr<HttpExchange>& exchange) {
  const std::string& path = exchange->Request().path_;
  waiting_.push_back({exchange, std::string(QueryValue(path, "topic")), NumberOf(path, "from"),
                      BootClock::now() + milliseconds(NumberOf(path, "wait-ms"))});
  AnswerWaiting();
}

void StoreStandIn::AnswerWaiting() {
  const BootTime now = BootClock::now();
  std::erase_if(waiting_, [&](Waiting& read) {
    const Topic& topic = topics_[read.topic_];
    const bool is_beyond_end = !read.waits_ && topic.End() < read.from_;
    read.waits_ = true;
    if (!is_beyond_end && topic.End() <= read.from_ && now < read.until_) {
      return false;
    }
    Respond(read.exchange_, ReadResponse(topic, read.from_));
    return true;
  });
}

}  // namespace sassafrasbay::stand_ins
