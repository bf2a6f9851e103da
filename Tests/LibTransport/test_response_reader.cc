#define BOOST_TEST_MODULE ResponseReader
#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <random>
#include <string>
#include <string_view>

#include "LibTransport/response_reader.h"

namespace sassafrasbay {
namespace {

constexpr std::size_t kMaxBodyBytes = 1000;
constexpr std::size_t kWhole = SIZE_MAX;  ///< Length of a piece that contains the whole text.

const std::string kEmptyRest = "\r\nContent-Length: 0\r\n\r\n";

const std::string kValidResponse = "HTTP/1.1 200 OK" + kEmptyRest;

/// Start lines of responses that aren't valid.
const std::array kInvalidLines = {
    "HTTP/1.1 000 None",  "HTTP/1.1 099 Below", "HTTP/1.1 600 Above", "HTTP/1.1 999 Above",
    "HTTP/1.1 20 OK",     "HTTP/1.1 2000 OK",   "HTTP/1.1 2x0 OK",    "HTTP/1.1 OK",
    "HTTP/1.1 -20 OK",    "HTTP/1.1  200 OK",   "HTTP/1.1 ",          "HTTP/1.1",
    "HTTP/1.1 101 Other", "HTTP/0.9 200 OK",    "HTTP/2.0 200 OK",    "<html>an old response"};

bool IsMalformed(const Result<std::size_t>& taken) {
  return !taken && taken.error().code_ == make_error_code(Errc::kMalformed);
}

/// What is left of a response after it has been read.
struct Outcome {
  bool failed_ = false;
  int status_ = 0;  ///< 0 if the response is incomplete.
  std::string body_;
  std::size_t used_ = 0;

