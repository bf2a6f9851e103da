// Open-loop load generator: sends requests to several nodes at a fixed rate, independent of the
// answers, and reports the results that callers saw.

#include <popt.h>
#include <signal.h>

#include <cstdio>
#include <fstream>
#include <iterator>
#include <set>

#include "LibTransport/http_client.h"
#include "LibTransport/reactor_loop.h"
#include "StandIns/load_plan.h"
#include "StandIns/load_report.h"
#include "StandIns/option_text.h"

namespace sassafrasbay::stand_ins {
namespace {

constexpr milliseconds kSendInterval{2};
constexpr std::chrono::seconds kProgressInterval{1};
constexpr long kConnectionsPerNode = 500;  // NOLINT(google-runtime-int): type of HttpClient

struct Generator {
  LoadPlan plan_;
  ReactorLoop loop_;
  HttpClient client_{loop_, kConnectionsPerNode};
  std::mt19937_64 random_;
  std::ofstream output_;
  LoadReport report_;
  BootTime start_;
  bool all_sent_ = false;
  std::uint64_t answered_at_last_progress_ = 0;  ///< Count at the last progress line.
};

struct PendingRequest {
  PlannedRequest planned_;
  BootTime due_;
  LoadResult result_;
};

milliseconds TimeLeft(const PendingRequest& pending) {
  return std::chrono::duration_cast<milliseconds>(
      pending.due_ + pending.planned_.class_->deadline_ - BootClock::now());
}

void StopWhenDone(Generator& generator) {
  if (generator.all_sent_ && generator.report_.ended_ == generator.report_.sent_) {
    generator.loop_.Stop();
  }
}

void FinishRequest(Generator& generator, PendingRequest& pending) {
  const BootTime now = BootClock::now();
  pending.result_.latency_ms_ =
      std::chrono::duration<double, std::milli>(now - pending.due_).count();
  pending.result_.end_ms_ = ToBootMilliseconds(now);
  CountEnd(generator.report_, pending.result_, now);
  generator.output_ << ToJsonLine(pending.result_);
  StopWhenDone(generator);
}

void StartAttempt(Generator& generator, const std::shared_ptr<PendingRequest>& pending);

void RecordAttempt(PendingRequest& pending, const HttpResult& result) {
  LoadResult& record = pending.result_;
  if (result.response_) {
    const HttpResponse& response = result.response_.value();
    const std::string_view outcome = FindHeader(response.headers_, "Sassafrasbay-Outcome");
    record.outcome_ = outcome.empty() ? "missing" : outcome;
    record.status_ = response.status_;
    record.body_ok_ = IsOwnAnswer(pending.planned_, response.body_);
  } else {
    // An unreachable node ran nothing, but the caller can't know that: only an answer with the
    // outcome not-run states it.
    record.outcome_ = "lost";
    record.status_ = 0;
    record.body_ok_ = false;
  }
  record.not_run_only_ &= record.outcome_ == "not-run";
}

void FinishAttempt(Generator& generator, const std::shared_ptr<PendingRequest>& pending,
                   const HttpResult& result) {
  RecordAttempt(*pending, result);
  const milliseconds delay = generator.plan_.retry_delay_;
  if (pending->result_.outcome_ == "answered" ||
      pending->result_.attempts_ >= generator.plan_.max_attempts_ || TimeLeft(*pending) <= delay) {
    FinishRequest(generator, *pending);
    return;
  }
  generator.loop_.StartTimer(delay, [&generator, pending] { StartAttempt(generator, pending); });
}

void StartAttempt(Generator& generator, const std::shared_ptr<PendingRequest>& pending) {
  const std::vector<std::string>& nodes = generator.plan_.nodes_;
  const auto attempt = static_cast<std::size_t>(pending->result_.attempts_++);
  pending->result_.node_ = nodes[(pending->planned_.node_ + attempt) % nodes.size()];
  HttpCall call;
  call.base_url_ = "http://" + pending->result_.node_;
  call.request_ = pending->planned_.request_;
  call.timeout_ = std::max(TimeLeft(*pending), milliseconds(1));
  call.fresh_connection_ = pending->planned_.class_->binding_;
  generator.client_.Start(std::move(call), [&generator, pending](const HttpResult& result) {
    FinishAttempt(generator, pending, result);
  });
}

void StartRequest(Generator& generator, BootTime due) {
  auto pending = std::make_shared<PendingRequest>();
  pending->due_ = due;
  pending->planned_ = PlanRequest(generator.plan_, generator.random_,
                                  std::chrono::duration_cast<milliseconds>(due - generator.start_));
  const PlannedRequest& planned = pending->planned_;
  pending->result_ = {.id_ = planned.id_,
                      .key_ = planned.key_,
                      .class_ = planned.class_->name_,
                      .binding_ = planned.class_->binding_,
                      .not_run_only_ = true};
  CountSent(generator.report_, planned.class_->name_, planned.key_, due);
  StartAttempt(generator, pending);
}

// Sends all requests that are due. Latency counts from the due time, so that a stall of the
// generator or of the nodes shows up in the latencies.
void SendDueRequests(Generator& generator) {
  const LoadPlan& plan = generator.plan_;
  const BootTime now = BootClock::now();
  const BootTime end = std::min(now, generator.start_ + plan.duration_);
  while (true) {
    const double seconds = static_cast<double>(generator.report_.sent_) / plan.requests_per_second_;
    const BootTime due =
        generator.start_ + std::chrono::nanoseconds(static_cast<std::int64_t>(seconds * 1e9));
    if (due >= end) {
      break;
    }
    StartRequest(generator, due);
  }
  generator.all_sent_ = now >= generator.start_ + plan.duration_;
  StopWhenDone(generator);
}

void PrintProgress(Generator& generator) {
  const LoadReport& report = generator.report_;
  const auto elapsed =
      std::chrono::duration_cast<std::chrono::seconds>(BootClock::now() - generator.start_);
  std::fprintf(
      stderr, "%lld s: sent %llu, pending %llu, answered %llu, of these in the last second %llu\n",
      static_cast<long long>(elapsed.count()), static_cast<unsigned long long>(report.sent_),
      static_cast<unsigned long long>(report.sent_ - report.ended_),
      static_cast<unsigned long long>(report.answered_),
      static_cast<unsigned long long>(report.answered_ - generator.answered_at_last_progress_));
  generator.answered_at_last_progress_ = report.answered_;
}

int Run(LoadPlan plan, const std::string& output) {
  Generator generator;
  generator.plan_ = std::move(plan);
  generator.random_.seed(generator.plan_.seed_);
  generator.output_.open(output);
  generator.start_ = BootClock::now();
  generator.loop_.StartRepeatingTimer(kSendInterval, [&] { SendDueRequests(generator); });
  generator.loop_.StartRepeatingTimer(kProgressInterval, [&] { PrintProgress(generator); });
  generator.loop_.Run();
  std::printf("%s\n", Summarize(generator.report_, BootClock::now()).c_str());
  if (!generator.output_.flush()) {
    std::fprintf(stderr, "cannot write the results to %s\n", output.c_str());
    return 1;
  }
  return 0;
}

}  // namespace
}  // namespace sassafrasbay::stand_ins

