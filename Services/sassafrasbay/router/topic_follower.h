#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
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

/// Newest records of a topic, read from the store, that haven't replaced the known ones yet.
struct HistoryCandidate {
  TopicPosition end_;
  std::map<std::string, std::string> records_;  ///< Values by key.
};

/// Follows a keyed topic of the store: reads the newest record of each key, then every later
/// record. A store that is restored from an older copy begins another history, whose newest records
/// are read anew.
class TopicFollower {
 public:
  struct Hooks {
    /// Called with each record, in order; an empty value removes the key.
    std::function<void(const KeyedRecord&)> on_record_;
    /// Called after each complete read. All records that existed at `requested_at` have been passed
    /// on, and those that existed at `answered_at` unless the answer was delayed on its way.
    std::function<void(BootTime requested_at, BootTime answered_at)> on_current_;
    /// Called when reads of this topic start to fail or succeed again.
    std::function<void(bool reached)> on_reachability_changed_;
    /// Called with newest records that replace all known ones. Optional; without it they are passed
    /// to on_record_.
    std::function<void(const HistoryCandidate&)> on_replaced_;
    /// Whether these newest records, read to their end, may replace the known ones. Until they may,
    /// the known ones stay, and further records are added to the candidate. Optional.
    std::function<bool(const HistoryCandidate&)> may_replace_;
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

  /// Applies a record of that era that another node passed on. Returns false unless its position is
  /// End().
  bool Push(const KeyedRecord& record, std::uint64_t era);

  /// Counts a record that another node passed on and that the caller applies itself. Returns false
  /// unless its position is End().
  bool Advance(const TopicPosition& position);

  /// Position behind the last known record.
  const TopicPosition& End() const { return end_; }
  bool IsStoreReachable() const { return is_store_reachable_; }
  /// Whether the last read that has ended failed.
  bool IsFailing() const { return consecutive_failures_ > 0; }
  /// Whether the newest records are known, from the store or from another node.
  bool IsCurrent() const { return current_; }
  /// Latest era that the store has answered in.
  std::uint64_t NewestEra() const { return newest_era_; }
  /// Whether the known records belong to the latest era.
  bool IsOfNewestEra() const { return current_ && end_.era_ == newest_era_; }
  /// Newest records of the store that don't replace the known ones yet; null when there are none.
  const HistoryCandidate* Candidate() const { return candidate_ ? &*candidate_ : nullptr; }

  /// Continues at `end`, when another node has passed on the newest records before it.
  void SkipTo(const TopicPosition& end);

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

  /// Reads now, unless the store has answered in this era already.
  void ReadUnlessEraKnown(std::uint64_t era);

 private:
  void ReadNewest();
  void ReadNext(milliseconds wait);
  void ScheduleRead(milliseconds delay);
  void ContinueReading(milliseconds wait);
  void OnBatch(std::uint64_t read_number, BootTime requested_at, Result<RecordBatch> batch,
               bool newest);
  void OnReadError(BootTime requested_at, const Error& error);
  void OnEra(const RecordBatch& batch);
  /// Position from which the next records are read.
  const TopicPosition& ReadPosition() const { return candidate_ ? candidate_->end_ : end_; }
  void TakeNewest(const RecordBatch& batch);
  void TakeNext(const RecordBatch& batch);
  /// Limits of the next read, which a slow store has more time to answer.
  ReadLimits Limits(milliseconds wait) const;
  /// Takes over how long the store took to answer a read, beyond the wait that it was asked for.
  void RecordAnswerTime(milliseconds beyond_wait);
  void ScheduleRetry(BootTime requested_at, const Error& error);
  void SetReached(bool reached, std::string_view reason);

  ReactorLoop& loop_;
  RecordStore& store_;
  std::string topic_;
  ReadSchedule read_schedule_;
  Hooks hooks_;
  TopicPosition end_;
  std::optional<HistoryCandidate> candidate_;
  std::uint64_t newest_era_ = 0;
  std::uint64_t read_number_ = 0;  ///< Of the newest read; earlier answers are ignored.
  bool current_ = false;
  bool needs_newest_ = true;  ///< The records at ReadPosition() can't be read from the store.
  bool is_store_reachable_ = false;
  int consecutive_failures_ = 0;
  milliseconds wait_{0};  ///< Of the newest read.
  bool is_slow_ = false;  ///< A read has timed out since the store last answered in time.
  ReactorLoop::TimerId timer_ = 0;
  ReactorLoop::TimerId delayed_read_timer_ = 0;
  /// A read without a long poll is in progress.
  bool immediate_read_pending_ = false;
};

}  // namespace sassafrasbay
