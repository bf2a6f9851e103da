// Stand-in of the append-only log service. It keeps the records in memory. Tests set its faults
// with POST /-/faults.

#include <popt.h>
#include <signal.h>

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <nlohmann/json.hpp>

#include "StandIns/blocking_server.h"
#include "StandIns/log_state.h"

namespace sassafrasbay::stand_ins {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxRecordBytes = 64U << 20U;
constexpr unsigned kMaxConnections = 4000;
constexpr std::uint64_t kDefaultMaxRecords = 1000;
constexpr std::uint64_t kMaxWaitMs = 60000;

struct LogService {
  ReactorLoop loop_;
  LogState state_;
};

std::uint64_t QueryNumber(const HttpRequest& request, std::string_view name,
                          std::uint64_t default_value) {
  const std::string_view text = QueryValue(request.path_, name);
  std::from_chars(text.data(), text.data() + text.size(), default_value);
  return default_value;
}

HttpResponse JsonResponse(int status, const json& body) {
  return {status, {{"Content-Type", "application/json"}}, body.dump()};
}

void RemoveWaitingRead(LogService& service, const HttpExchange* exchange) {
  std::erase_if(service.state_.waiting_, [&](const WaitingRead& read) {
    if (read.exchange_.get() != exchange) {
      return false;
    }
    service.loop_.CancelTimer(read.timer_);
    return true;
  });
}

// Answers the waiting reads whose record has arrived; in an outage answers all with 503.
void AnswerWaitingReads(LogService& service) {
  const std::vector<WaitingRead> waiting = service.state_.waiting_;
  for (const WaitingRead& read : waiting) {
    if (service.state_.faults_.outage_) {
      RemoveWaitingRead(service, read.exchange_.get());
      read.exchange_->Respond(JsonResponse(503, {{"error", "outage"}}));
    } else if (read.from_ != service.state_.entries_.size()) {
      RemoveWaitingRead(service, read.exchange_.get());
      read.exchange_->Respond(ReadRecords(service.state_, read.from_, read.max_));
    }
  }
}

void Append(LogService& service, const std::shared_ptr<HttpExchange>& exchange) {
  LogFaults& faults = service.state_.faults_;
  if (faults.delay_effect_ms_ > 0) {
    service.loop_.StartTimer(milliseconds(faults.delay_effect_ms_),
                             [&service, bytes = exchange->Request().body_] {
                               AppendRecord(service.state_, bytes);
                               AnswerWaitingReads(service);
                             });
    exchange->Respond(JsonResponse(504, {{"error", "effect is delayed"}}));
    return;
  }
  const std::uint64_t offset = AppendRecord(service.state_, exchange->Request().body_);
  if (faults.lose_answers_ > 0) {
    --faults.lose_answers_;
    exchange->Respond(JsonResponse(500, {{"error", "answer is lost"}}));
  } else {
    exchange->Respond(JsonResponse(200, {{"offset", offset}}));
  }
  AnswerWaitingReads(service);
}

void Read(LogService& service, const std::shared_ptr<HttpExchange>& exchange) {
  const HttpRequest& request = exchange->Request();
  const std::uint64_t from = QueryNumber(request, "from", 0);
  const std::uint64_t max = QueryNumber(request, "max", kDefaultMaxRecords);
  const std::uint64_t wait_ms = std::min(QueryNumber(request, "wait_ms", 0), kMaxWaitMs);
  if (from != service.state_.entries_.size() || wait_ms == 0) {
    exchange->Respond(ReadRecords(service.state_, from, max));
    return;
  }
  HttpExchange* const key = exchange.get();
  const auto timer =
      service.loop_.StartTimer(milliseconds(wait_ms), [&service, exchange, from, max] {
        RemoveWaitingRead(service, exchange.get());
        exchange->Respond(ReadRecords(service.state_, from, max));
      });
  service.state_.waiting_.push_back({exchange, from, max, timer});
  exchange->OnAbandoned([&service, key] { RemoveWaitingRead(service, key); });
}

void HandleLogCall(LogService& service, const std::shared_ptr<HttpExchange>& exchange) {
  const HttpRequest& request = exchange->Request();
  const std::string_view path = WithoutQuery(request.path_);
  if (service.state_.faults_.outage_) {
    exchange->Respond(JsonResponse(503, {{"error", "outage"}}));
  } else if (path == "/append" && request.method_ == "POST") {
    Append(service, exchange);
  } else if (path == "/records") {
    Read(service, exchange);
  } else if (path == "/offsets") {
    exchange->Respond(JsonResponse(
        200, {{"first", service.state_.first_}, {"next", service.state_.entries_.size()}}));
  } else {
    exchange->Respond(JsonResponse(404, {{"error", "no such call"}}));
  }
}

void HandleRequest(LogService& service, const std::shared_ptr<HttpExchange>& exchange) {
  const HttpRequest& request = exchange->Request();
  const std::string_view path = WithoutQuery(request.path_);
  if (path == "/-/faults") {
    const Result<void> result = SetLogFaults(service.state_, request.body_);
    exchange->Respond(result ? JsonResponse(200, json::object())
                             : JsonResponse(400, {{"error", ToString(result.error())}}));
    AnswerWaitingReads(service);
  } else if (path == "/-/records") {
    exchange->Respond({200, {{"Content-Type", "application/json"}}, DumpRecords(service.state_)});
  } else if (service.state_.faults_.slow_ms_ > 0) {
    service.loop_.StartTimer(milliseconds(service.state_.faults_.slow_ms_),
                             [&service, exchange] { HandleLogCall(service, exchange); });
  } else {
    HandleLogCall(service, exchange);
  }
}

int Run(int port) {
  LogService service;
  auto server = HttpServerBuilder(service.loop_)
                    .Listen("127.0.0.1", static_cast<std::uint16_t>(port))
                    .MaxBodyBytes(kMaxRecordBytes)
                    .MaxConnections(kMaxConnections)
                    .OnRequest([&](const std::shared_ptr<HttpExchange>& exchange) {
                      HandleRequest(service, exchange);
                    })
                    .Build();
  if (!server) {
    std::fprintf(stderr, "%s\n", ToString(server.error()).c_str());
    return 1;
  }
  service.loop_.Run();
  return 0;
}

}  // namespace
}  // namespace sassafrasbay::stand_ins

int main(int argc, const char** argv) {
  signal(SIGPIPE, SIG_IGN);
  int port = 0;
  const poptOption table[] = {{"port", 0, POPT_ARG_INT, &port, 0, "port to listen on", "PORT"},
                              POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext("log_stand_in", argc, argv, table, 0);
  const int code = poptGetNextOpt(context);
  if (code < -1) {
    std::fprintf(stderr, "%s: %s\n", poptBadOption(context, 0), poptStrerror(code));
  }
  poptFreeContext(context);
  return code < -1 ? 2 : sassafrasbay::stand_ins::Run(port);
}