  bool operator==(const Outcome&) const = default;
};

/// Reads the text in pieces of at most `max_piece` bytes, up to the end of the connection.
Outcome ReadAll(const std::string& text, std::mt19937_64& random, std::size_t max_piece) {
  ResponseReader reader(kMaxBodyBytes);
  Outcome outcome;
  while (!reader.IsComplete() && outcome.used_ < text.size()) {
    const std::size_t piece = std::min(max_piece == kWhole ? kWhole : 1 + random() % max_piece,
                                       text.size() - outcome.used_);
    const Result<std::size_t> taken = reader.Receive(text.substr(outcome.used_, piece));
    if (!taken) {
      return {true};
    }
    outcome.used_ += taken.value();
  }
  if (!reader.IsComplete() && !reader.ReceiveEnd()) {
    return {true};
  }
  const HttpResponse response = reader.TakeResponse();
  outcome.status_ = response.status_;
  outcome.body_ = response.body_;
  return outcome;
}

/// A response with a random status and framing, and what reading it must give.
struct Sample {
  std::string text_;
  Outcome expected_;
};

Sample MakeSample(std::mt19937_64& random) {
  const int status = static_cast<int>(random() % 1000);
  const std::string body(random() % 50, 'b');
  const bool has_body = status != 204 && status != 304;
  std::string digits = std::to_string(1000 + status).substr(1);
  Sample sample;
  for (auto interim = random() % 3; interim > 0; --interim) {
    sample.text_ += "HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n";
  }
  const std::array reasons = {" OK", " ", ""};
  sample.text_ += "HTTP/1.1 " + digits + reasons[random() % reasons.size()] + "\r\n";
  const auto framing = random() % 3;
  if (!has_body || framing == 0) {
    sample.text_ += "Content-Length: " + std::to_string(has_body ? body.size() : 0) + "\r\n\r\n" +
                    (has_body ? body : "");
  } else if (framing == 1) {
    constexpr std::string_view kHexadecimal = "0123456789abcdef";
    std::string chunks;
    for (std::size_t at = 0; at < body.size();) {
      const std::size_t size = std::min<std::size_t>(1 + random() % 15, body.size() - at);
      chunks += std::string(1, kHexadecimal[size]) + "\r\n" + body.substr(at, size) + "\r\n";
      at += size;
    }
    sample.text_ += "Transfer-Encoding: chunked\r\n\r\n" + chunks + "0\r\n\r\n";
  } else {
    sample.text_ += "\r\n" + body;
  }
  sample.expected_ = {false, status, has_body ? body : "", sample.text_.size()};
  if (status < 200 || status > 599) {
    sample.expected_ = {true};
  }
  return sample;
}

BOOST_AUTO_TEST_SUITE(ResponseStatuses)

// Guards against a request that waits until its deadline, or gets what follows as its response: a
// status such as 000 counted as an interim response, and text that isn't HTTP as an incomplete one.
BOOST_AUTO_TEST_CASE(StatusesThatAreNoneAreMalformedAtOnce) {
  for (const std::string line : kInvalidLines) {
    ResponseReader whole(kMaxBodyBytes);
    const std::string text = line + kEmptyRest;
    BOOST_TEST(IsMalformed(whole.Receive(text)), line);
    ResponseReader followed(kMaxBodyBytes);
    BOOST_TEST(IsMalformed(followed.Receive(text + kValidResponse)), line);
    ResponseReader without_end(kMaxBodyBytes);
    BOOST_TEST(IsMalformed(without_end.Receive(line + "\r\nName: value")), line);
  }
}

// Guards against an interim status that passes for the response.
BOOST_AUTO_TEST_CASE(AnInterimStatusIsNoResponse) {
  for (const std::string line : {"HTTP/1.1 100 Continue", "HTTP/1.1 199 Other"}) {
    ResponseReader reader(kMaxBodyBytes);
    BOOST_REQUIRE(reader.Receive(line + "\r\n\r\n").has_value());
    BOOST_TEST(!reader.IsComplete());
    BOOST_TEST(!reader.ReceiveEnd().has_value());
  }
}

// Guards against responses without a reason phrase, and with HTTP/1.0, being refused.
BOOST_AUTO_TEST_CASE(AMissingReasonPhraseIsValid) {
  for (const std::string line :
       {"HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.0 599", "HTTP/1.0 200 "}) {
    ResponseReader reader(kMaxBodyBytes);
    const Result<std::size_t> taken = reader.Receive(line + kEmptyRest + "rest");
    BOOST_REQUIRE_MESSAGE(taken.has_value(), line);
    BOOST_TEST(taken.value() == line.size() + kEmptyRest.size());
    BOOST_REQUIRE(reader.IsComplete());
    BOOST_TEST(reader.TakeResponse().status_ == std::stoi(line.substr(9)));
  }
}

// Guards against results that depend on how the bytes are split over reads, and against any status
// outside 200 to 599 in a response.
BOOST_AUTO_TEST_CASE(RandomResponsesReadAlikeInPieces) {
  constexpr std::size_t kRounds = 4000;
  for (const std::uint64_t seed : {1, 2, 3, 4, 5}) {
    BOOST_TEST_MESSAGE("seed " << seed);
    std::mt19937_64 random(seed);
    for (std::size_t round = 0; round < kRounds; ++round) {
      Sample sample = MakeSample(random);
      if (random() % 2 == 0) {
        const Outcome whole = ReadAll(sample.text_, random, kWhole);
        BOOST_TEST((whole == sample.expected_), "seed " << seed << ": " << sample.text_);
      } else {
        sample.text_[random() % sample.text_.size()] = static_cast<char>(random());
      }
      const Outcome whole = ReadAll(sample.text_ + "!", random, kWhole);
      const Outcome pieces = ReadAll(sample.text_ + "!", random, 1 + random() % 20);
      BOOST_TEST((whole == pieces), "seed " << seed << ": " << sample.text_);
      BOOST_TEST((whole.failed_ || (whole.status_ >= 200 && whole.status_ <= 599)));
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(DeclaredLengths)

std::string HeadWithLength(const std::string& length) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\n";
}

// Guards against a process that ends because it reserves memory for a length that a faulty upstream
// declares, whether or not any of the body follows.
BOOST_AUTO_TEST_CASE(ALengthOverTheLimitIsTooLargeAtOnce) {
  for (const std::string length :
       {"1001", "30000000000", "9007199254740992", "9223372036854775807", "18446744073709551615"}) {
    for (const std::string body : {"", "some bytes"}) {
      ResponseReader reader(kMaxBodyBytes);
      const Result<std::size_t> taken = reader.Receive(HeadWithLength(length) + body);
      BOOST_REQUIRE_MESSAGE(!taken.has_value(), length);
      BOOST_TEST((taken.error().code_ == make_error_code(Errc::kTooLarge)), length);
    }
  }
}

// Guards against memory that upstreams can take by declaring a body of legal size.
BOOST_AUTO_TEST_CASE(ALengthTakesNoMemoryBeforeTheBodyArrives) {
  constexpr std::size_t kLimit = 64U << 20U;
  constexpr std::size_t kMaxReserved = 1U << 20U;
  ResponseReader reader(kLimit);
  BOOST_REQUIRE(reader.Receive(HeadWithLength(std::to_string(kLimit)) + "some bytes").has_value());
  BOOST_TEST(!reader.IsComplete());
  BOOST_TEST(reader.BufferedBytes() <= kMaxReserved);
}

// Guards against sound responses that are ended for memory which they don't need.
BOOST_AUTO_TEST_CASE(ABodyTakesNoMoreMemoryThanItsLength) {
  constexpr std::size_t kLength = 6U << 20U;
  constexpr std::size_t kPiece = 64U << 10U;
  ResponseReader reader(kLength);
  BOOST_REQUIRE(reader.Receive(HeadWithLength(std::to_string(kLength))).has_value());
  for (std::size_t received = 0; received + kPiece < kLength; received += kPiece) {
    BOOST_REQUIRE(reader.Receive(std::string(kPiece, 'b')).has_value());
    BOOST_TEST(reader.BufferedBytes() <= kLength + kPiece);
  }
}

// Guards against a valid response that is refused for the length of a body that it doesn't have.
BOOST_AUTO_TEST_CASE(ALengthOfAResponseWithoutABodyIsIgnored) {
  ResponseReader reader(kMaxBodyBytes);
  const std::string interim =
      "HTTP/1.1 103 Early Hints\r\nContent-Length: 9007199254740992\r\n\r\n";
  BOOST_REQUIRE(reader.Receive(interim + kValidResponse).has_value());
  BOOST_TEST(reader.IsComplete());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sassafrasbay
