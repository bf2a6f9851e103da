#pragma once

#include <atomic>
#include <cstddef>
#include <map>
#include <mutex>

namespace sassafrasbay {

/// Limits the bytes that callers' connections hold, over all servers of a process. Thread-safe.
class MemoryBudget {
 public:
  explicit MemoryBudget(std::size_t limit_bytes) : limit_(limit_bytes) {}
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  void SetLimit(std::size_t bytes) { limit_ = bytes; }
  std::size_t Limit() const { return limit_; }
  std::size_t Held() const { return held_; }

  /// Records that a connection holds `after` bytes now, `before` of which are recorded already.
  void Update(std::size_t before, std::size_t after) { held_ += after - before; }

  /// Number of bytes that a connection which holds `own` bytes may read now, so that `reserve`
  /// bytes are left. Not limited while no other connection holds any, so that a single request is
  /// always admitted.
  std::size_t Room(std::size_t own, std::size_t reserve = 0) const;

  /// Bytes of all kinds up to which large responses are read. The rest is for copies of them.
  std::size_t ResponseLimit() const { return limit_ / 2; }

  /// Records that a response waits for connections to release bytes.
  void AwaitRelease() { is_awaited_ = true; }
  /// Whether that has been recorded since the last call.
  bool TakeAwaited() { return is_awaited_.exchange(false); }

  /// Offers the largest connection of `server` that has made no progress, of `bytes` bytes, for
  /// being ended; 0 withdraws the offer. Returns whether it is the largest of all servers.
  bool OfferLargest(const void* server, std::size_t bytes);

 private:
  std::atomic<std::size_t> limit_;
  std::atomic<std::size_t> held_ = 0;
  std::atomic<bool> is_awaited_ = false;
  std::mutex mutex_;
  std::map<const void*, std::size_t> offers_;  // By server; guarded by mutex_.
};

/// Limit for a machine of `memory_bytes`: a third, and at least 16 MB. 0 bytes means unknown.
std::size_t HeldBytesLimit(std::size_t memory_bytes);

}  // namespace sassafrasbay
