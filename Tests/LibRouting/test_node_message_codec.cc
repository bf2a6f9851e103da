#define BOOST_TEST_MODULE NodeMessageCodec
#include <boost/test/unit_test.hpp>
#include <random>
#include <string>

#include "LibRouting/node_messages.h"

namespace sassafrasbay {
namespace {

std::vector<NodeMessage> Samples() {
  ForwardedRequest request;
  request.number_ = 7;
  request.sent_before_to_ = "p2";
  request.service_ = "s1";
  request.shard_key_ = 65535;
  request.request_id_ = "9c41";
  request.class_ = "r-1";
  request.rank_ = 2;
  request.is_call_ = true;
  request.returned_ = true;
  request.idempotent_ = true;
  request.remaining_ms_ = 800;
  request.clock_ms_ = 86400000;
  request.fingerprint_ = 0xFFFFFFFFFFFFFFFFU;
  request.request_ = {"PUT", "/a?b", {{"H", "v"}}, std::string("\0\xff", 2)};
  ForwardedAnswer answer;
  answer.number_ = 7;
  answer.outcome_ = GateOutcome::kRefused;
  answer.reason_ = RefusalReason::kNotOwner;
  answer.load_ = {18, 3, 1, 33.5, 250, 120, 2};
  answer.response_ = {200, {{"H", "v"}}, "body"};
  NodeReport report;
  report.address_ = "10.1.0.8:7620";
  report.incarnation_ = "p1";
  report.echoed_clock_ms_ = 77;
  report.echoed_incarnation_ = "p2";
  report.tables_known_ = true;
  report.tables_age_ms_ = 12;
  report.tables_end_ = {2, 40};
  report.store_era_ = 3;
  report.configuration_age_ms_ = 340;
  report.operators_end_ = TopicPosition{2, 9};
  report.reads_operators_topic_ = true;
  report.service_times_ = {{"r-1", 250}, {"r-2", 1000}};
  report.upstream_ = {"s1", "i-1", 1700000000123, true};
  report.leaving_instance_ = "i-2";
  report.leaving_born_ms_ = 1700000000456;
  StateTransfer state{
      "text", {2, 5}, {{"k", std::string("\0v", 2)}}, TopicPosition{2, 9}, {"dc-a"}};
  DemandReport demand{"10.1.0.8:7620", "s1", 120.5, {{1, 9, 3.5}}};
  // As sent by versions that know no evacuation.
  const StateTransfer plain_state{"text", {2, 5}, {}};
  return {request,
          plain_state,
          answer,
          CancelForwarded{7},
          report,
          state,
          TableRecord{{2, 3}, "k", "v"},
          demand,
          Suspect{9, 2},
          Introduction{"10.1.0.8:7620", "p1"}};
}

BOOST_AUTO_TEST_SUITE(NodeMessages)

BOOST_AUTO_TEST_CASE(NodeMessagesSurviveRoundTrips) {
  for (const NodeMessage& message : Samples()) {
    const std::string frame = EncodeNodeMessage(message);
    const Result<NodeMessage> read = DecodeNodeMessage(frame);
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(read.value().index() == message.index());
    BOOST_TEST(EncodeNodeMessage(read.value()) == frame);
  }
}

// Guards against dropping the messages of nodes of an earlier version, which know neither calls nor
// a limit on ranks.
BOOST_AUTO_TEST_CASE(MessagesWithoutFieldsOfRanksAreRead) {
  ForwardedRequest request;
  request.class_ = "r-1";
  const std::string frame = EncodeNodeMessage(request);
  BOOST_TEST(frame.find("ic") == std::string::npos);
  const Result<NodeMessage> read = DecodeNodeMessage(frame);
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(!std::get<ForwardedRequest>(read.value()).is_call_);
  BOOST_TEST(!std::get<ForwardedRequest>(read.value()).returned_);
  const std::string answer = EncodeNodeMessage(ForwardedAnswer{});
  BOOST_TEST(answer.find("la") == std::string::npos);
  const Result<NodeMessage> read_answer = DecodeNodeMessage(answer);
  BOOST_REQUIRE(read_answer.has_value());
  BOOST_TEST(!std::get<ForwardedAnswer>(read_answer.value()).load_.admitted_rank_.has_value());
}

// Guards against refusing messages of nodes of earlier versions, which state neither arrivals nor
// slowness. They are encoded as these values.
BOOST_AUTO_TEST_CASE(LoadWithoutArrivalsAndSlownessIsRead) {
  ForwardedAnswer answer;
  answer.load_ = {18, 3, 1, 0, kUsualSlownessPercent, 0};
  const std::string frame = EncodeNodeMessage(answer);
  BOOST_TEST(frame.find("blp") == std::string::npos);
  BOOST_TEST(frame.find("blx") == std::string::npos);
  BOOST_TEST(frame.find("blm") == std::string::npos);
  const GateLoad load = std::get<ForwardedAnswer>(DecodeNodeMessage(frame).value()).load_;
  BOOST_TEST(load.running_ == 3);
  BOOST_TEST(load.arrivals_per_second_ == 0);
  BOOST_TEST(load.slowness_percent_ == kUsualSlownessPercent);
  answer.load_ = {18, 3, 1, 33.54, 250, 190};
  const GateLoad stated =
      std::get<ForwardedAnswer>(DecodeNodeMessage(EncodeNodeMessage(answer)).value()).load_;
  BOOST_TEST(stated.arrivals_per_second_ == 33.5);
  BOOST_TEST(stated.slowness_percent_ == 250);
  BOOST_TEST(stated.mean_service_ms_ == 190);
}

ForwardedAnswer DecodeAnswer(const std::string& frame) {
  const Result<NodeMessage> read = DecodeNodeMessage(frame);
  BOOST_REQUIRE(read.has_value());
  return std::get<ForwardedAnswer>(read.value());
}

/// The frame of an answer, with the name and the value of its status replaced.
std::string AnswerFrame(GateOutcome outcome, const std::string& status_field) {
  ForwardedAnswer answer;
  answer.number_ = 7;
  answer.outcome_ = outcome;
  answer.response_ = {200, {{"H", "v"}}, "body"};
  std::string frame = EncodeNodeMessage(answer);
  const std::string field = "\x62st\x18\xC8";
  const std::size_t position = frame.find(field);
  BOOST_REQUIRE(position != std::string::npos);
  return frame.replace(position, field.size(), status_field);
}

// Guards against a status that is none and reaches a caller, and against a request that waits until
// its deadline because the frame with such a status is ignored: the caller gets 502, unless the
// request has not run.
BOOST_AUTO_TEST_CASE(AnswersWithAStatusThatIsNoneAreUnknown) {
  using namespace std::string_literals;
  const std::vector<std::string> fields = {
      "\x62st\x00"s,           // 0
      "\x62st\x18\x63"s,       // 99
      "\x62st\x18\x65"s,       // 101
      "\x62st\x18\xC7"s,       // 199
      "\x62st\x19\x02\x58"s,   // 600
      "\x62st\x19\x03\xE7"s,   // 999
      "\x62st\x19\x07\xD0"s,   // 2000
      "\x62st\x38\xC7"s,       // -200
      "\x62st\x63\x32\x30x"s,  // "20x"
      "\x62sx\x18\xC8"s,       // absent
  };
  for (std::size_t i = 0; i < fields.size(); ++i) {
    BOOST_TEST_CONTEXT("field " << i) {
      const ForwardedAnswer answer = DecodeAnswer(AnswerFrame(GateOutcome::kAnswered, fields[i]));
      BOOST_TEST((answer.outcome_ == GateOutcome::kUnknown));
      BOOST_TEST(answer.number_ == 7U);
      BOOST_TEST(answer.response_.status_ == 0);
      BOOST_TEST(answer.response_.headers_.empty());
      for (const GateOutcome not_run : {GateOutcome::kRefused, GateOutcome::kRejected}) {
        BOOST_TEST((DecodeAnswer(AnswerFrame(not_run, fields[i])).outcome_ == not_run));
      }
    }
  }
  for (const std::string field : {"\x62st\x18\xC8", "\x62st\x19\x02\x57"}) {
    const ForwardedAnswer answer = DecodeAnswer(AnswerFrame(GateOutcome::kAnswered, field));
    BOOST_TEST((answer.outcome_ == GateOutcome::kAnswered));
  }
}

// Guards against a crash on truncated or altered frames of a faulty peer. Some of them are still
// valid.
BOOST_AUTO_TEST_CASE(MutatedFramesDoNotCrashDecoder) {
  std::mt19937_64 random(1);
  for (int round = 0; round < 20'000; ++round) {
    const std::vector<NodeMessage> samples = Samples();
    std::string frame = EncodeNodeMessage(samples[random() % samples.size()]);
    if (random() % 2 == 0) {
      frame.resize(random() % frame.size());
    } else {
      frame[random() % frame.size()] = static_cast<char>(random());
    }
    static_cast<void>(DecodeNodeMessage(frame));
  }
  BOOST_TEST(!DecodeNodeMessage("").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sassafrasbay
