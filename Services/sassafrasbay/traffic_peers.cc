#include "traffic_peers.h"

#include <utility>
#include <vector>

#include "LibCore/logging.h"
#include "LibRouting/message_codec.h"

namespace sassafrasbay {
namespace {

constexpr std::string_view kPart = "peers";

template <typename T>
constexpr bool kIsReply = std::is_same_v<T, Answer> || std::is_same_v<T, CopyAck> ||
                          std::is_same_v<T, TableReply> || std::is_same_v<T, HandoverAck>;

/// Number of the request that the message replies to; 0 when the message isn't a reply.
std::uint64_t RequestNumberOfReply(const TrafficMessage& message) {
  return std::visit(
      [](const auto& body) -> std::uint64_t {
        if constexpr (kIsReply<std::decay_t<decltype(body)>>) {
          return body.number_;
        } else {
          return 0;
        }
      },
      message);
}

void SetNumber(TrafficMessage& message, std::uint64_t number) {
  std::visit(
      [number](auto& body) {
        if constexpr (requires { body.number_; }) {
          body.number_ = number;
        }
      },
      message);
}

}  // namespace

TrafficPeers::TrafficPeers(ReactorLoop& loop, SharedState& shared) : loop_(loop), shared_(shared) {}

Result<void> TrafficPeers::Listen(MessageHandler handler) {
  handler_ = std::move(handler);
  PeerEvents events;
  events.on_frame_ = [this](ConnectionId id, std::string_view frame) { OnFrame(id, frame); };
  events.on_closed_ = [this](ConnectionId id, const Error& error) { OnClosed(id, error); };
  const Endpoint& endpoint = shared_.settings_.traffic_;
  auto network = PeerNetworkBuilder(loop_)
                     .Listen(endpoint.host_, endpoint.port_)
                     .MaxFrameBytes(kMaxFrameBytes)
                     .Events(std::move(events))
                     .Build();
  if (!network) {
    return network.error();
  }
  network_ = std::move(network.value());
  return boost::outcome_v2::success();
}

std::uint64_t TrafficPeers::Request(std::string_view address, TrafficMessage message,
                                    milliseconds timeout, ReplyHandler handler) {
  const std::uint64_t number = next_number_++;
  SetNumber(message, number);
  const ConnectionId connection = ConnectionTo(address);
  OpenRequest open{connection, 0, std::move(handler)};
  if (timeout.count() > 0) {
    open.timer_ = loop_.StartTimer(timeout, [this, number, peer = std::string(address)] {
      Finish(number,
             MakeError(Errc::kTimedOut, "peer request", peer, "no reply within the timeout"));
    });
  }
  open_requests_.emplace(number, std::move(open));
  if (!network_->Send(connection, Encode(message))) {
    loop_.Post([this, number, peer = std::string(address)] {
      Finish(number, MakeError(Errc::kConnectionLost, "peer request", peer,
                               "the connection is closed or its send queue is full"));
    });
  }
  return number;
}

void TrafficPeers::DropRequest(std::uint64_t number) {
  const auto found = open_requests_.find(number);
  if (found == open_requests_.end()) {
    return;
  }
  loop_.CancelTimer(found->second.timer_);
  open_requests_.erase(found);
}

void TrafficPeers::Reply(ConnectionId connection, const TrafficMessage& message) {
  if (!network_->Send(connection, Encode(message))) {
    shared_.metrics_.Count("sassafrasbay_peer_replies_dropped_total");
  }
}

void TrafficPeers::Notify(std::string_view address, const TrafficMessage& message) {
  network_->Send(ConnectionTo(address), Encode(message));
}

ConnectionId TrafficPeers::ConnectionTo(std::string_view address) {
  const auto found = connections_by_address_.find(address);
  if (found != connections_by_address_.end()) {
    return found->second;
  }
  const ConnectionId connection = network_->Connect(address);
  connections_by_address_.emplace(address, connection);
  addresses_by_connection_.emplace(connection, address);
  return connection;
}

void TrafficPeers::OnFrame(ConnectionId connection, std::string_view frame) {
  auto message = DecodeTrafficMessage(frame);
  if (!message) {
    shared_.metrics_.Count("sassafrasbay_peer_frames_rejected_total");
    LogWarning(kPart, "Dropped an undecodable frame of a peer: " + ToString(message.error()) + ".");
    return;
  }
  const std::uint64_t number = RequestNumberOfReply(message.value());
  if (number == 0) {
    handler_(connection, std::move(message.value()));
    return;
  }
  const auto found = open_requests_.find(number);
  // A request number is valid only on the connection over which it was sent. Any other reply is
  // late or belongs to another connection and must not complete a different request.
  if (found == open_requests_.end() || found->second.connection_ != connection) {
    shared_.metrics_.Count("sassafrasbay_peer_replies_unmatched_total");
    return;
  }
  Finish(number, std::move(message.value()));
}

void TrafficPeers::OnClosed(ConnectionId connection, const Error& error) {
  const auto address = addresses_by_connection_.find(connection);
  if (address != addresses_by_connection_.end()) {
    connections_by_address_.erase(address->second);
    addresses_by_connection_.erase(address);
  }
  std::vector<std::uint64_t> lost;
  for (const auto& [number, open] : open_requests_) {
    if (open.connection_ == connection) {
      lost.push_back(number);
    }
  }
  for (const std::uint64_t number : lost) {
    Finish(number, error);
  }
}

void TrafficPeers::Finish(std::uint64_t number, Result<TrafficMessage> result) {
  const auto found = open_requests_.find(number);
  if (found == open_requests_.end()) {
    return;
  }
  OpenRequest open = std::move(found->second);
  open_requests_.erase(found);
  loop_.CancelTimer(open.timer_);
  open.handler_(std::move(result));
}

}  // namespace sassafrasbay
