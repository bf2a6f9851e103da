#define BOOST_TEST_MODULE StoreClient
#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>

#include "LibTransport/loopback.h"
#include "platform/store_client.h"
#include "router/topic_follower.h"
#include "store_stand_in.h"

namespace sassafrasbay {
namespace {

using stand_ins::StoreFault;
using stand_ins::StoreStandIn;

struct Fixture {
  Fixture() : server_(loop_), client_(loop_, 8), store_(client_, server_.Address()) {}

  template <typename T, typename Call>
  Result<T> Wait(Call call) {
    std::optional<Result<T>> result;
    call([&](Result<T> value) {
      result = std::move(value);
      loop_.Stop();
    });
    RunUntilStopped(loop_);
    BOOST_REQUIRE(result.has_value());
    return std::move(*result);
  }

  Result<TopicPosition> Append(const std::string& key, const std::string& value,
                               std::optional<std::uint64_t> at) {
    const KeyedRecord record{0, key, value};
    return Wait<TopicPosition>([&](auto done) {
      store_.Append("keyed.t", {&record, 1}, at, done);
    });
  }

  Result<RecordBatch> Read(std::uint64_t from) {
    return Wait<RecordBatch>([&](auto done) {
      store_.Read("keyed.t", from, {milliseconds(50), milliseconds(700)}, done);
    });
  }

  Result<RecordBatch> ReadNewestRecords() {
    return Wait<RecordBatch>(
        [&](auto done) { store_.ReadNewestRecords("keyed.t", milliseconds(700), done); });
  }

