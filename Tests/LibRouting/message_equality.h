#pragma once

#include <tuple>

#include "LibRouting/messages.h"

/// Field-wise equality of messages, so that a round trip detects a field that the codec omits.
namespace sassafrasbay {

inline bool operator==(const HttpRequest& left, const HttpRequest& right) {
  return std::tie(left.method_, left.path_, left.headers_, left.body_) ==
         std::tie(right.method_, right.path_, right.headers_, right.body_);
}

inline bool operator==(const HttpResponse& left, const HttpResponse& right) {
  return std::tie(left.status_, left.headers_, left.body_) ==
         std::tie(right.status_, right.headers_, right.body_);
}

inline bool operator==(const RoutedAnswer& left, const RoutedAnswer& right) {
  return std::tie(left.outcome_, left.response_, left.reason_) ==
         std::tie(right.outcome_, right.response_, right.reason_);
}

inline bool operator==(const TableEntry& left, const TableEntry& right) {
  return std::tie(left.unit_, left.id_, left.fingerprint_, left.phase_, left.answer_) ==
         std::tie(right.unit_, right.id_, right.fingerprint_, right.phase_, right.answer_);
}

inline bool operator==(const Forward& left, const Forward& right) {
  return std::tie(left.number_, left.unit_, left.key_hash_, left.request_id_, left.class_,
                  left.request_, left.idempotency_key_, left.remaining_ms_) ==
         std::tie(right.number_, right.unit_, right.key_hash_, right.request_id_, right.class_,
                  right.request_, right.idempotency_key_, right.remaining_ms_);
}

inline bool operator==(const Answer& left, const Answer& right) {
  return std::tie(left.number_, left.answer_, left.owner_hint_) ==
         std::tie(right.number_, right.answer_, right.owner_hint_);
}

inline bool operator==(const Cancel& left, const Cancel& right) {
  return left.number_ == right.number_;
}

inline bool operator==(const CopyEntry& left, const CopyEntry& right) {
  return std::tie(left.number_, left.session_, left.entry_) ==
         std::tie(right.number_, right.session_, right.entry_);
}

inline bool operator==(const CopyTable& left, const CopyTable& right) {
  return std::tie(left.number_, left.session_, left.complete_, left.grantors_changed_at_,
                  left.units_, left.entries_) ==
         std::tie(right.number_, right.session_, right.complete_, right.grantors_changed_at_,
                  right.units_, right.entries_);
}

inline bool operator==(const CopyAck& left, const CopyAck& right) {
  return left.number_ == right.number_;
}

inline bool operator==(const TableRequest& left, const TableRequest& right) {
  return std::tie(left.number_, left.session_, left.units_) ==
         std::tie(right.number_, right.session_, right.units_);
}

inline bool operator==(const TableReply& left, const TableReply& right) {
  return std::tie(left.number_, left.session_, left.complete_, left.grantors_changed_at_,
                  left.entries_) == std::tie(right.number_, right.session_, right.complete_,
                                             right.grantors_changed_at_, right.entries_);
}

inline bool operator==(const Handover& left, const Handover& right) {
  return std::tie(left.number_, left.unit_, left.token_, left.complete_, left.entries_) ==
         std::tie(right.number_, right.unit_, right.token_, right.complete_, right.entries_);
}

inline bool operator==(const HandoverAck& left, const HandoverAck& right) {
  return left.number_ == right.number_;
}

inline bool operator==(const Suspect& left, const Suspect& right) {
  return std::tie(left.fingerprint_, left.crashes_) == std::tie(right.fingerprint_, right.crashes_);
}

inline bool operator==(const Heartbeat& left, const Heartbeat& right) {
  return std::tie(left.session_, left.epoch_, left.sequence_) ==
         std::tie(right.session_, right.epoch_, right.sequence_);
}

inline bool operator==(const HeartbeatAck& left, const HeartbeatAck& right) {
  return std::tie(left.session_, left.epoch_, left.sequence_, left.grantor_) ==
         std::tie(right.session_, right.epoch_, right.sequence_, right.grantor_);
}

inline bool operator==(const SnapshotRequest& /*left*/, const SnapshotRequest& /*right*/) {
  return true;
}

inline bool operator==(const SnapshotReply& left, const SnapshotReply& right) {
  return left.state_ == right.state_;
}

inline bool operator==(const LoadReport& left, const LoadReport& right) {
  return std::tie(left.session_, left.total_, left.units_, left.hot_keys_) ==
         std::tie(right.session_, right.total_, right.units_, right.hot_keys_);
}

}  // namespace sassafrasbay
