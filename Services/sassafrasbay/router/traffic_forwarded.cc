#include <algorithm>
#include <utility>
#include <vector>

#include "LibCore/logging.h"
#include "LibOwnership/report_timing.h"
#include "router/traffic_thread.h"

namespace sassafrasbay {
namespace {

constexpr std::string_view kPart = "traffic";

/// Report intervals in which a sound connection confirms a report: every other one goes over it,
/// and the next one of the peer confirms it.
constexpr int kConfirmationIntervals = 3;

/// Added for the interval between checks, which delays each report, and for the network.
constexpr milliseconds kConfirmationSlack{500};

/// A connection of a peer on which nothing arrives for so many report intervals is dropped; its
/// sender is gone, or uses another one.
constexpr int kMaxSilentIntervals = 20;
constexpr milliseconds kMinIncomingTimeout{30'000};

std::uint32_t TimeLeft(std::uint32_t left_ms, milliseconds passed) {
  return static_cast<std::uint32_t>(std::max<milliseconds::rep>(0, left_ms - passed.count()));
}

}  // namespace

// Answers go to the newest connection of a sender. Nothing may be read from an earlier one any
// more: an attempt on it that the sender has sent again, and given up meanwhile, would run later.
void TrafficThread::OnIntroduction(ConnectionId connection, const Introduction& introduction) {
  IncomingLink& link = incoming_[introduction.address_];
  // Connections are numbered as they are accepted. An introduction can come late, of a process that
  // has been replaced by another one.
  if (connection < link.connection_) {
    LogInfo(kPart, "peer=" + introduction.address_ +
                       " incoming=outdated connection=" + std::to_string(connection) +
                       " newest=" + std::to_string(link.connection_) + ".");
    links_.DropIncoming(connection);
    OnIncomingClosed(connection);
    return;
  }
  if (link.connection_ != 0 && link.connection_ != connection) {
    LogInfo(kPart, "peer=" + introduction.address_ +
                       " incoming=replaced connection=" + std::to_string(link.connection_) +
                       " by=" + std::to_string(connection) + " same_process=" +
                       (link.incarnation_ == introduction.incarnation_ ? "true" : "false") + ".");
    links_.DropIncoming(link.connection_);
    origins_.erase(link.connection_);
    DetachConnection(attempts_, link.connection_, BootClock::now());
  }
  if (link.incarnation_ != introduction.incarnation_) {
    for (const UpstreamGate::RequestNumber number :
         TakeAttemptsOf(attempts_, link.incarnation_, BootClock::now())) {
      gate_.Cancel(number);
    }
  }
  link = {connection, introduction.incarnation_};
  origins_[connection] = introduction.incarnation_;
}

std::string TrafficThread::OriginOf(ConnectionId connection) const {
  const auto origin = origins_.find(connection);
  return origin == origins_.end() ? "connection-" + std::to_string(connection) : origin->second;
}

milliseconds TrafficThread::TransitTimeOf(ConnectionId connection,
                                          const ForwardedRequest& request) const {
  const auto clock = transit_clocks_.find(OriginOf(connection));
  return clock == transit_clocks_.end() || !request.clock_ms_
             ? milliseconds(0)
             : TransitTime(clock->second, *request.clock_ms_, BootClock::now());
}

void TrafficThread::OnForwarded(ConnectionId connection, ForwardedRequest request) {
  const milliseconds transit = TransitTimeOf(connection, request);
  shared_.metrics_.Observe("sassafrasbay_forwarded_transit_ms", {},
                           static_cast<double>(transit.count()));
  request.remaining_ms_ = TimeLeft(request.remaining_ms_, transit);
  request.objective_ms_ = TimeLeft(request.objective_ms_, transit);
  const AttemptKey key{OriginOf(connection), request.number_};
  const Arrival arrival =
      RecordArrival(attempts_, key, connection, request.sent_before_to_, shared_.incarnation_id_);
  if (request.sent_before_to_) {
    shared_.metrics_.Count("sassafrasbay_forwarded_again_total",
                           "found=\"" + std::string(ToString(arrival.kind_)) + "\"");
    LogInfo(kPart, "request=" + request.request_id_ +
                       " sent_again found=" + std::string(ToString(arrival.kind_)) +
                       " connection=" + std::to_string(connection) + ".");
  }
  switch (arrival.kind_) {
    case ArrivalKind::kJoined:
      return;
    case ArrivalKind::kAnswered:
      links_.ReplyFrame(connection, arrival.answer_);
      return;
    case ArrivalKind::kUnknown: {
      ForwardedAnswer unknown;
      unknown.number_ = request.number_;
      unknown.load_ = gate_.Load();
      links_.Reply(connection, unknown);
      return;
    }
    case ArrivalKind::kNew:
      break;
  }
  const UpstreamGate::RequestNumber number =
      gate_.Submit(std::move(request), [this, key](const ForwardedAnswer& answer) {
        std::string frame = EncodeNodeMessage(answer);
        if (const ConnectionId receiver = AnswerConnection(attempts_, key)) {
          links_.ReplyFrame(receiver, frame);
        }
        RecordAnswer(attempts_, key, std::move(frame), BootClock::now());
      });
  RecordSubmitted(attempts_, key, number);
}

void TrafficThread::OnCancelled(ConnectionId connection, const CancelForwarded& cancel) {
  gate_.Cancel(RemoveCancelled(attempts_, {OriginOf(connection), cancel.number_}));
}

// The sender may have lost only the connection.
void TrafficThread::OnIncomingClosed(ConnectionId connection) {
  DetachConnection(attempts_, connection, BootClock::now());
  origins_.erase(connection);
  std::erase_if(incoming_,
                [connection](const auto& entry) { return entry.second.connection_ == connection; });
}

void TrafficThread::CheckConnections() {
  if (snapshot_ == nullptr) {
    return;
  }
  const milliseconds interval = ReportInterval(NodeCount(), false);
  links_.CheckConnections(kConfirmationIntervals * interval + kConfirmationSlack);
  const BootTime now = BootClock::now();
  const milliseconds timeout = std::max(kMinIncomingTimeout, kMaxSilentIntervals * interval);
  std::vector<ConnectionId> silent;
  for (const auto& [address, link] : incoming_) {
    if (now - links_.ProgressAt(link.connection_) > timeout) {
      LogInfo(kPart, "peer=" + address + " incoming=dropped connection=" +
                         std::to_string(link.connection_) + " reason=\"nothing received\".");
      silent.push_back(link.connection_);
    }
  }
  for (const ConnectionId connection : silent) {
    links_.DropIncoming(connection);
    OnIncomingClosed(connection);
  }
  for (const UpstreamGate::RequestNumber number : TakeAbandoned(attempts_, now)) {
    gate_.Cancel(number);
  }
}

}  // namespace sassafrasbay
