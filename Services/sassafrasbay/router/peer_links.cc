#include "router/peer_links.h"

#include <utility>

#include "LibCore/logging.h"
#include "LibRouting/link_admission.h"

namespace sassafrasbay {
namespace {

constexpr std::string_view kPart = "peers";

constexpr std::size_t kMaxFrameBytes = 72U << 20U;  ///< Above the default limit on bodies.
constexpr milliseconds kConnectTimeout{500};        ///< Many times the round trip between regions.

/// Backoff before a closed connection is opened again, so that a dead node causes few connects.
constexpr milliseconds kReconnectBackoff{100};

/// Interval at which a replaced connection is checked for answers that are still due.
constexpr milliseconds kAnswerCheckInterval{500};

}  // namespace

PeerLinks::PeerLinks(ReactorLoop& loop, RouterShared& shared) : loop_(loop), shared_(shared) {}

Result<void> PeerLinks::Listen(Hooks hooks) {
  hooks_ = std::move(hooks);
  PeerEvents events;
  events.on_frame_ = [this](ConnectionId id, std::string_view frame) { OnFrame(id, frame); };
  events.on_closed_ = [this](ConnectionId id, const Error& error) { OnClosed(id, error); };
  const platform::ListenAddress& address = shared_.environment_.peers_;
  auto network = PeerNetworkBuilder(loop_)
                     .Listen(address.host_, address.port_)
                     .MaxFrameBytes(kMaxFrameBytes)
                     .ConnectTimeout(kConnectTimeout)
                     .LinkBytesPerSecond(shared_.environment_.link_bytes_per_second_)
                     .Events(std::move(events))
                     .Build();
  if (!network) {
    return network.error();
  }
  network_ = std::move(network.value());
  return boost::outcome_v2::success();
}

ConnectionId PeerLinks::Send(const std::string& address, const NodeMessage& message) {
  auto found = connection_by_address_.find(address);
  if (found == connection_by_address_.end()) {
    if (const auto backoff = backoff_until_.find(address);
        backoff != backoff_until_.end() && BootClock::now() < backoff->second) {
      return 0;
    }
    const ConnectionId connection = network_->Connect(address);
    found = connection_by_address_.emplace(address, connection).first;
    address_by_connection_.emplace(connection, address);
  }
  return network_->Send(found->second, EncodeNodeMessage(message)) ? found->second : 0;
}

void PeerLinks::Reply(ConnectionId connection, const NodeMessage& message) {
  const std::string frame = EncodeNodeMessage(message);
  const bool is_bulk = frame.size() >= kBulkBytes;
  if (!(is_bulk ? network_->SendBulk(connection, frame) : network_->Send(connection, frame))) {
    shared_.metrics_.Count("sassafrasbay_peer_replies_dropped_total");
  }
}

void PeerLinks::Replace(const std::string& address) {
  const auto found = connection_by_address_.find(address);
  if (found == connection_by_address_.end()) {
    return;
  }
  const ConnectionId connection = found->second;
  connection_by_address_.erase(found);
  if (hooks_.awaits_answers_(connection)) {
    shared_.metrics_.Count("sassafrasbay_peer_links_replaced_total");
    LogInfo(kPart, "peer=" + address + " link=replaced reason=\"no report within the suspicion " +
                       "timeout\"; answers are still due on the old one.");
  }
  CloseWhenAnswered(connection);
}

void PeerLinks::CloseWhenAnswered(ConnectionId connection) {
  const auto found = address_by_connection_.find(connection);
  if (found == address_by_connection_.end()) {
    return;
  }
  if (hooks_.awaits_answers_(connection)) {
    loop_.StartTimer(kAnswerCheckInterval, [this, connection] { CloseWhenAnswered(connection); });
    return;
  }
  const Error error = MakeError(Errc::kTimedOut, "report of peer", found->second,
                                "no report received within the suspicion timeout");
  network_->Close(connection);
  OnClosed(connection, error);
}

void PeerLinks::OnFrame(ConnectionId connection, std::string_view frame) {
  auto message = DecodeNodeMessage(frame);
  if (!message) {
    shared_.metrics_.Count("sassafrasbay_peer_frames_rejected_total");
    LogWarning(kPart, "frame from a peer ignored reason=\"" + ToString(message.error()) + "\".");
    return;
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
  const auto current = connection_by_address_.find(address);
  if (current == connection_by_address_.end() || current->second == connection) {
    connection_by_address_.erase(address);
    backoff_until_[address] = BootClock::now() + kReconnectBackoff;
  }
  shared_.metrics_.Count("sassafrasbay_peer_links_lost_total");
  LogInfo(kPart, "peer=" + address + " link=lost reason=\"" + ToString(error) + "\".");
  hooks_.on_outgoing_closed_(address, connection);
}

}  // namespace sassafrasbay
