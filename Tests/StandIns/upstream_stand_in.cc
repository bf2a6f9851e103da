// Stand-in of an upstream. It runs up to `slots` requests at a time, checks grants with
// --checks-grants, and records every run and every grant.

#include <fcntl.h>
#include <popt.h>
#include <signal.h>
#include <unistd.h>

#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <thread>

#include "LibCore/clock.h"
#include "StandIns/blocking_client.h"
#include "StandIns/blocking_server.h"
#include "StandIns/option_text.h"
#include "StandIns/upstream_state.h"

namespace sassafrasbay::stand_ins {
namespace {

using nlohmann::json;

constexpr int kCrashExitCode = 3;
/// Time for which the port still accepts connections in a slow exit.
constexpr milliseconds kSlowExitDuration{60};
constexpr int kConnections = 130;
constexpr milliseconds kCancelCheckInterval{10};
// Factor on the processing time right after the start. It falls linearly to 1 over the cold-start
// duration.
constexpr int kColdStartFactor = 10;

/// Behaviour that a caller requests with the header Stand-In, a comma-separated list of directives.
struct RequestedBehaviour {
  bool crash_ = false;
  bool crash_slowly_ = false;  ///< Closes the connections, and exits after kSlowExitDuration.
  bool drop_ = false;
  bool truncate_ = false;
  bool refuse_ = false;
  int sleep_ms_ = -1;
};

RequestedBehaviour ParseBehaviour(std::string_view text) {
  RequestedBehaviour behaviour;
  while (!text.empty()) {
    const std::string_view directive = text.substr(0, text.find(','));
    behaviour.crash_ |= directive == "crash";
    behaviour.crash_slowly_ |= directive == "crash-slowly";
    behaviour.drop_ |= directive == "drop";
    behaviour.truncate_ |= directive == "truncate";
    behaviour.refuse_ |= directive == "refuse";
    if (directive.starts_with("sleep=")) {
      behaviour.sleep_ms_ = std::atoi(std::string(directive.substr(6)).c_str());
    }
    text.remove_prefix(std::min(text.size(), directive.size() + 1));
  }
  return behaviour;
}

BlockingAnswer Refuse(int status, std::string_view reason) {
  return JsonAnswer(status, json{{"reason", reason}}.dump(), {{"Sassafrasbay-Outcome", "not-run"}});
}

milliseconds ProcessingTime(const UpstreamState& state, const RequestedBehaviour& behaviour) {
  if (behaviour.sleep_ms_ >= 0) {
    return milliseconds(behaviour.sleep_ms_);
  }
  const std::int64_t service_ms = state.options_.service_ms_;
  const std::int64_t cold_ms = state.options_.cold_ms_;
  const std::int64_t cold_left_ms = state.started_ms_ + cold_ms - NowMs();
  if (cold_left_ms <= 0) {
    return milliseconds(service_ms);
  }
  return milliseconds(service_ms + service_ms * (kColdStartFactor - 1) * cold_left_ms / cold_ms);
}

// Waits for the duration, in short steps so that a cancelled request frees its slot early. Returns
// true when the request was cancelled.
bool WaitOrCancel(UpstreamState& state, milliseconds duration, std::string_view request_id) {
  const BootTime end = BootClock::now() + duration;
  while (BootClock::now() < end) {
    const auto remaining = std::chrono::ceil<milliseconds>(end - BootClock::now());
    std::this_thread::sleep_for(std::min(remaining, kCancelCheckInterval));
    const std::lock_guard lock(state.mutex_);
    if (state.cancelled_.contains(request_id)) {
      return true;
    }
  }
  return false;
}

std::string AnswerBody(const UpstreamState& state, const HttpRequest& request,
                       std::uint64_t writes) {
  const json body = {
      {"upstream", state.options_.port_},
      {"key", WithoutQuery(request.path_)},
      {"target", request.path_},
      {"idempotency_key", FindHeader(request.headers_, "Idempotency-Key")},
      {"request_id", FindHeader(request.headers_, "Sassafrasbay-Request-Id")},
      {"writes", writes},
      {"echo", request.body_},
  };
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

BlockingAnswer RunRequest(UpstreamState& state, const HttpRequest& request) {
  const RequestedBehaviour behaviour = ParseBehaviour(FindHeader(request.headers_, "Stand-In"));
  if (behaviour.refuse_) {
    return Refuse(503, "refused by the mark of the request");
  }
  const Admission admission = StartRun(state, request);
  if (!admission.run_) {
    return Refuse(admission.status_, admission.reason_);
  }
  const bool cancelled = WaitOrCancel(state, ProcessingTime(state, behaviour),
                                      FindHeader(request.headers_, "Sassafrasbay-Request-Id"));
  EndRun(state, *admission.run_);
  if (behaviour.crash_) {
    _exit(kCrashExitCode);
  }
  if (behaviour.crash_slowly_ && !state.exiting_.exchange(true)) {
    std::thread([] {
      std::this_thread::sleep_for(kSlowExitDuration);
      _exit(kCrashExitCode);
    }).detach();
  }
  BlockingAnswer answer = JsonAnswer(200, AnswerBody(state, request, admission.writes_));
  if (cancelled) {
    answer.response_.status_ = 500;
  }
  if (behaviour.drop_) {
    answer.ending_ = AnswerEnding::kDrop;
  } else if (behaviour.truncate_) {
    answer.ending_ = AnswerEnding::kTruncate;
  }
  return answer;
}

BlockingAnswer Answer(UpstreamState& state, const HttpRequest& request) {
  const std::string_view path = WithoutQuery(request.path_);
  if (path == "/-/health") {
    const std::lock_guard lock(state.mutex_);
    return JsonAnswer(200, json{{"running", state.running_}}.dump());
  }
  if (path == "/-/grants" && request.method_ == "PUT") {
    return JsonAnswer(ApplyGrants(state, request.body_) ? 200 : 409, "{}");
  }
  if (path == "/-/cancel" && request.method_ == "POST") {
    const std::lock_guard lock(state.mutex_);
    state.cancelled_.emplace(QueryValue(request.path_, "request"));
    return JsonAnswer(200, "{}");
  }
  return RunRequest(state, request);
}

BlockingAnswer HandleTraffic(UpstreamState& state, const HttpRequest& request) {
  BlockingAnswer answer = Answer(state, request);
  if (state.exiting_) {
    answer.ending_ = AnswerEnding::kDrop;
  }
  return answer;
}

BlockingAnswer HandleAdmin(UpstreamState& state, const HttpRequest& request) {
  const std::lock_guard lock(state.mutex_);
  const std::string_view path = WithoutQuery(request.path_);
  if (path == "/-/drain" && request.method_ == "POST") {
    state.draining_ = true;
    return JsonAnswer(200, "{}");
  }
  const auto dump = [](const json& list) {
    return JsonAnswer(200, list.dump(-1, ' ', false, json::error_handler_t::replace));
  };
  if (path == "/-/runs") {
    return dump(state.runs_);
  }
  if (path == "/-/grants") {
    return dump(state.grant_records_);
  }
  return JsonAnswer(404, "{}");
}

void RunAnnouncements(const UpstreamState& state) {
  const UpstreamOptions& options = state.options_;
  const int port = options.advertised_port_ == 0 ? options.port_ : options.advertised_port_;
  json body = {{"service", options.service_},
               {"address", "127.0.0.1:" + std::to_string(port)},
               {"checks_grants", options.checks_grants_},
               {"slots", options.slots_},
               {"connections", kConnections}};
  while (true) {
    body["draining"] = state.draining_.load();
    const HttpRequest request{
        "POST", "/-/announce", {{"Content-Type", "application/json"}}, body.dump()};
    // Errors are ignored: the node may not have started or may have stopped, and the next
    // announcement tries again.
    (void)CallBlocking("http://" + options.node_, request, milliseconds(900));
    std::this_thread::sleep_for(std::chrono::seconds(1));
  }
}

bool ParseOptions(int argc, const char** argv, UpstreamOptions& options) {
  int checks_grants = 0;
  OptionText service;
  OptionText node;
  OptionText record_file;
  const poptOption table[] = {
      {"port", 0, POPT_ARG_INT, &options.port_, 0, "port for requests", "PORT"},
      {"admin-port", 0, POPT_ARG_INT, &options.admin_port_, 0,
       "port for reading records and for draining", "PORT"},
      {"advertised-port", 0, POPT_ARG_INT, &options.advertised_port_, 0,
       "announced port, that of a proxy", "PORT"},
      {"service", 0, POPT_ARG_STRING, service.Target(), 0, "name of the service", "NAME"},
      {"node", 0, POPT_ARG_STRING, node.Target(), 0, "caller port of the node beside it",
       "HOST:PORT"},
      {"checks-grants", 0, POPT_ARG_NONE, &checks_grants, 0,
       "refuse requests without a valid grant", nullptr},
      {"slots", 0, POPT_ARG_INT, &options.slots_, 0, "maximum number of concurrent requests", "N"},
      {"service-ms", 0, POPT_ARG_INT, &options.service_ms_, 0, "processing time of a request",
       "MS"},
      {"cold-ms", 0, POPT_ARG_INT, &options.cold_ms_, 0, "duration of the cold start", "MS"},
      {"record-file", 0, POPT_ARG_STRING, record_file.Target(), 0,
       "file that records are appended to", "FILE"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext("upstream_stand_in", argc, argv, table, 0);
  const int code = poptGetNextOpt(context);
  if (code < -1) {
    std::fprintf(stderr, "%s: %s\n", poptBadOption(context, 0), poptStrerror(code));
  }
  poptFreeContext(context);
  options.checks_grants_ = checks_grants != 0;
  options.service_ = service.Value(options.service_);
  options.node_ = node.Value();
  options.record_file_ = record_file.Value();
  return code >= -1;
}

int Run(UpstreamState& state) {
  const UpstreamOptions& options = state.options_;
  if (!options.record_file_.empty()) {
    state.record_descriptor_ =
        open(options.record_file_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (state.record_descriptor_ < 0) {
      std::perror(options.record_file_.c_str());
      return 1;
    }
  }
  state.started_ms_ = NowMs();
  auto traffic = BlockingServer::Listen(
      static_cast<std::uint16_t>(options.port_),
      [&](const HttpRequest& request) { return HandleTraffic(state, request); });
  auto admin = BlockingServer::Listen(
      static_cast<std::uint16_t>(options.admin_port_),
      [&](const HttpRequest& request) { return HandleAdmin(state, request); });
  if (!traffic || !admin) {
    std::fprintf(stderr, "%s\n", ToString(traffic ? admin.error() : traffic.error()).c_str());
    return 1;
  }
  if (!options.node_.empty()) {
    RunAnnouncements(state);
  }
  while (true) {
    pause();
  }
}

}  // namespace
}  // namespace sassafrasbay::stand_ins

int main(int argc, const char** argv) {
  signal(SIGPIPE, SIG_IGN);
  // Never destroyed: connection threads use it until the process ends.
  auto* state = new sassafrasbay::stand_ins::UpstreamState;
  if (!sassafrasbay::stand_ins::ParseOptions(argc, argv, state->options_)) {
    return 2;
  }
  return sassafrasbay::stand_ins::Run(*state);
}
