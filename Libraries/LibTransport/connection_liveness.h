#pragma once

#include <cstdint>
#include <optional>

#include "LibCore/clock.h"

namespace sassafrasbay {

/// Probe timeout of a connection whose peer answers quickly.
inline constexpr milliseconds kMinProbeTimeout{300};

/// Signs of life of one connection that this node has opened. A connection can go silent for good
/// in one or both directions, without an error, while the peer is well.
struct ConnectionLiveness {
  /// Send time of the newest message on this connection that the peer is known to have received.
  BootTime confirmed_at_{};
  /// Send time of the first request since bytes last arrived; nothing without one.
  std::optional<BootTime> requested_at_;
  std::optional<BootTime> probed_at_;  ///< When the probe was sent that has no answer yet.
  milliseconds probe_timeout_ = kMinProbeTimeout;
  bool suspected_ = false;  ///< The probe has timed out.
};

/// What else is known of the connection.
struct LivenessInputs {
  BootTime now_{};
  /// When bytes last arrived, or the peer last made room for bytes that waited for it.
  BootTime progress_at_{};
  /// Send time of the oldest request on the connection that waits for an answer; nothing without
  /// one. Requests that were given up are known from RecordRequest.
  std::optional<BootTime> awaiting_since_;
  /// Maximum age of the newest confirmation on a sound connection, and of the last bytes received.
  milliseconds confirmation_timeout_{};
};

enum class LivenessAction : std::uint8_t {
  kNone,
  kProbe,    ///< Send a probe that the peer answers on the same connection.
  kSuspect,  ///< Find out over a new connection whether the peer still answers.
};

/// Decides what to do now. A connection is probed only when what was sent on it stays unconfirmed
/// or unanswered, so that a sound connection costs no messages besides its traffic.
LivenessAction CheckLiveness(ConnectionLiveness& liveness, const LivenessInputs& inputs);

/// Records that a request is sent on the connection.
void RecordRequest(ConnectionLiveness& liveness, BootTime now);

/// Records that the peer has received a message that was sent on this connection at that time.
void ConfirmSent(ConnectionLiveness& liveness, BootTime sent_at);

/// Records the answer to the probe. Returns whether the connection was suspected until now.
bool RecordProbeAnswer(ConnectionLiveness& liveness, BootTime now);

}  // namespace sassafrasbay
