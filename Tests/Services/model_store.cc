#include "model_store.h"

namespace sassafrasbay {

void ModelStore::Append(std::string_view, std::span<const KeyedRecord> records,
                        std::optional<std::uint64_t> at,
                        std::function<void(Result<TopicPosition>)> callback) {
  const std::vector<KeyedRecord> copy(records.begin(), records.end());
  const auto answer = [this, callback](milliseconds delay, const Result<TopicPosition>& result) {
    events_.push_back({now_ + delay, [callback, result] { callback(result); }});
  };
  const Error lost = MakeError(Errc::kTimedOut, "append record", "store", {});
  const auto draw = random_() % 100;
  if (is_down_) {
    answer(milliseconds(40), MakeError(Errc::kUnavailable, "append record", "store", {}));
  } else if (draw < 70) {
    const TopicPosition position{era_, records_.size()};
    if (TakeEffect(copy, at)) {
      answer(milliseconds(20), position);
    } else {
      answer(milliseconds(20), MakeError(Errc::kConflict, "append record", "store", {}));
    }
  } else if (draw < 80) {
    TakeEffect(copy, at);
    answer(milliseconds(1500), lost);
  } else if (draw < 95) {
    events_.push_back({now_ + milliseconds(1000 + static_cast<int>(random_() % 8000)),
                       [this, copy, at] { TakeEffect(copy, at); }});
    answer(milliseconds(1500), lost);
  } else {
    answer(milliseconds(1500), lost);
  }
}

bool ModelStore::TakeEffect(const std::vector<KeyedRecord>& records,
                            std::optional<std::uint64_t> at) {
  if (at && *at != records_.size()) {
    return false;
  }
  for (const KeyedRecord& record : records) {
    records_.push_back(record);
    records_.back().offset_ = records_.size() - 1;
    appended_at_.push_back(now_);
  }
  return true;
}

void ModelStore::Restore(BootTime copied_at) {
  ++era_;
  while (!records_.empty() && appended_at_.back() > copied_at) {
    records_.pop_back();
    appended_at_.pop_back();
  }
}

StoredRecords ModelStore::Newest() const {
  StoredRecords newest;
  for (const KeyedRecord& record : records_) {
    if (record.value_.empty()) {
      newest.erase(record.key_);
    } else {
      newest[record.key_] = record.value_;
    }
  }
  return newest;
}

void ModelStore::Advance(BootTime now) {
  now_ = now;
  std::vector<Event> due;
  std::erase_if(events_, [&](const Event& event) {
    if (event.due_ > now) {
      return false;
    }
    due.push_back(event);
    return true;
  });
  for (const Event& event : due) {
    event.run_();
  }
}

}  // namespace sassafrasbay
