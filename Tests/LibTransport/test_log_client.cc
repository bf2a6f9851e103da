#define BOOST_TEST_MODULE LogClient
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <string>
#include <utility>

#include "LibTransport/http_server.h"
#include "LibTransport/log_client.h"
#include "LibTransport/loopback.h"
#include "LibTransport/stub_upstream.h"

namespace sassafrasbay {
namespace {

using ExchangePointer = std::shared_ptr<HttpExchange>;
using nlohmann::json;

/// Log service that returns a preset response and stores the last request.
struct StubLog {
  StubLog() {
    auto built = HttpServerBuilder(loop_)
                     .OnRequest([this](const ExchangePointer& exchange) {
                       request_ = exchange->Request();
                       exchange->Respond(response_);
                     })
                     .Build();
    BOOST_REQUIRE(built.has_value());
    server_ = std::move(built.value());
    log_.emplace(client_, "http://127.0.0.1:" + std::to_string(server_->Port()));
  }

  Result<LogBatch> Read(std::uint64_t from) {
    std::optional<Result<LogBatch>> result;
    log_->Read(from, milliseconds(100), 10, [&](Result<LogBatch> batch) {
      result = std::move(batch);
      loop_.Stop();
    });
    RunUntilStopped(loop_);
    BOOST_REQUIRE(result.has_value());
    return std::move(*result);
  }

