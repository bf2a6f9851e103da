#pragma once

#include <cstddef>
#include <cstdint>
#include <ctime>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "LibTransport/http_exchange.h"
#include "LibTransport/http_server.h"
#include "LibTransport/output_queue.h"
#include "LibTransport/request_reader.h"

namespace sassafrasbay {

/// Reading waits until the budget has this much room, instead of continuing with a few bytes.
inline constexpr std::size_t kMinRoomBytes = 1U << 10U;

using ConnectionNumber = std::uint64_t;

/// What the connections of a server share.
struct ConnectionContext {
  ReactorLoop& loop_;
  HttpLimits limits_;
  HttpHandler handler_;
  OverlapRule may_overlap_;
  MemoryBudget& budget_;
  std::size_t reserve_bytes_ = 0;  ///< Of the budget, for other servers.
  Metrics* metrics_ = nullptr;
  bool closes_connections_ = false;  ///< After the responses to requests that have started.
  std::size_t open_exchanges_ = 0;
  std::vector<char> read_buffer_;
  std::string date_;  ///< Value of the Date header at `date_second_`.
  std::time_t date_second_ = 0;
  std::vector<ConnectionNumber> due_;             ///< To be continued in a task of the loop.
  std::vector<ConnectionNumber> budget_waiters_;  ///< Not read until others release bytes.
  std::function<void()> schedule_;                ///< Continues the connections that are due.
};

/// Transfer of a request or a response, watched for a minimum rate.
struct TransferWindow {
  BootTime since_{};
  std::size_t bytes_ = 0;
  bool active_ = false;
};

/// One connection of a caller. Reads requests ahead, starts them in their order, and sends the
/// responses in that order.
class HttpConnection final : public ExchangeOwner {
 public:
  /// Takes ownership of the socket.
  HttpConnection(ConnectionContext& context, ConnectionNumber number, int socket);
  /// Closes open exchanges without running their callbacks.
  ~HttpConnection() override;
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  /// Handles edge-triggered events of the socket.
  void OnEvents(std::uint32_t events);
  /// Reads, starts requests and sends responses, as far as possible.
  void Continue();
  /// Tries again to read when the budget may have room.
  void ContinueReading();
  /// Ends the connection if a timeout or a minimum rate applies.
  void CheckDeadlines(BootTime now);
  /// Lets a longer idle timeout apply to an idle connection.
  void OnLimitsChanged();
  void Answer(ExchangeState& exchange, HttpResponse response) override;

  /// Ends the connection because the budget is exhausted or the server has too many connections.
  void EndForMemory();
  void EndForConnectionLimit();

  bool IsClosed() const { return socket_ < 0; }
  /// Held bytes if the caller has neither sent nor read any for `duration` although the server
  /// waits for it, otherwise 0.
  std::size_t StalledBytes(BootTime now, milliseconds duration) const;
  /// Whether no request has been read that isn't answered.
  bool IsUnused() const { return entries_.empty() && output_.IsEmpty(); }
  BootTime LastProgress() const { return last_progress_; }

 private:
  /// A request in its order, until its response is passed to the output.
  struct Entry {
    ExchangeStatePointer exchange_;  ///< Null until the request is complete, and once answered.
    std::optional<HttpResponse> response_;
    std::size_t bytes_ = 0;  ///< Of the request, later of the response.
    bool complete_ = false;  ///< The request has been received.
    bool closes_ = false;    ///< The connection closes after the response.
    bool is_http_10_ = false;
    bool is_head_ = false;
  };

  // Reading (http_connection.cc).
  bool MayParse() const;
  bool Read();
  bool Receive();
  void Consume(std::string_view bytes);
  std::size_t Parse(std::string_view bytes);
  void BeginRequest();
  void OnHeaderComplete();
  void OnRequestComplete();
  void Reject(int status, std::string_view text, HeaderList headers = {});
  void StopReading();

  // Requests in progress (http_connection.cc).
  bool StartRequests();
  bool MayStart(const Entry& entry) const;
  void DropRequests();
  void Schedule();
  void UpdateHeldBytes();

  // Responses (http_connection_output.cc).
  bool QueueResponses();
  void QueueResponse(Entry entry);
  std::string_view Date();
  bool Write();

  // Ends (http_connection_output.cc).
  void FinishIfDone();
  void OnEndOfStream();
  void Linger();
  void Discard();
  bool CheckReceiveRate(BootTime now);
  bool CheckSendRate(BootTime now);
  void CheckTimeouts(BootTime now);
  bool HasUnreadBytes() const;
  void RejectSlowRequest();
  void End(std::string_view reason);
  void OnFailed();
  void Report(std::string_view reason) const;
  void CloseSocket();

  ConnectionContext& context_;
  ConnectionNumber number_;
  int socket_;
  bool readable_ = false;          ///< The socket may have bytes to read.
  bool writable_ = true;           ///< The socket may take bytes.
  bool end_seen_ = false;          ///< The caller has closed its end.
  bool stops_reading_ = false;     ///< No further request is read.
  bool closing_ = false;           ///< The last response has been passed to the output.
  bool lingering_ = false;         ///< Waits for the caller to close its end.
  bool awaits_budget_ = false;     ///< Not read until the budget has room.
  bool continuing_ = false;        ///< Continue runs, and handlers within it.
  bool due_ = false;               ///< Registered in ConnectionContext::due_.
  bool wants_continue_ = false;    ///< The caller waits for 100 before it sends the body.
  bool reader_has_entry_ = false;  ///< The last entry is that of the reader's request.
  bool has_requests_ = false;      ///< Bytes of a request arrived on the connection.
  std::string unparsed_;
  std::unique_ptr<RequestReader> reader_;  ///< Of the request whose bytes arrive.
  std::vector<Entry> entries_;             ///< Few; a std::deque takes 600 bytes while it is empty.
  std::size_t started_ = 0;                ///< Number of first entries that have been started.
  std::size_t unanswered_ = 0;             ///< Of the started ones.
  std::uint64_t first_number_ = 0;         ///< Of the first entry.
  std::size_t entry_bytes_ = 0;
  OutputQueue output_;
  std::size_t held_bytes_ = 0;          ///< Recorded in the budget.
  BootTime deadline_{};                 ///< For the header section of the next request.
  std::optional<BootTime> idle_since_;  ///< Set between two requests.
  BootTime received_at_{};              ///< When bytes were read last.
  BootTime last_progress_{};            ///< When bytes were read or sent last.
  BootTime linger_end_{};
  TransferWindow receiving_;
  TransferWindow sending_;
};

}  // namespace sassafrasbay
