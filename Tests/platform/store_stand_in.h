#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "LibControl/record_store.h"
#include "LibTransport/http_server.h"
#include "LibTransport/reactor_loop.h"

namespace sassafrasbay::stand_ins {

/// Fault that is injected into the following calls.
enum class StoreFault {
  kNone,
  kRefuse,      ///< Answers with `refusal_status_` without executing the call.
  kSilent,      ///< Neither executes nor answers the call.
  kLoseAnswer,  ///< Executes the call without answering it.
};

/// Stand-in for the platform's store that implements its published protocol: keyed topics with
/// conditional appends.
class StoreStandIn {
 public:
  explicit StoreStandIn(ReactorLoop& loop);

  std::string Address() const { return "127.0.0.1:" + std::to_string(server_->Port()); }

  /// Appends a record directly, without being subject to faults.
  void Append(std::string_view topic, std::string_view key, std::string_view value);

  /// Replaces all topics by a copy of that time, in a new era. Reads that wait for records go on
  /// waiting for the same offsets.
  void Restore(BootTime copied_at);

  /// Value of the newest record of each key of a topic.
  std::map<std::string, std::string> Newest(std::string_view topic) const;

  /// Drops the history of a topic; the newest record of each key can still be read.
  void Compact(std::string_view topic);

  StoreFault fault_ = StoreFault::kNone;
  int refusal_status_ = 503;
  milliseconds delay_{0};   ///< Delay of all answers.
  std::size_t page_ = 500;  ///< Records in one page of newest records.
  std::uint64_t calls_ = 0;
  std::uint64_t era_ = 1;

 private:
  struct Topic {
    std::uint64_t first_ = 0;                                 ///< First retained offset.
    std::vector<KeyedRecord> records_;                        ///< From `first_` on.
    std::vector<std::pair<BootTime, KeyedRecord>> appended_;  ///< All records, for restores.
    std::map<std::string, KeyedRecord> newest_;
    std::uint64_t End() const { return first_ + records_.size(); }
  };
  struct Waiting {
    std::shared_ptr<HttpExchange> exchange_;
    std::string topic_;
    std::uint64_t from_ = 0;
    BootTime until_{};
    bool waits_ = false;  ///< The offset was the end of the topic, or below it.
  };

  void Handle(const std::shared_ptr<HttpExchange>& exchange);
  HttpResponse OnAppend(const HttpRequest& request);
  HttpResponse OnNewest(const HttpRequest& request);
  void OnRead(const std::shared_ptr<HttpExchange>& exchange);
  HttpResponse ReadResponse(const Topic& topic, std::uint64_t from) const;
  void AnswerWaiting();
  static void Store(Topic& topic, KeyedRecord record, BootTime time);
  /// Answers with the era of the store.
  void Respond(const std::shared_ptr<HttpExchange>& exchange, HttpResponse response) const;

  ReactorLoop& loop_;
  std::unique_ptr<HttpServer> server_;
  std::map<std::string, Topic, std::less<>> topics_;
  std::deque<Waiting> waiting_;
  std::vector<std::shared_ptr<HttpExchange>> unanswered_;
};

}  // namespace sassafrasbay::stand_ins
