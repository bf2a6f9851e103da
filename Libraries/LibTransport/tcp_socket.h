#pragma once

#include <cstdint>
#include <string_view>

#include "LibCore/error.h"

namespace sassafrasbay {

/// Opens a non-blocking listening TCP socket on a numeric host; port 0 selects a free port.
Result<int> OpenListenSocket(std::string_view host, std::uint16_t port);

/// Starts a non-blocking connect to "host:port" or "[host]:port" with a numeric host.
Result<int> OpenConnectingSocket(std::string_view address);

/// Port that the socket is bound to; 0 on failure.
std::uint16_t BoundPort(int socket);

/// Disables Nagle's algorithm, which delays small messages while earlier data is unacknowledged.
void SetNoDelay(int socket);

/// Makes the close of the socket reset its connection, which drops all bytes not yet acknowledged.
void ResetOnClose(int socket);

/// Converts an errno value into an Error with its operation and peer.
Error SystemError(int error_number, std::string_view operation, std::string_view peer);

}  // namespace sassafrasbay
