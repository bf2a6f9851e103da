#include <utility>

#include "LibCore/logging.h"
#include "router/traffic_thread.h"

namespace sassafrasbay {
namespace {

constexpr std::string_view kPart = "traffic";

/// Time after SIGTERM in which callers learn from two failed readiness checks, one second apart, to
/// use other nodes.
constexpr milliseconds kCallerDrainDelay{2300};

/// Time before the end in which open requests are given up, so that their answers still leave. It
/// lies in the last sixth of the grace period, before which no request may be broken off.
constexpr milliseconds kFinalAnswerTime{200};

/// Time for which the process stays idle before it ends. Answers to other nodes are in the sockets
/// by then.
constexpr milliseconds kFlushTime{100};

constexpr milliseconds kIdlePollInterval{20};

}  // namespace

void TrafficThread::ShutDown(milliseconds limit, std::function<void()> done) {
  loop_.Post([this, limit, done = std::move(done)] {
    const BootTime now = BootClock::now();
    SetShutdownLimit(now + limit);
    if (std::exchange(leaving_, true)) {
      return;
    }
    // Callers that keep their connections learn from the next response to use other nodes.
    callers_->CloseAfterResponses();
    SendReports();
    ShutDownWhenIdle(now + kCallerDrainDelay, done);
  });
}

void TrafficThread::SetShutdownLimit(BootTime end) {
  shutdown_end_ = end;
  router_.SetShutdownDeadline(end - kFinalAnswerTime);
  gate_.SetShutdownDeadline(end - kFinalAnswerTime);
}

bool TrafficThread::IsIdle() const {
  return router_.IsIdle() && gate_.IsIdle() && callers_->OpenExchanges() == 0 &&
         links_.PendingBulkBytes() == 0;
}

void TrafficThread::ShutDownWhenIdle(BootTime earliest, const std::function<void()>& done) {
  const BootTime now = BootClock::now();
  // Callers may continue to connect when few nodes of a data centre are ready. From here on new
  // connections and new requests at the gate are refused, so that the open ones can end.
  if (now > earliest && !stopped_accepting_) {
    stopped_accepting_ = true;
    callers_->StopAccepting();
    router_.RefuseLongRequests();
    gate_.StopAdmitting();
    // Other nodes then stop sending, so that no request arrives while this process ends.
    SendReports();
  }
  if (now > shutdown_end_ - kFinalAnswerTime) {
    router_.AnswerOpenRequests();
  }
  if (!IsIdle()) {
    busy_at_ = now;
  }
  const bool idle = now - busy_at_ > kFlushTime;
  if (now > shutdown_end_ || (now > earliest && idle)) {
    LogInfo(kPart, std::string("leaving idle=") + (idle ? "true" : "false") +
                       " open_exchanges=" + std::to_string(callers_->OpenExchanges()) +
                       " pending_bulk_bytes=" + std::to_string(links_.PendingBulkBytes()) + ".");
    // Stopped before `done`, so that no further request is read from a kept-alive connection.
    loop_.Stop();
    done();
    return;
  }
  loop_.StartTimer(kIdlePollInterval, [this, earliest, done] { ShutDownWhenIdle(earliest, done); });
}

}  // namespace sassafrasbay
