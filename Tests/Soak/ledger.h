#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "LibCore/clock.h"
#include "LibCore/http_message.h"

namespace sassafrasbay::soak {

/// A target as far as the ownership of keys goes.
class KeyHolder {
 public:
  virtual ~KeyHolder() = default;
  virtual const std::string& Instance() const = 0;
  virtual bool Holds(int key) const = 0;
  virtual BootTime HeldSince(int key) const = 0;
  virtual BootTime LastRun(int key) const = 0;  ///< When it began the newest request on the key.
};

/// Kinds of request that callers send.
enum class Kind : std::uint8_t {
  kLookup,   ///< Idempotent, of a key.
  kReport,   ///< Idempotent, without a key.
  kBooking,  ///< Binding, without a key.
};

/// What callers and targets have seen, and which promises that breaks. Not thread-safe.
class Ledger {
 public:
  void AddTarget(const KeyHolder* target) { targets_.push_back(target); }

  void OnSent(const std::string& id, Kind kind);
  /// A target begins to work on a request. `key` is -1 without one.
  void OnRun(const std::string& id, std::string_view path, std::string_view body, int key,
             const KeyHolder& target);
  /// A caller gets a whole answer.
  void OnAnswer(const std::string& id, const HttpResponse& answer);
  /// A caller's connection ended without an answer. `was_read` when the request may have left.
  void OnLost(const std::string& id, bool was_read, BootTime now);
  /// A target takes keys that it didn't hold with this token. `disturbed` when the grant's node was
  /// thawed or its links healed less than the platform's bound before.
  void OnTake(int key, std::uint64_t token, const KeyHolder& target, bool disturbed);
  /// Looks for keys that two targets have held for too long. To be called at short intervals.
  void CheckOverlaps(BootTime now);
  /// A request reaches a target that has been acknowledged as draining for longer than the bound.
  void OnLateArrival(const std::string& id, const KeyHolder& target);

  /// Unplanned trouble starts or ends now. Losses within `kTouch` of it are excused.
  void OnDisruption(BootTime now) { disrupted_ = now; }
  void SetOpenDisruptions(int count) { open_disruptions_ = count; }

  /// Counts from now on only; for the time after the last fault.
  void BeginRecovery() { recovery_sent_ = recovery_served_ = 0; }
  /// Share of the requests sent since BeginRecovery that were answered with success.
  double RecoveredShare() const;

  std::string Summary() const;
  const std::vector<std::string>& Violations() const { return violations_; }

 private:
  /// A key that a target took while another held it.
  struct Overlap {
    int key_ = 0;
    const KeyHolder* taker_ = nullptr;
    const KeyHolder* holder_ = nullptr;
    std::string taker_instance_;
    std::string holder_instance_;
    BootTime since_{};
  };

  struct Request {
    Kind kind_ = Kind::kLookup;
    int runs_ = 0;
    bool refused_ = false;
  };

  void Report(std::string_view promise, const std::string& what);
  void CheckOwner(const std::string& id, int key, const KeyHolder& target);

  std::vector<const KeyHolder*> targets_;
  std::map<std::string, Request> requests_;
  std::map<int, std::uint64_t> answers_;  ///< Count by status; 0 for none.
  std::map<int, std::pair<std::uint64_t, std::string>> highest_token_;  ///< With its incarnation.
  std::vector<Overlap> overlaps_;
  std::vector<std::string> violations_;
  BootTime disrupted_{};
  int open_disruptions_ = 0;
  std::uint64_t recovery_sent_ = 0;
  std::uint64_t recovery_served_ = 0;
};

/// Path and body of the request with that id, as a target must get them.
std::string PathOf(Kind kind, std::string_view id);
std::string BodyOf(Kind kind, std::string_view id);
/// Body of a target's successful answer.
std::string AnswerTo(std::string_view id);
/// Header and value that mark a target's own answer.
inline constexpr std::string_view kStampHeader = "X-Server-Stamp";
std::string StampOf(std::string_view id);

}  // namespace sassafrasbay::soak
