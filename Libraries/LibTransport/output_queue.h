#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <string>

#include "LibCore/http_message.h"
#include "LibTransport/response_head.h"

namespace sassafrasbay {

/// Responses in the order in which they are sent on a connection.
class OutputQueue {
 public:
  /// Adds a response. Its body is moved, not copied, unless it is small.
  void Add(HttpResponse response, const ResponseFraming& framing);
  /// Adds an interim response.
  void AddText(std::string_view text);
  /// Sends with one system call, also several responses. Returns the number of bytes sent, 0 when
  /// the socket takes none, or -1 when the connection has failed.
  std::ptrdiff_t Send(int socket);
  bool IsEmpty() const { return pieces_.empty(); }
  /// Bytes of memory, including those of a partly sent body that have been sent.
  std::size_t HeldBytes() const { return bytes_ + offset_; }
  /// Number of responses that have been sent completely since the last call.
  std::size_t TakeSentCount();
  /// Number of responses that have not been sent completely.
  std::size_t UnsentCount() const { return ends_.size(); }

 private:
  std::string& OpenPiece();
  void OnSent(std::size_t bytes);

  std::list<std::string> pieces_;
  std::size_t offset_ = 0;  // Bytes of the first piece that have been sent.
  std::size_t bytes_ = 0;   // That have not been sent.
  std::uint64_t added_total_ = 0;
  std::uint64_t sent_total_ = 0;
  std::list<std::uint64_t> ends_;  // Of each response, as a count of all bytes before its end.
  std::size_t sent_count_ = 0;
};

}  // namespace sassafrasbay
