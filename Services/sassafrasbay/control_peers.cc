#include "control_peers.h"

#include <utility>

#include "LibCore/logging.h"
#include "LibRouting/message_codec.h"

namespace sassafrasbay {

ControlPeers::ControlPeers(ReactorLoop& loop, SharedState& shared) : loop_(loop), shared_(shared) {}

Result<void> ControlPeers::Listen(MessageHandler handler) {
  PeerEvents events;
  events.on_frame_ = [this, handler = std::move(handler)](ConnectionId connection,
                                                          std::string_view frame) {
    auto message = DecodeControlMessage(frame);
    if (!message) {
      shared_.metrics_.Count("sassafrasbay_peer_frames_rejected_total");
      LogWarning("peers", "Dropped a control frame that can't be decoded: " +
                              ToString(message.error()) + ".");
      return;
    }
    handler(connection, std::move(message.value()));
  };
  events.on_closed_ = [this](ConnectionId connection, const Error&) {
    std::erase_if(connections_by_address_,
                  [connection](const auto& item) { return item.second == connection; });
  };
  const Endpoint& endpoint = shared_.settings_.control_;
  auto network = PeerNetworkBuilder(loop_)
                     .Listen(endpoint.host_, endpoint.port_)
                     .MaxFrameBytes(kMaxFrameBytes)
                     .ConnectTimeout(shared_.settings_.lease_ / 2)
                     .Events(std::move(events))
                     .Build();
  if (!network) {
    return network.error();
  }
  network_ = std::move(network.value());
  return boost::outcome_v2::success();
}

void ControlPeers::Send(std::string_view address, const ControlMessage& message) {
  auto found = connections_by_address_.find(address);
  if (found == connections_by_address_.end()) {
    found = connections_by_address_.emplace(address, network_->Connect(address)).first;
  }
  const std::string frame = Encode(message);
  shared_.metrics_.Count("sassafrasbay_control_bytes_sent_total", {}, frame.size());
  if (!network_->Send(found->second, frame)) {
    connections_by_address_.erase(found);
  }
}

void ControlPeers::Reply(ConnectionId connection, const ControlMessage& message) {
  const std::string frame = Encode(message);
  shared_.metrics_.Count("sassafrasbay_control_bytes_sent_total", {}, frame.size());
  network_->Send(connection, frame);
}

}  // namespace sassafrasbay
