#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "LibCore/clock.h"

namespace sassafrasbay {

/// Names an attempt of a request that another node has sent here, over whichever connection.
struct AttemptKey {
  std::string origin_;  ///< Incarnation of the sender's process.
  std::uint64_t number_ = 0;
  auto operator<=>(const AttemptKey&) const = default;
};

/// State of one attempt at the node that received it.
struct ForwardedAttempt {
  std::uint64_t connection_ = 0;       ///< The answer goes there; 0 after that connection was lost.
  std::uint64_t gate_number_ = 0;      ///< Number at the gate; 0 when it has ended there.
  std::optional<std::string> answer_;  ///< Encoded answer; nothing while the attempt is open.
  BootTime detached_at_{};             ///< When the connection was lost.
};

/// Attempts of a sender that are no longer known here.
struct DroppedAttempts {
  std::uint64_t up_to_ = 0;
  BootTime newest_at_{};
};

/// Attempts that are open, or were answered lately. A sender that has lost its connection sends its
/// open attempts again, which finds the same runs and answers here.
struct ForwardedAttempts {
  std::map<AttemptKey, ForwardedAttempt> attempts_;
  std::deque<std::pair<BootTime, AttemptKey>> answered_;  ///< Ascending by time.
  std::size_t answer_bytes_ = 0;
  std::size_t detached_ = 0;  ///< Upper bound of the open attempts without a connection.
  /// Highest number that was dropped, by sender. An unknown attempt up to this number may have run.
  std::map<std::string, DroppedAttempts> dropped_;
};

enum class ArrivalKind : std::uint8_t {
  kNew,       ///< To be submitted.
  kJoined,    ///< The attempt is open here already.
  kAnswered,  ///< The attempt has ended here; its answer is sent again.
  kUnknown,   ///< The attempt may have run, here or in an earlier process; its answer is lost.
};

std::string_view ToString(ArrivalKind kind);

struct Arrival {
  ArrivalKind kind_ = ArrivalKind::kNew;
  std::string_view answer_;  ///< Encoded answer of kAnswered; valid until the next change.
};

/// Records an attempt that has arrived on a connection. `sent_before_to` is the incarnation to
/// which the sender sent it before; nothing if it hasn't. `self` is that of this process.
Arrival RecordArrival(ForwardedAttempts& table, const AttemptKey& key, std::uint64_t connection,
                      const std::optional<std::string>& sent_before_to, std::string_view self);

/// Records the number at the gate of a new attempt, unless it has been answered already.
void RecordSubmitted(ForwardedAttempts& table, const AttemptKey& key, std::uint64_t gate_number);

/// Connection that the answer of an attempt goes to; 0 if there is none at present.
std::uint64_t AnswerConnection(const ForwardedAttempts& table, const AttemptKey& key);

/// Keeps the encoded answer of an open attempt.
void RecordAnswer(ForwardedAttempts& table, const AttemptKey& key, std::string answer,
                  BootTime now);

/// Removes an open attempt that its sender has cancelled. Returns its number at the gate, or 0.
std::uint64_t RemoveCancelled(ForwardedAttempts& table, const AttemptKey& key);

/// Records that a connection was lost. Its attempts go on, since the sender may send them again.
void DetachConnection(ForwardedAttempts& table, std::uint64_t connection, BootTime now);

/// Removes the open attempts that were not sent again in time after their connection was lost, and
/// returns their numbers at the gate. Also drops answers that are too old or too many.
std::vector<std::uint64_t> TakeAbandoned(ForwardedAttempts& table, BootTime now);

/// Removes all open attempts of a process that has ended, and returns their numbers at the gate.
std::vector<std::uint64_t> TakeAttemptsOf(ForwardedAttempts& table, std::string_view origin,
                                          BootTime now);

}  // namespace sassafrasbay
