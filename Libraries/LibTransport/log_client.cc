#include "LibTransport/log_client.h"

#include <algorithm>
#include <exception>
#include <nlohmann/json.hpp>
#include <optional>

namespace sassafrasbay {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kGone = 410;

// Time without a byte of an answer, beyond the time that the log may wait for a record.
constexpr milliseconds kReadStallTimeout{2000};
// Limit on a read that makes progress: the largest batch over a link of 10 Mbit/s.
constexpr milliseconds kMaxReadTime{60'000};
constexpr std::size_t kMaxBatchBytes = 64U << 20U;

HttpCall MakeCall(const std::string& url, std::string method, std::string path,
                  milliseconds timeout) {
  HttpCall call;
  call.base_url_ = url;
  call.request_.method_ = std::move(method);
  call.request_.path_ = std::move(path);
  call.timeout_ = timeout;
  call.connect_timeout_ = std::min(call.connect_timeout_, timeout);
  return call;
}

// nlohmann-json throws for some declared lengths even when exceptions are disabled.
json ParseCbor(const std::string& body) {
  try {
    return json::from_cbor(body, true, false);
  } catch (const std::exception&) {
    return json(json::value_t::discarded);
  }
}

Error MalformedError(std::string_view operation, std::string_view url, std::string_view detail) {
  return MakeError(Errc::kMalformed, operation, url, detail);
}

Result<HttpResponse> ExpectOk(HttpResult result, std::string_view operation, std::string_view url) {
  if (!result.response_) {
    Error error = result.response_.error();
    error.operation_ = operation;
    return error;
  }
  const int status = result.response_.value().status_;
  if (status != kOk) {
    return MakeError(Errc::kUnavailable, operation, url,
                     "expected status 200, got " + std::to_string(status));
  }
  return std::move(result.response_.value());
}

std::optional<std::uint64_t> FindNumber(const json& object, const char* name) {
  const auto entry = object.is_object() ? object.find(name) : object.end();
  if (!object.is_object() || entry == object.end() || !entry->is_number_unsigned()) {
    return std::nullopt;
  }
  return entry->get<std::uint64_t>();
}

Result<std::uint64_t> ParseNumber(const std::string& body, const char* name,
                                  std::string_view operation, std::string_view url) {
  const std::optional<std::uint64_t> number = FindNumber(json::parse(body, nullptr, false), name);
  if (!number) {
    return MalformedError(operation, url,
                          "response has no unsigned number \"" + std::string(name) + "\"");
  }
  return *number;
}

bool DecodeRecord(const json& item, LogBatch& batch) {
  if (!item.is_array() || item.size() != 2 || !item[0].is_number_unsigned() ||
      !item[1].is_binary()) {
    return false;
  }
  const auto offset = item[0].get<std::uint64_t>();
  if (!batch.records_.empty() && offset <= batch.records_.back().first) {
    return false;
  }
  const json::binary_t& bytes = item[1].get_binary();
  batch.records_.emplace_back(offset, std::string(bytes.begin(), bytes.end()));
  return true;
}

// Records outside the requested range would make a reader skip or repeat records.
bool IsWithinRequestedRange(const LogBatch& batch, std::uint64_t from) {
  if (batch.next_ < from) {
    return false;
  }
  return batch.records_.empty() ||
         (batch.records_.front().first >= from && batch.records_.back().first < batch.next_);
}

Result<LogBatch> ParseBatch(const std::string& body, std::uint64_t from, std::string_view url) {
  constexpr std::string_view kOperation = "read log";
  const json document = ParseCbor(body);
  const std::optional<std::uint64_t> first = FindNumber(document, "first");
  const std::optional<std::uint64_t> next = FindNumber(document, "next");
  if (!first || !next || !document.contains("records") || !document["records"].is_array()) {
    return MalformedError(kOperation, url, "batch lacks \"first\", \"next\" or \"records\"");
  }
  LogBatch batch;
  batch.first_ = *first;
  batch.next_ = *next;
  for (const json& item : document["records"]) {
    if (!DecodeRecord(item, batch)) {
      return MalformedError(kOperation, url,
                            "record is not a pair of offset and bytes, or offsets do not ascend");
    }
  }
  if (!IsWithinRequestedRange(batch, from)) {
    return MalformedError(kOperation, url, "batch is outside the requested range");
  }
  return batch;
}

Error TruncatedError(const std::string& body, std::string_view url) {
  const Result<std::uint64_t> first = ParseNumber(body, "first", "read log", url);
  if (!first) {
    return first.error();
  }
  return MakeError(Errc::kTruncated, "read log", url, std::to_string(first.value()));
}

Result<LogBatch> ToBatch(HttpResult result, std::uint64_t from, std::string_view url) {
  if (result.response_ && result.response_.value().status_ == kGone) {
    return TruncatedError(result.response_.value().body_, url);
  }
  SASSAFRASBAY_TRY(response, ExpectOk(std::move(result), "read log", url));
  return ParseBatch(response.body_, from, url);
}

Result<LogOffsets> ToOffsets(HttpResult result, std::string_view url) {
  constexpr std::string_view kOperation = "read log offsets";
  SASSAFRASBAY_TRY(response, ExpectOk(std::move(result), kOperation, url));
  SASSAFRASBAY_TRY(first, ParseNumber(response.body_, "first", kOperation, url));
  SASSAFRASBAY_TRY(next, ParseNumber(response.body_, "next", kOperation, url));
  return LogOffsets{first, next};
}

Result<std::uint64_t> ToOffset(HttpResult result, std::string_view url) {
  SASSAFRASBAY_TRY(response, ExpectOk(std::move(result), "append to log", url));
  return ParseNumber(response.body_, "offset", "append to log", url);
}

}  // namespace

LogClient::LogClient(HttpClient& client, std::string url) : client_(client), url_(std::move(url)) {}

void LogClient::Append(std::string record, milliseconds timeout,
                       std::function<void(Result<std::uint64_t>)> callback) {
  HttpCall call = MakeCall(url_, "POST", "/append", timeout);
  call.request_.body_ = std::move(record);
  call.request_.headers_.emplace_back("Content-Type", "application/octet-stream");
  // libcurl would append the record a second time when a reused connection turns out to be closed.
  call.fresh_connection_ = true;
  client_.Start(std::move(call), [callback = std::move(callback), url = url_](HttpResult result) {
    callback(ToOffset(std::move(result), url));
  });
}

void LogClient::Read(std::uint64_t from, milliseconds wait, std::size_t max_records,
                     std::function<void(Result<LogBatch>)> callback) {
  const std::string path = "/records?from=" + std::to_string(from) +
                           "&wait_ms=" + std::to_string(wait.count()) +
                           "&max=" + std::to_string(max_records);
  HttpCall call = MakeCall(url_, "GET", path, wait + kMaxReadTime);
  call.stall_timeout_ = wait + kReadStallTimeout;
  call.max_response_bytes_ = kMaxBatchBytes;
  client_.Start(std::move(call),
                [callback = std::move(callback), from, url = url_](HttpResult result) {
                  callback(ToBatch(std::move(result), from, url));
                });
}

void LogClient::Offsets(milliseconds timeout, std::function<void(Result<LogOffsets>)> callback) {
  client_.Start(MakeCall(url_, "GET", "/offsets", timeout),
                [callback = std::move(callback), url = url_](HttpResult result) {
                  callback(ToOffsets(std::move(result), url));
                });
}

}  // namespace sassafrasbay
