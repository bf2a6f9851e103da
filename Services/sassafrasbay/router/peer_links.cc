#include "router/peer_links.h"

#include <algorithm>
#include <utility>

#include "LibCore/logging.h"
#include "LibRouting/link_admission.h"

namespace sassafrasbay {
namespace {

constexpr std::string_view kPart = "peers";

constexpr std::size_t kMaxFrameBytes = 72U << 20U;  ///< Above the default limit on bodies.
constexpr milliseconds kConnectTimeout{500};        ///< Many times the round trip between regions.

/// Part of the process's descriptors that accepted connections of peers may take. The smallest VMs
/// have 4,100, a quarter of which is enough for 740 nodes.
constexpr std::size_t kAcceptedDescriptorsDivisor = 4;
constexpr std::size_t kMinAcceptedConnections = 64;

/// 0, no limit, if the settings state no number of descriptors.
std::size_t MaxAcceptedConnections(std::size_t max_descriptors) {
  return max_descriptors == 0
             ? 0
             : std::max(kMinAcceptedConnections, max_descriptors / kAcceptedDescriptorsDivisor);
}

/// Backoff before a closed connection is opened again, so that a dead node causes few connects.
constexpr milliseconds kReconnectBackoff{100};

/// A connection that lasted as long is opened again without a backoff.
constexpr milliseconds kMinConnectionTime{200};

/// Interval between the first two trials of a peer that answers on no connection. It doubles with
/// each trial, since handshakes are work for a VM that is only slow.
constexpr milliseconds kMinTrialInterval{1000};
constexpr milliseconds kMaxTrialInterval{8000};

/// Time after which a connection to a peer that answers on no connection is given up. Paused
/// processes go on with what they have received, so this exceeds the deadlines of requests.
constexpr milliseconds kUnreachableTimeout{30'000};

milliseconds MillisecondsSince(BootTime time) {
  return std::chrono::duration_cast<milliseconds>(BootClock::now() - time);
}

}  // namespace

PeerLinks::PeerLinks(ReactorLoop& loop, RouterShared& shared) : loop_(loop), shared_(shared) {}

Result<void> PeerLinks::Listen(Hooks hooks) {
  hooks_ = std::move(hooks);
  PeerEvents events;
  events.on_open_ = [this](ConnectionId id) { OnOpen(id); };
  events.on_frame_ = [this](ConnectionId id, std::string_view frame) { OnFrame(id, frame); };
  events.on_closed_ = [this](ConnectionId id, const Error& error) { OnClosed(id, error); };
  events.on_pong_ = [this](ConnectionId id) { OnPong(id); };
  const platform::ListenAddress& address = shared_.environment_.peers_;
  auto network =
      PeerNetworkBuilder(loop_)
          .Listen(address.host_, address.port_)
          .MaxFrameBytes(kMaxFrameBytes)
          .ConnectTimeout(kConnectTimeout)
          .MaxAcceptedConnections(MaxAcceptedConnections(shared_.environment_.max_descriptors_))
          .LinkBytesPerSecond(shared_.environment_.link_bytes_per_second_)
          .Events(std::move(events))
          .Build();
  if (!network) {
    return network.error();
  }
  network_ = std::move(network.value());
  return boost::outcome_v2::success();
}

ConnectionId PeerLinks::Connect(const std::string& address) {
  const ConnectionId connection = network_->Connect(address);
  address_by_connection_.emplace(connection, address);
  return connection;
}

void PeerLinks::SendIntroduction(ConnectionId connection) {
  network_->Send(connection,
                 EncodeNodeMessage(Introduction{shared_.self_, shared_.incarnation_id_}));
}

ConnectionId PeerLinks::Send(const std::string& address, const NodeMessage& message) {
  auto found = links_.find(address);
  if (found == links_.end()) {
    if (const auto backoff = backoff_until_.find(address);
        backoff != backoff_until_.end() && BootClock::now() < backoff->second) {
      return 0;
    }
    found = links_.emplace(address, Link{}).first;
    found->second.connection_ = Connect(address);
    SendIntroduction(found->second.connection_);
  }
  Link& link = found->second;
  if (std::holds_alternative<ForwardedRequest>(message)) {
    RecordRequest(link.liveness_, BootClock::now());
  }
  return network_->Send(link.connection_, EncodeNodeMessage(message)) ? link.connection_ : 0;
}

void PeerLinks::Reply(ConnectionId connection, const NodeMessage& message) {
  ReplyFrame(connection, EncodeNodeMessage(message));
}

void PeerLinks::ReplyFrame(ConnectionId connection, std::string_view frame) {
  const bool is_bulk = frame.size() >= kBulkBytes;
  if (!(is_bulk ? network_->SendBulk(connection, frame) : network_->Send(connection, frame))) {
    shared_.metrics_.Count("sassafrasbay_peer_replies_dropped_total");
  }
}

void PeerLinks::ConfirmSent(const std::string& address, BootTime sent_at) {
  const auto found = links_.find(address);
  // What was sent earlier went over an earlier connection.
  if (found != links_.end() && found->second.open_ && sent_at > found->second.opened_at_) {
    sassafrasbay::ConfirmSent(found->second.liveness_, sent_at);
  }
}

void PeerLinks::CheckConnections(milliseconds confirmation_timeout) {
  const BootTime now = BootClock::now();
  const AwaitedAnswers awaited = hooks_.awaited_answers_();
  std::vector<ConnectionId> unreachable;
  for (auto& [address, link] : links_) {
    if (!link.open_) {
      continue;
    }
    const auto awaiting = awaited.find(link.connection_);
    const LivenessInputs inputs{
        now, network_->ProgressAt(link.connection_),
        awaiting == awaited.end() ? std::nullopt : std::optional(awaiting->second),
        confirmation_timeout};
    switch (CheckLiveness(link.liveness_, inputs)) {
      case LivenessAction::kNone:
        break;
      case LivenessAction::kProbe:
        shared_.metrics_.Count("sassafrasbay_peer_probes_total");
        network_->Ping(link.connection_);
        break;
      case LivenessAction::kSuspect:
        shared_.metrics_.Count("sassafrasbay_peer_links_suspected_total");
        LogInfo(kPart,
                "peer=" + address + " link=suspected connection=" +
                    std::to_string(link.connection_) + " unconfirmed_ms=" +
                    std::to_string(MillisecondsSince(link.liveness_.confirmed_at_).count()) +
                    " silent_ms=" + std::to_string(MillisecondsSince(inputs.progress_at_).count()) +
                    " awaits_answers=" + (inputs.awaiting_since_ ? "true" : "false") + ".");
        break;
    }
    if (!link.liveness_.suspected_) {
      continue;
    }
    if (now - *link.liveness_.probed_at_ > kUnreachableTimeout) {
      unreachable.push_back(link.connection_);
    } else if (link.trial_ == 0 && now >= link.next_trial_at_) {
      link.trial_interval_ =
          std::clamp(2 * link.trial_interval_, kMinTrialInterval, kMaxTrialInterval);
      link.next_trial_at_ = now + link.trial_interval_;
      link.trial_ = Connect(address);
    }
  }
  for (const ConnectionId connection : unreachable) {
    network_->Reset(connection);
    OnClosed(connection, MakeError(Errc::kTimedOut, "probe of peer", {}, "no answer to probes"));
  }
}

void PeerLinks::OnOpen(ConnectionId connection) {
  const auto found = address_by_connection_.find(connection);
  if (found == address_by_connection_.end()) {
    return;  // Opened by a peer.
  }
  const std::string address = found->second;
  Link& link = links_.at(address);
  if (link.trial_ == connection) {
    ReplaceByTrial(address, link);
    return;
  }
  link.open_ = true;
  link.opened_at_ = BootClock::now();
  link.liveness_.confirmed_at_ = link.opened_at_;
}

// The peer answers on the new connection and not on the old one, on which the probe was sent
// earlier. So it is neither down nor paused.
void PeerLinks::ReplaceByTrial(const std::string& address, Link& link) {
  const ConnectionId silent = link.connection_;
  shared_.metrics_.Count("sassafrasbay_peer_links_replaced_total");
  LogInfo(kPart, "peer=" + address + " link=replaced connection=" + std::to_string(silent) +
                     " by=" + std::to_string(link.trial_) + " unconfirmed_ms=" +
                     std::to_string(MillisecondsSince(link.liveness_.confirmed_at_).count()) + ".");
  address_by_connection_.erase(silent);
  network_->Reset(silent);
  link = {.connection_ = link.trial_, .open_ = true, .opened_at_ = BootClock::now()};
  link.liveness_.confirmed_at_ = link.opened_at_;
  SendIntroduction(link.connection_);
  hooks_.on_replaced_(address, silent);
}

void PeerLinks::OnPong(ConnectionId connection) {
  const auto found = address_by_connection_.find(connection);
  if (found == address_by_connection_.end()) {
    return;
  }
  Link& link = links_.at(found->second);
  if (link.connection_ != connection) {
    return;
  }
  if (RecordProbeAnswer(link.liveness_, BootClock::now())) {
    LogInfo(kPart,
            "peer=" + found->second + " link=confirmed connection=" + std::to_string(connection) +
                " probe_timeout_ms=" + std::to_string(link.liveness_.probe_timeout_.count()) + ".");
  }
  link.trial_interval_ = {};
  EndTrial(link);
}

void PeerLinks::EndTrial(Link& link) {
  if (link.trial_ != 0) {
    address_by_connection_.erase(link.trial_);
    network_->Close(std::exchange(link.trial_, 0));
  }
}

void PeerLinks::OnFrame(ConnectionId connection, std::string_view frame) {
  auto message = DecodeNodeMessage(frame);
  if (!message) {
    shared_.metrics_.Count("sassafrasbay_peer_frames_rejected_total");
    LogWarning(kPart, "frame from a peer ignored reason=\"" + ToString(message.error()) + "\".");
    return;
  }
  if (std::holds_alternative<Introduction>(message.value())) {
    network_->ConfirmPeer(connection);
  }
  hooks_.on_message_(connection, std::move(message.value()));
}

void PeerLinks::OnClosed(ConnectionId connection, const Error& error) {
  const auto found = address_by_connection_.find(connection);
  if (found == address_by_connection_.end()) {
    hooks_.on_incoming_closed_(connection);
    return;
  }
  const std::string address = found->second;
  address_by_connection_.erase(found);
  Link& link = links_.at(address);
  if (link.trial_ == connection) {
    link.trial_ = 0;
    LogInfo(kPart, "peer=" + address + " link=unreachable connection=" +
                       std::to_string(link.connection_) + " reason=\"" + ToString(error) + "\".");
    return;
  }
  EndTrial(link);
  const bool was_open = link.open_;
  if (!was_open || MillisecondsSince(link.opened_at_) < kMinConnectionTime) {
    backoff_until_[address] = BootClock::now() + kReconnectBackoff;
  }
  links_.erase(address);
  shared_.metrics_.Count("sassafrasbay_peer_links_lost_total");
  LogInfo(kPart, "peer=" + address + " link=lost connection=" + std::to_string(connection) +
                     " was_open=" + (was_open ? "true" : "false") + " reason=\"" + ToString(error) +
                     "\".");
  hooks_.on_outgoing_closed_(address, connection, was_open);
}

}  // namespace sassafrasbay