int main(int argc, const char** argv) {
  signal(SIGPIPE, SIG_IGN);
  sassafrasbay::stand_ins::OptionText plan_option;
  sassafrasbay::stand_ins::OptionText output_option;
  const poptOption table[] = {
      {"plan", 0, POPT_ARG_STRING, plan_option.Target(), 0, "JSON file, see load_plan.h", "FILE"},
      {"output", 0, POPT_ARG_STRING, output_option.Target(), 0,
       "file for the results, one line of JSON per request", "FILE"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext("load_generator", argc, argv, table, 0);
  const int code = poptGetNextOpt(context);
  poptFreeContext(context);
  const std::string plan_file = plan_option.Value();
  const std::string output = output_option.Value();
  if (code < -1 || plan_file.empty() || output.empty()) {
    std::fprintf(stderr, "--plan and --output are required; see --help\n");
    return 2;
  }
  std::ifstream stream(plan_file);
  const std::string text(std::istreambuf_iterator<char>(stream), {});
  auto plan = sassafrasbay::stand_ins::ParseLoadPlan(text);
  if (!plan) {
    std::fprintf(stderr, "%s: %s\n", plan_file.c_str(), ToString(plan.error()).c_str());
    return 2;
  }
  return sassafrasbay::stand_ins::Run(std::move(plan).value(), output);
}
