// Sends requests to several nodes at a fixed rate, whatever the answers, and reports what callers
// saw.

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
  std::uint64_t answered_before_ = 0;  ///< At the last progress line.
};

/// A request under way.
struct Flight {
  PlannedRequest planned_;
  BootTime due_;
  LoadResult result_;
};

milliseconds TimeLeft(const Flight& flight) {
  return std::chrono::duration_cast<milliseconds>(flight.due_ + flight.planned_.class_->deadline_ -
                                                  BootClock::now());
}

void StopWhenDone(Generator& generator) {
  if (generator.all_sent_ && generator.report_.ended_ == generator.report_.sent_) {
    generator.loop_.Stop();
  }
}

void EndFlight(Generator& generator, Flight& flight) {
  const BootTime now = BootClock::now();
  flight.result_.latency_ms_ = std::chrono::duration<double, std::milli>(now - flight.due_).count();
  flight.result_.end_ms_ = ToBootMilliseconds(now);
  CountEnd(generator.report_, flight.result_, now);
  generator.output_ << ToLine(flight.result_);
  StopWhenDone(generator);
}

void StartAttempt(Generator& generator, const std::shared_ptr<Flight>& flight);

void RecordAttempt(Flight& flight, const HttpResult& result) {
  LoadResult& record = flight.result_;
  if (result.response_) {
    const HttpResponse& response = result.response_.value();
    const std::string_view outcome = FindHeader(response.headers_, "Sassafrasbay-Outcome");
    record.outcome_ = outcome.empty() ? "missing" : outcome;
    record.status_ = response.status_;
    record.body_ok_ = IsOwnAnswer(flight.planned_, response.body_);
  } else {
    // A node that can't be reached ran nothing, but it didn't say so.
    record.outcome_ = "lost";
    record.status_ = 0;
    record.body_ok_ = false;
  }
  record.not_run_only_ &= record.outcome_ == "not-run";
}

void FinishAttempt(Generator& generator, const std::shared_ptr<Flight>& flight,
                   const HttpResult& result) {
  RecordAttempt(*flight, result);
  const milliseconds delay = generator.plan_.retry_delay_;
  if (flight->result_.outcome_ == "answered" ||
      flight->result_.attempts_ >= generator.plan_.max_attempts_ || TimeLeft(*flight) <= delay) {
    EndFlight(generator, *flight);
    return;
  }
  generator.loop_.StartTimer(delay, [&generator, flight] { StartAttempt(generator, flight); });
}

void StartAttempt(Generator& generator, const std::shared_ptr<Flight>& flight) {
  const std::vector<std::string>& nodes = generator.plan_.nodes_;
  const auto attempt = static_cast<std::size_t>(flight->result_.attempts_++);
  flight->result_.node_ = nodes[(flight->planned_.node_ + attempt) % nodes.size()];
  HttpCall call;
  call.base_url_ = "http://" + flight->result_.node_;
  call.request_ = flight->planned_.request_;
  call.timeout_ = std::max(TimeLeft(*flight), milliseconds(1));
  call.fresh_connection_ = flight->planned_.class_->binding_;
  generator.client_.Start(std::move(call), [&generator, flight](const HttpResult& result) {
    FinishAttempt(generator, flight, result);
  });
}

void StartFlight(Generator& generator, BootTime due) {
  auto flight = std::make_shared<Flight>();
  flight->due_ = due;
  flight->planned_ = PlanRequest(generator.plan_, generator.random_,
                                 std::chrono::duration_cast<milliseconds>(due - generator.start_));
  const PlannedRequest& planned = flight->planned_;
  flight->result_ = {.id_ = planned.id_,
                     .key_ = planned.key_,
                     .class_ = planned.class_->name_,
                     .binding_ = planned.class_->binding_,
                     .not_run_only_ = true};
  CountSent(generator.report_, planned.class_->name_, planned.key_, due);
  StartAttempt(generator, flight);
}

// Sends every request that has come due; late ones keep their due time, so that a stall of the
// generator or of the nodes shows up in the latencies.
void SendDue(Generator& generator) {
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
    StartFlight(generator, due);
  }
  generator.all_sent_ = now >= generator.start_ + plan.duration_;
  StopWhenDone(generator);
}

void PrintProgress(Generator& generator) {
  const LoadReport& report = generator.report_;
  const auto elapsed =
      std::chrono::duration_cast<std::chrono::seconds>(BootClock::now() - generator.start_);
  std::fprintf(stderr, "%lld s: sent %llu, open %llu, answered %llu, in the last second %llu\n",
               static_cast<long long>(elapsed.count()),
               static_cast<unsigned long long>(report.sent_),
               static_cast<unsigned long long>(report.sent_ - report.ended_),
               static_cast<unsigned long long>(report.answered_),
               static_cast<unsigned long long>(report.answered_ - generator.answered_before_));
  generator.answered_before_ = report.answered_;
}

int Run(LoadPlan plan, const std::string& output) {
  Generator generator;
  generator.plan_ = std::move(plan);
  generator.random_.seed(generator.plan_.seed_);
  generator.output_.open(output);
  generator.start_ = BootClock::now();
  generator.loop_.StartRepeatingTimer(kSendInterval, [&] { SendDue(generator); });
  generator.loop_.StartRepeatingTimer(kProgressInterval, [&] { PrintProgress(generator); });
  generator.loop_.Run();
  std::printf("%s\n", Summarize(generator.report_, BootClock::now()).c_str());
  if (!generator.output_.flush()) {
    std::fprintf(stderr, "can't write %s\n", output.c_str());
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
      {"output", 0, POPT_ARG_STRING, output_option.Target(), 0, "one line of JSON per request",
       "FILE"},
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
