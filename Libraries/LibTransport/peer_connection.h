#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "LibTransport/peer_network.h"
#include "LibTransport/websocket_session.h"

namespace sassafrasbay {

/// One connection of a PeerNetwork.
struct PeerConnection {
  ConnectionId id_ = 0;
  std::string address_;
  int socket_ = -1;
  bool connecting_ = false;
  bool open_ = false;
  bool accepted_ = false;  ///< Opened by the other side.
  bool closed_ = false;
  bool closed_locally_ = false;
  bool flush_posted_ = false;
  bool wants_write_ = false;
  std::unique_ptr<WebsocketSession> session_;
  std::vector<std::string> pending_frames_;  ///< Frames queued until the session opens.
  std::size_t pending_frame_bytes_ = 0;
  std::string output_;
  std::size_t output_start_ = 0;
  /// Offset in the output before which it belongs to a bulk frame; 0 without one.
  std::size_t bulk_end_ = 0;
  BootTime progress_at_{};  ///< See PeerNetwork::ProgressAt.
  ReactorLoop::TimerId open_timer_ = 0;
};

using PeerConnectionPointer = std::shared_ptr<PeerConnection>;

/// Bytes accepted by Send that have not been written to the socket.
inline std::size_t QueuedBytes(const PeerConnection& connection) {
  return connection.pending_frame_bytes_ + connection.output_.size() - connection.output_start_;
}

}  // namespace sassafrasbay
