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

/// How a topic is read once all its records are known.
struct ReadSchedule {
  milliseconds wait_timeout_{1000};  ///< Time that a read waits at the store for a new record.
  /// Time until the next read after one that has waited in vain is over, or has brought records.
  milliseconds delay_{0};

  friend bool operator==(const ReadSchedule&, const ReadSchedule&) = default;
};

/// Keeps up with a keyed topic of the store: the newest record of each key, then every record from
/// there on.
class TopicFollower {
 public:
  struct Hooks {
    /// Each record, in order; an empty value removes the key.
    std::function<void(const KeyedRecord&)> on_record_;
    /// After each answer of the store. All records that existed at `asked` have been passed on.
    std::function<void(BootTime requested_at)> on_current_;
    /// The store is lost or reached again, as far as this topic tells.
    std::function<void(bool reached)> on_reachability_changed_;
  };

  TopicFollower(ReactorLoop& loop, RecordStore& store, std::string topic, const ReadSchedule& pace,
                Hooks hooks);
  ~TopicFollower();
  TopicFollower(const TopicFollower&) = delete;
  TopicFollower& operator=(const TopicFollower&) = delete;

  void Start();

  /// How reads follow each other from now on.
  void SetReadSchedule(const ReadSchedule& pace);

  /// Takes the record with the offset End(), which another node has passed on. False when it isn't
  /// the next one.
  bool Push(const KeyedRecord& record);

  /// Offset up to which all records are known; the next record gets it, as far as is known.
  std::uint64_t End() const { return end_; }
  bool IsReached() const { return reached_; }
  /// The newest records have been read at least once.
  bool IsCurrent() const { return current_; }

  /// Continues from `end`, up to which another node has passed on the newest records.
  void SkipTo(std::uint64_t end);

  /// Reads at once, on a connection of its own, because another node knows of newer records.
  void ReadNow();

  /// Reads at once after `delay`, unless `is_known` says then that another node has passed on what
  /// is missing. Calls before that change nothing, so that many reports of one record cause one
  /// read.
  void ReadUnlessKnown(milliseconds delay, std::function<bool()> is_known);

 private:
  void ReadNewest();
  void ReadNext(milliseconds wait);
  void ScheduleRead(milliseconds delay);
  void OnBatch(std::uint64_t round, BootTime requested_at, Result<RecordBatch> batch, bool newest);
  void ScheduleRetry(const Error& error);
  void SetReached(bool reached, std::string_view reason);

  ReactorLoop& loop_;
  RecordStore& store_;
  std::string topic_;
  ReadSchedule read_schedule_;
  Hooks hooks_;
  std::uint64_t end_ = 0;
  std::uint64_t round_ = 0;  ///< Answers of earlier rounds are ignored.
  bool current_ = false;
  bool reached_ = false;
  int failures_ = 0;
  ReactorLoop::TimerId timer_ = 0;
  ReactorLoop::TimerId delayed_read_timer_ = 0;
  /// A read that doesn't wait for new records is under way.
  bool reading_ = false;
};

}  // namespace sassafrasbay