  ReactorLoop loop_;
  HttpClient client_{loop_, 4};
  HttpRequest request_;
  HttpResponse response_;
  std::unique_ptr<HttpServer> server_;
  std::optional<LogClient> log_;
};

std::string ToCbor(const json& document) {
  const std::vector<std::uint8_t> bytes = json::to_cbor(document);
  return {bytes.begin(), bytes.end()};
}

json MakeRecord(std::uint64_t offset, std::string_view bytes) {
  return json::array({offset, json::binary({bytes.begin(), bytes.end()})});
}

json MakeBatch() {
  return {{"first", 3U}, {"next", 9U}, {"records", {MakeRecord(5, "a"), MakeRecord(8, "bc")}}};
}

// Guards against unintended changes of the log protocol.
BOOST_AUTO_TEST_CASE(ReadAndAppendFollowTheProtocol) {
  StubLog log;
  log.response_ = HttpResponse{200, {}, ToCbor(MakeBatch())};
  const Result<LogBatch> batch = log.Read(5);
  BOOST_REQUIRE(batch.has_value());
  BOOST_TEST(batch.value().first_ == 3U);
  BOOST_TEST(batch.value().next_ == 9U);
  BOOST_REQUIRE(batch.value().records_.size() == 2U);
  BOOST_TEST(batch.value().records_[1].first == 8U);
  BOOST_TEST(batch.value().records_[1].second == "bc");
  BOOST_TEST(log.request_.path_ == "/records?from=5&wait_ms=100&max=10");

  log.response_ = HttpResponse{200, {}, R"({"offset":77})"};
  std::optional<Result<std::uint64_t>> offset;
  log.log_->Append("record", milliseconds(1000), [&](Result<std::uint64_t> result) {
    offset = std::move(result);
    log.loop_.Stop();
  });
  RunUntilStopped(log.loop_);
  BOOST_REQUIRE((offset && offset->has_value()));
  BOOST_TEST(offset->value() == 77U);
  BOOST_TEST(log.request_.path_ == "/append");
  BOOST_TEST(log.request_.body_ == "record");
}

// Guards against the first and next offsets being swapped.
BOOST_AUTO_TEST_CASE(OffsetsAreDecoded) {
  StubLog log;
  log.response_ = HttpResponse{200, {}, R"({"first":4,"next":12})"};
  std::optional<Result<LogOffsets>> offsets;
  log.log_->Offsets(milliseconds(1000), [&](Result<LogOffsets> result) {
    offsets = std::move(result);
    log.loop_.Stop();
  });
  RunUntilStopped(log.loop_);
  BOOST_REQUIRE((offsets && offsets->has_value()));
  BOOST_TEST(offsets->value().first_ == 4U);
  BOOST_TEST(offsets->value().next_ == 12U);
}

// Guards against a batch that is never read: it takes the link longer than the time after which a
// silent log counts as lost.
BOOST_AUTO_TEST_CASE(ABatchThatArrivesSlowlyIsRead) {
  constexpr std::size_t kRecordBytes = 2'600'000;
  constexpr std::size_t kBytesPerMillisecond = 1000;
  StubLog log;
  StubUpstream server(log.loop_);
  const std::string body = ToCbor(
      {{"first", 3U}, {"next", 9U}, {"records", {MakeRecord(5, std::string(kRecordBytes, 'x'))}}});
  server.answer_ = [&](int, const std::string&) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  };
  std::size_t sent = 0;
  bool is_first = true;
  server.endless_text_ = body;
  server.is_endless_ = [&] {
    if (std::exchange(is_first, false)) {
      return true;  // Asked before the first part is due.
    }
    server.endless_text_ = body.substr(std::min(sent, body.size()), kBytesPerMillisecond);
    sent += kBytesPerMillisecond;
    return !server.endless_text_.empty();
  };
  log.log_.emplace(log.client_, "http://" + server.Address());
  const Result<LogBatch> batch = log.Read(5);
  BOOST_REQUIRE(batch.has_value());
  BOOST_TEST(batch.value().records_[0].second.size() == kRecordBytes);
}

// Guards against a reader that skips truncated records unnoticed.
BOOST_AUTO_TEST_CASE(TruncationCarriesTheFirstOffset) {
  StubLog log;
  log.response_ = HttpResponse{410, {}, R"({"first":40})"};
  const Result<LogBatch> batch = log.Read(5);
  BOOST_REQUIRE(!batch.has_value());
  BOOST_TEST((batch.error().code_ == Errc::kTruncated));
  BOOST_TEST(batch.error().detail_ == "40");
}

// Guards against accepting records that are out of order or outside the requested range.
BOOST_AUTO_TEST_CASE(InconsistentBatchesAreRejected) {
  StubLog log;
  const json descending = {
      {"first", 3U}, {"next", 9U}, {"records", {MakeRecord(8, "a"), MakeRecord(5, "b")}}};
  const json early = {{"first", 3U}, {"next", 9U}, {"records", {MakeRecord(4, "a")}}};
  const json late = {{"first", 3U}, {"next", 9U}, {"records", {MakeRecord(9, "a")}}};
  const json text = {{"first", 3U}, {"next", 9U}, {"records", {json::array({5U, "text"})}}};
  for (const json& document : {descending, early, late, text, json(1), json::array()}) {
    log.response_ = HttpResponse{200, {}, ToCbor(document)};
    const Result<LogBatch> batch = log.Read(5);
    BOOST_REQUIRE(!batch.has_value());
    BOOST_TEST((batch.error().code_ == Errc::kMalformed));
  }
}

// Guards against exceptions of the CBOR library, which throws for some declared lengths even when
// exceptions are disabled.
BOOST_AUTO_TEST_CASE(MalformedBytesAreErrors) {
  constexpr unsigned kSeed = 20240611;
  StubLog log;
  log.response_ = HttpResponse{200, {}, std::string("\x9b\x7f\xff\xff\xff\xff\xff\xff\xff", 9)};
  BOOST_TEST(!log.Read(5).has_value());
  const std::string good = ToCbor(MakeBatch());
  std::mt19937 random(kSeed);
  for (int round = 0; round < 300; ++round) {
    std::string bytes = good;
    for (int change = 0; change < 3; ++change) {
      bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    bytes.resize(random() % 4 == 0 ? random() % bytes.size() : bytes.size());
    log.response_ = HttpResponse{200, {}, bytes};
    const Result<LogBatch> batch = log.Read(5);
    BOOST_TEST((batch.has_value() || batch.error().code_ == Errc::kMalformed));
  }
}

}  // namespace
}  // namespace sassafrasbay
