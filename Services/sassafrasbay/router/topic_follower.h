#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "LibControl/record_store.h"
#include "LibCore/clock.h"
#include "LibTransport/reactor_loop.h"

namespace sassafrasbay {

/// Timing of the reads of a topic once its newest records are known.
struct ReadSchedule {
  milliseconds wait_timeout_{1000};  ///< Long poll for new records; 0 for none.
  /// Delay after a read before the next. No delay follows a long poll without records or a batch
  /// that ends before the topic.
  milliseconds delay_{0};

  friend bool operator==(const ReadSchedule&, const ReadSchedule&) = default;
};

/// Follows a keyed topic of the store: reads the newest record of each key, then every later
/// record.
class TopicFollower {
 public:
  struct Hooks {
    /// Called with each record, in order; an empty value removes the key.
    std::function<void(const KeyedRecord&)> on_record_;
    /// Called after each complete read. All records that existed at `requested_at` have been passed
    /// to on_record_, and those that existed at `answered_at` unless the answer was delayed on its
    /// way.
    std::function<void(BootTime requested_at, BootTime answered_at)> on_current_;
    /// Called when reads of this topic start to fail or succeed again.
    std::function<void(bool reached)> on_reachability_changed_;
  };

  TopicFollower(ReactorLoop& loop, RecordStore& store, std::string topic,
                const ReadSchedule& schedule, Hooks hooks);
  ~TopicFollower();
  TopicFollower(const TopicFollower&) = delete;
  TopicFollower& operator=(const TopicFollower&) = delete;

  void Start();

  /// Sets the timing of later reads; a schedule with a long poll ends the delay before the next
  /// one.
  void SetReadSchedule(const ReadSchedule& schedule);

  /// Applies a record that another node passed on. Returns false unless its offset is End().
  bool Push(const KeyedRecord& record);

  /// Counts a record that another node passed on and that the caller applies itself. Returns false
  /// unless its offset is End().
  bool Advance(std::uint64_t offset);

  /// Offset behind the last known record.
  std::uint64_t End() const { return end_; }
  bool IsStoreReachable() const { return is_store_reachable_; }
  /// Whether the newest records have been read, or received from another node.
  bool IsCurrent() const { return current_; }

  /// Continues at offset `end`, when another node has passed on the newest records before it.
  void SkipTo(std::uint64_t end);

  /// Reads now, without a long poll, because another node knows newer records. A running long poll
  /// keeps its connection; its answer is ignored.
  void ReadNow();

  /// Reads now, unless a read without a long poll is in progress or a failed one is about to be
  /// repeated. Returns whether it reads.
  bool ReadUnlessPending();

  /// Reads after `delay`, unless `is_known` then returns true because another node has passed on
  /// the missing records. Calls before that are ignored, so that many reports of one record cause
  /// one read.
  void ReadUnlessKnown(milliseconds delay, std::function<bool()> is_known);

 private:
  void ReadNewest();
  void ReadNext(milliseconds wait);
  void ScheduleRead(milliseconds delay);
  /// Logs that an answer tells of another history than the answers before.
  void LogEra(const RecordBatch& batch);
  void OnBatch(std::uint64_t read_number, BootTime requested_at, Result<RecordBatch> batch,
               bool newest);
  void ScheduleRetry(const Error& error);
  void SetReached(bool reached, std::string_view reason);

  ReactorLoop& loop_;
  RecordStore& store_;
  std::string topic_;
  ReadSchedule read_schedule_;
  Hooks hooks_;
  std::uint64_t end_ = 0;
  std::uint64_t era_ = 0;          ///< Of the newest answer.
  std::uint64_t read_number_ = 0;  ///< Of the newest read; earlier answers are ignored.
  bool current_ = false;
  bool is_store_reachable_ = false;
  int consecutive_failures_ = 0;
  ReactorLoop::TimerId timer_ = 0;
  ReactorLoop::TimerId delayed_read_timer_ = 0;
  /// A read without a long poll is in progress.
  bool immediate_read_pending_ = false;
};

}  // namespace sassafrasbay
