#include "LibTransport/output_queue.h"

#include <sys/socket.h>
#include <sys/uio.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

namespace sassafrasbay {
namespace {

/// Bodies up to this size are copied behind their heads: cheaper than another piece.
constexpr std::size_t kCopiedBodyBytes = 4U << 10U;

/// Size up to which further responses are added to the last piece.
constexpr std::size_t kOpenPieceBytes = 16U << 10U;

constexpr std::size_t kMaxPiecesPerCall = 16;

}  // namespace

std::string& OutputQueue::OpenPiece() {
  if (pieces_.empty() || pieces_.back().size() > kOpenPieceBytes) {
    pieces_.emplace_back();
  }
  return pieces_.back();
}

void OutputQueue::Add(HttpResponse response, const ResponseFraming& framing) {
  CorrectStatus(response);
  const bool has_body = MayHaveBody(response.status_) && !framing.is_head_;
  std::string& head = OpenPiece();
  const std::size_t before = head.size();
  AppendHead(head, response, framing);
  std::size_t added = 0;
  if (has_body && response.body_.size() <= kCopiedBodyBytes) {
    head.append(response.body_);
    added = head.size() - before;
  } else {
    added = head.size() - before;
    if (has_body) {
      added += response.body_.size();
      pieces_.push_back(std::move(response.body_));
    }
  }
  bytes_ += added;
  added_total_ += added;
  ends_.push_back(added_total_);
}

void OutputQueue::AddText(std::string_view text) {
  OpenPiece().append(text);
  bytes_ += text.size();
  added_total_ += text.size();
}

std::ptrdiff_t OutputQueue::Send(int socket) {
  std::array<iovec, kMaxPiecesPerCall> parts{};
  std::size_t count = 0;
  for (std::string& piece : pieces_) {
    if (count == parts.size()) {
      break;
    }
    const std::size_t skipped = count == 0 ? offset_ : 0;
    parts[count++] = {piece.data() + skipped, piece.size() - skipped};
  }
  msghdr message{};
  message.msg_iov = parts.data();
  message.msg_iovlen = count;
  const ssize_t sent = sendmsg(socket, &message, MSG_NOSIGNAL | MSG_DONTWAIT);
  if (sent < 0) {
    return errno == EAGAIN || errno == EINTR ? 0 : -1;
  }
  OnSent(static_cast<std::size_t>(sent));
  return sent;
}

void OutputQueue::OnSent(std::size_t bytes) {
  bytes_ -= bytes;
  sent_total_ += bytes;
  offset_ += bytes;
  while (!pieces_.empty() && offset_ >= pieces_.front().size()) {
    offset_ -= pieces_.front().size();
    pieces_.pop_front();
  }
  while (!ends_.empty() && ends_.front() <= sent_total_) {
    ends_.pop_front();
    ++sent_count_;
  }
}

std::size_t OutputQueue::TakeSentCount() { return std::exchange(sent_count_, 0); }

}  // namespace sassafrasbay