  ReactorLoop loop_;
  StoreStandIn server_;
  HttpClient client_;
  platform::StoreClient store_;
};

BOOST_FIXTURE_TEST_SUITE(StoreCalls, Fixture)

BOOST_AUTO_TEST_CASE(AppendedRecordsAreReadBack) {
  BOOST_TEST((Append("a", "1", std::nullopt).value() == TopicPosition{1, 0}));
  BOOST_TEST((Append("b", std::string("\0\xff", 2), 1).value() == TopicPosition{1, 1}));
  const RecordBatch batch = Read(0).value();
  BOOST_TEST(batch.end_ == 2);
  BOOST_REQUIRE(batch.records_.size() == 2);
  BOOST_TEST(batch.records_[1].offset_ == 1);
  BOOST_TEST(batch.records_[1].key_ == "b");
  BOOST_TEST(batch.records_[1].value_ == std::string("\0\xff", 2));
}

// Guards against a change that was decided on an outdated table taking effect.
BOOST_AUTO_TEST_CASE(FailedAppendConditionIsConflict) {
  BOOST_TEST(Append("a", "1", 0).has_value());
  const auto late = Append("a", "2", 0);
  BOOST_REQUIRE(!late.has_value());
  BOOST_TEST((late.error().code_ == make_error_code(Errc::kConflict)));
  BOOST_TEST(Read(0).value().records_.size() == 1);
}

BOOST_AUTO_TEST_CASE(AllPagesOfNewestRecordsAreRead) {
  server_.page_ = 2;
  for (int i = 0; i < 5; ++i) {
    server_.Append("keyed.t", "k" + std::to_string(i), "old");
    server_.Append("keyed.t", "k" + std::to_string(i),
                   std::string(static_cast<std::size_t>(i + 1), 'x'));
  }
  server_.Append("keyed.t", "k0", "");
  const RecordBatch batch = ReadNewestRecords().value();
  BOOST_TEST(batch.end_ == 11);
  BOOST_REQUIRE(batch.records_.size() == 4);
  BOOST_TEST(batch.records_[3].value_ == "xxxxx");
}

BOOST_AUTO_TEST_CASE(ReadOfDroppedOffsetsIsTruncated) {
  server_.Append("keyed.t", "a", "1");
  server_.Compact("keyed.t");
  const auto read = Read(0);
  BOOST_REQUIRE(!read.has_value());
  BOOST_TEST((read.error().code_ == make_error_code(Errc::kTruncated)));
}

// Guards against an append being reported as without effect although its record may be stored.
BOOST_AUTO_TEST_CASE(RefusedAppendIsUnavailableAndLostAnswerIsNot) {
  server_.fault_ = StoreFault::kRefuse;
  for (const int status : {429, 503, 507}) {
    server_.refusal_status_ = status;
    const auto refused = Append("a", "1", std::nullopt);
    BOOST_REQUIRE(!refused.has_value());
    BOOST_TEST((refused.error().code_ == make_error_code(Errc::kUnavailable)), status);
  }
  server_.fault_ = StoreFault::kLoseAnswer;
  const auto lost = Append("a", "1", std::nullopt);
  BOOST_REQUIRE(!lost.has_value());
  BOOST_TEST((lost.error().code_ != make_error_code(Errc::kUnavailable)));
  server_.fault_ = StoreFault::kNone;
  BOOST_TEST(Read(0).value().records_.size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

struct FollowerFixture : Fixture {
  explicit FollowerFixture(bool replaces = false)
      : follower_(loop_, store_, "keyed.t", ReadSchedule{milliseconds(200), milliseconds(0)},
                  {[this](const KeyedRecord& record) { seen_[record.key_] = record.value_; },
                   [this](BootTime, BootTime) {
                     if (until_()) {
                       loop_.Stop();
                     }
                   },
                   [this](bool reached) { reached_.push_back(reached); },
                   replaces ? [this](const HistoryCandidate& history) { seen_ = history.records_; }
                            : std::function<void(const HistoryCandidate&)>(),
                   [this](const HistoryCandidate&) { return may_replace_; }}) {}

  void RunUntil(std::function<bool()> condition) {
    until_ = std::move(condition);
    RunUntilStopped(loop_);
  }

  std::map<std::string, std::string> seen_;
  std::vector<bool> reached_;
  bool may_replace_ = true;
  std::function<bool()> until_ = [] { return false; };
  TopicFollower follower_;
};

BOOST_FIXTURE_TEST_SUITE(Following, FollowerFixture)

BOOST_AUTO_TEST_CASE(NewestAndSubsequentRecordsAreDelivered) {
  server_.Append("keyed.t", "a", "1");
  follower_.Start();
  loop_.StartTimer(milliseconds(100), [this] { server_.Append("keyed.t", "b", "2"); });
  RunUntil([this] { return seen_.contains("b"); });
  BOOST_TEST(seen_["a"] == "1");
  BOOST_TEST((follower_.End() == TopicPosition{1, 2}));
}

// Guards against missed records when a node is partitioned for longer than records are retained.
BOOST_AUTO_TEST_CASE(FollowingResumesAfterHistoryIsDropped) {
  follower_.Start();
  loop_.StartTimer(milliseconds(50), [this] { server_.fault_ = StoreFault::kRefuse; });
  loop_.StartTimer(milliseconds(400), [this] {
    for (int i = 0; i < 10; ++i) {
      server_.Append("keyed.t", "a", std::to_string(i));
    }
    server_.Compact("keyed.t");
    server_.fault_ = StoreFault::kNone;
  });
  RunUntil([this] { return seen_["a"] == "9"; });
  BOOST_TEST((follower_.End() == TopicPosition{1, 10}));
  BOOST_REQUIRE(reached_.size() == 3);
  BOOST_TEST(!reached_[1]);
  BOOST_TEST(reached_[2]);
}

// Guards against a store that acknowledges changes and is never read (CONFIG): each read was given
// up after the same time, which is shorter than an answer of a slow store takes.
BOOST_AUTO_TEST_CASE(ASlowStoreIsRead) {
  constexpr milliseconds kLimit{6000};
  server_.Append("keyed.t", "a", "1");
  follower_.Start();
  RunUntil([this] { return seen_.contains("a"); });
  server_.delay_ = milliseconds(1000);
  server_.Append("keyed.t", "a", "2");
  bool timed_out = false;
  loop_.StartTimer(kLimit, [&] {
    timed_out = true;
    loop_.Stop();
  });
  RunUntil([this] { return seen_["a"] == "2"; });
  BOOST_TEST(!timed_out);
}

// Guards against an unanswered read delaying a record that other nodes have read already.
BOOST_AUTO_TEST_CASE(ReadNowReplacesUnansweredRead) {
  follower_.SetReadSchedule({milliseconds(30'000), milliseconds(0)});
  follower_.Start();
  loop_.StartTimer(milliseconds(100), [this] { server_.fault_ = StoreFault::kSilent; });
  loop_.StartTimer(milliseconds(300), [this] {
    follower_.ReadNow();
    server_.fault_ = StoreFault::kNone;
    server_.Append("keyed.t", "a", "1");
    follower_.ReadNow();
  });
  RunUntil([this] { return seen_.contains("a"); });
  BOOST_TEST((follower_.End() == TopicPosition{1, 1}));
}

// Guards against gaps, and against a record being applied both from another node and from the
// store.
BOOST_AUTO_TEST_CASE(PushedRecordIsDeliveredOnce) {
  follower_.Start();
  RunUntil([] { return true; });
  BOOST_TEST(!follower_.Push({1, "b", "2"}, 1));
  BOOST_TEST(follower_.Push({0, "a", "1"}, 1));
  BOOST_TEST((follower_.End() == TopicPosition{1, 1}));
  BOOST_TEST(!follower_.Push({0, "a", "0"}, 1));
  server_.Append("keyed.t", "a", "1");
  server_.Append("keyed.t", "b", "2");
  RunUntil([this] { return seen_.contains("b"); });
  BOOST_TEST(seen_["a"] == "1");
  BOOST_TEST((follower_.End() == TopicPosition{1, 2}));
}

// Guards against a record that is never read (CONFIG): the store is restored from an older copy
// while nothing is read, and the end of before is passed again by other records.
BOOST_AUTO_TEST_CASE(RecordsOfARestoredStoreAreReadWhereOffsetsCountAgain) {
  follower_.SetReadSchedule({milliseconds(0), milliseconds(300)});
  server_.Append("keyed.t", "a", "1");
  const BootTime copied_at = BootClock::now();
  loop_.StartTimer(milliseconds(50), [this] { server_.Append("keyed.t", "b", "lost"); });
  follower_.Start();
  RunUntil([this] { return seen_.contains("b"); });
  server_.Restore(copied_at);
  server_.Append("keyed.t", "a", "2");
  bool timed_out = false;
  loop_.StartTimer(milliseconds(2000), [&] {
    timed_out = true;
    loop_.Stop();
  });
  RunUntil([this] { return seen_["a"] == "2"; });
  BOOST_TEST(!timed_out);
}

// Guards against a record that is never read: the store is restored and its topic grows past the
// reader's offset while one long poll waits.
BOOST_AUTO_TEST_CASE(ALongPollThatOutlastsARestoreIsNoContinuation) {
  follower_.SetReadSchedule({milliseconds(1000), milliseconds(0)});
  server_.Append("keyed.t", "a", "1");
  const BootTime copied_at = BootClock::now();
  loop_.StartTimer(milliseconds(50), [this] { server_.Append("keyed.t", "b", "lost"); });
  follower_.Start();
  RunUntil([this] { return seen_.contains("b"); });
  loop_.StartTimer(milliseconds(200), [this, copied_at] {
    server_.Restore(copied_at);
    server_.Append("keyed.t", "c", "3");
    server_.Append("keyed.t", "d", "4");
  });
  RunUntil([this] { return seen_.contains("d"); });
  BOOST_TEST(seen_["c"] == "3");
  BOOST_TEST((follower_.End() == TopicPosition{2, 3}));
}

struct ReplacingFixture : FollowerFixture {
  ReplacingFixture() : FollowerFixture(true) {}
};

// Guards against the use of records of a restored copy before it may replace what is known, and
// against known records that the copy lacks and that stay afterwards.
BOOST_FIXTURE_TEST_CASE(ARestoredCopyReplacesWhatIsKnownWhenItMay, ReplacingFixture) {
  server_.Append("keyed.t", "a", "1");
  const BootTime copied_at = BootClock::now();
  loop_.StartTimer(milliseconds(50), [this] { server_.Append("keyed.t", "b", "lost"); });
  follower_.Start();
  RunUntil([this] { return seen_.contains("b"); });
  may_replace_ = false;
  server_.Restore(copied_at);
  loop_.StartTimer(milliseconds(500), [this] { loop_.Stop(); });
  RunUntilStopped(loop_);
  BOOST_REQUIRE(follower_.Candidate() != nullptr);
  BOOST_TEST(seen_["b"] == "lost");
  BOOST_TEST((follower_.End() == TopicPosition{1, 2}));
  BOOST_TEST(!follower_.IsOfNewestEra());
  server_.Append("keyed.t", "c", "3");
  may_replace_ = true;
  RunUntil([this] { return seen_.contains("c"); });
  BOOST_TEST(!seen_.contains("b"));
  BOOST_TEST((follower_.End() == TopicPosition{2, 2}));
  BOOST_TEST(follower_.IsOfNewestEra());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sassafrasbay
