#include "StandIns/load_plan.h"

#include <nlohmann/json.hpp>

#include "LibCore/hash.h"

namespace sassafrasbay::stand_ins {
namespace {

using nlohmann::json;

milliseconds Milliseconds(const json& object, const char* name, milliseconds default_value) {
  return milliseconds(object.value(name, default_value.count()));
}

LoadClass ParseClass(const json& object) {
  LoadClass result;
  result.name_ = object.at("name").get<std::string>();
  result.prefix_ = object.at("prefix").get<std::string>();
  result.suffix_ = object.value("suffix", result.suffix_);
  result.method_ = object.value("method", result.method_);
  result.binding_ = object.value("binding", result.binding_);
  result.share_ = object.value("share", result.share_);
  result.keys_ = object.value("keys", result.keys_);
  result.hot_share_ = object.value("hot_share", result.hot_share_);
  result.hot_period_ = Milliseconds(object, "hot_period_ms", result.hot_period_);
  result.deadline_ = Milliseconds(object, "deadline_ms", result.deadline_);
  result.body_bytes_ = object.value("body_bytes", result.body_bytes_);
  const json headers = object.value("headers", json::object());
  for (const auto& [name, value] : headers.items()) {
    result.headers_.emplace_back(name, value.get<std::string>());
  }
  return result;
}

std::uint64_t ChooseKey(const LoadClass& load_class, std::mt19937_64& random,
                        milliseconds elapsed) {
  if (std::bernoulli_distribution(load_class.hot_share_)(random)) {
    const auto period = static_cast<std::uint64_t>(elapsed / load_class.hot_period_);
    const std::string name = "hot-" + std::to_string(period);
    return HashBytes(name) % load_class.keys_;
  }
  return std::uniform_int_distribution<std::uint64_t>(0, load_class.keys_ - 1)(random);
}

const LoadClass& ChooseClass(const LoadPlan& plan, std::mt19937_64& random) {
  std::vector<double> shares;
  for (const LoadClass& load_class : plan.classes_) {
    shares.push_back(load_class.share_);
  }
  return plan
      .classes_[std::discrete_distribution<std::size_t>(shares.begin(), shares.end())(random)];
}

}  // namespace

Result<LoadPlan> ParseLoadPlan(std::string_view text) {
  LoadPlan plan;
  try {
    const json object = json::parse(text);
    plan.nodes_ = object.at("nodes").get<std::vector<std::string>>();
    for (const json& load_class : object.at("classes")) {
      plan.classes_.push_back(ParseClass(load_class));
    }
    plan.requests_per_second_ = object.value("requests_per_second", plan.requests_per_second_);
    plan.duration_ = Milliseconds(object, "duration_ms", plan.duration_);
    plan.max_attempts_ = object.value("max_attempts", plan.max_attempts_);
    plan.retry_delay_ = Milliseconds(object, "retry_delay_ms", plan.retry_delay_);
    plan.seed_ = object.value("seed", plan.seed_);
  } catch (const json::exception& error) {
    return MakeError(Errc::kMalformed, "read load plan", "", error.what());
  }
  bool valid = !plan.nodes_.empty() && !plan.classes_.empty() && plan.requests_per_second_ > 0;
  for (const LoadClass& load_class : plan.classes_) {
    valid &= load_class.keys_ > 0 && load_class.hot_period_.count() > 0;
    valid &= load_class.hot_share_ >= 0 && load_class.hot_share_ <= 1;
  }
  if (!valid) {
    return MakeError(
        Errc::kMalformed, "read load plan", "",
        "expected nodes, classes, positive requests_per_second, keys and hot_period_ms, "
        "and hot_share from 0 to 1");
  }
  return plan;
}

PlannedRequest PlanRequest(const LoadPlan& plan, std::mt19937_64& random, milliseconds elapsed) {
  PlannedRequest planned;
  const LoadClass& load_class = ChooseClass(plan, random);
  planned.class_ = &load_class;
  planned.key_ = std::to_string(ChooseKey(load_class, random, elapsed));
  planned.node_ = std::uniform_int_distribution<std::size_t>(0, plan.nodes_.size() - 1)(random);
  planned.id_ = MakeUuidV7(WallNow());
  HttpRequest& request = planned.request_;
  request.method_ = load_class.method_;
  request.path_ = load_class.prefix_;
  request.path_.append(planned.key_).append(load_class.suffix_).append("?id=").append(planned.id_);
  request.headers_ = load_class.headers_;
  if (load_class.binding_) {
    request.headers_.emplace_back("Idempotency-Key", planned.id_);
  }
  if (load_class.method_ != "GET") {
    request.body_ = planned.id_;
    request.body_.resize(std::max<std::size_t>(load_class.body_bytes_, request.body_.size()), '.');
  }
  return planned;
}

bool IsOwnAnswer(const PlannedRequest& planned, std::string_view body) {
  const json answer = json::parse(body, nullptr, false);
  if (!answer.is_object()) {
    return false;
  }
  const std::string id = planned.class_->binding_ ? planned.id_ : "";
  return answer.value("target", "") == planned.request_.path_ &&
         answer.value("idempotency_key", "") == id &&
         answer.value("echo", "") == planned.request_.body_;
}

std::string MakeUuidV7(WallTime now) {
  constexpr std::uint64_t kTimeBits = 0xFFFFFFFFFFFFULL;
  const auto time = static_cast<std::uint64_t>(now.time_since_epoch().count()) & kTimeBits;
  char prefix[16];
  std::snprintf(prefix, sizeof(prefix), "%08llx-%04llx",
                static_cast<unsigned long long>(time >> 16U),
                static_cast<unsigned long long>(time & 0xFFFFU));
  const std::string random = RandomId();
  // The digit 7 is the version. The digit 8 holds the variant bits "10" followed by two zero bits.
  return std::string(prefix) + "-7" + random.substr(0, 3) + "-8" + random.substr(3, 3) + "-" +
         random.substr(6, 12);
}

}  // namespace sassafrasbay::stand_ins
