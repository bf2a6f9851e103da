#define BOOST_TEST_MODULE UpstreamClient
#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "LibTransport/loopback.h"
#include "LibTransport/response_reader.h"
#include "LibTransport/stub_upstream.h"
#include "LibTransport/upstream_client.h"

namespace sassafrasbay {
namespace {

std::string Ok(const std::string& id, const std::string& body) {
  return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

struct UpstreamClientFixture {
  UpstreamClientFixture() : upstream_(loop_), client_(loop_) {
    client_.SetAddress(upstream_.Address());
  }

  UpstreamResult Call(const std::string& method, const std::string& id,
                      const std::string& body = {}) {
    UpstreamCall call;
    call.request_ = {method, "/", {{"Host", "h"}, {"Id", id}}, body};
    call.timeout_ = milliseconds(500);
    call.correlation_header_ = "Id";
    std::optional<UpstreamResult> result;
    client_.Start(std::move(call), [&](UpstreamResult value) {
      result = std::move(value);
      // Allows time for bytes that the upstream sends after the response.
      loop_.StartTimer(milliseconds(20), [&] { loop_.Stop(); });
    });
    RunUntilStopped(loop_);
    BOOST_REQUIRE(result.has_value());
    return std::move(*result);
  }

  ReactorLoop loop_;
  StubUpstream upstream_;
  UpstreamClient client_;
};

BOOST_FIXTURE_TEST_SUITE(UpstreamCalls, UpstreamClientFixture)

BOOST_AUTO_TEST_CASE(KeepsConnections) {
  upstream_.answer_ = [](int, const std::string& id) { return Ok(id, "body"); };
  for (const std::string id : {"1", "2", "3"}) {
    const UpstreamResult result = Call("GET", id);
    BOOST_REQUIRE(result.response_.has_value());
    BOOST_TEST(result.response_.value().body_ == "body");
  }
  BOOST_TEST(upstream_.connections_ == 1);
}

// Guards against repeating a request when a reused connection is closed without a response: a
// binding request would run twice, while its caller receives one response.
BOOST_AUTO_TEST_CASE(ARequestIsNotRepeatedWhenAReusedConnectionCloses) {
  upstream_.answer_ = [](int number, const std::string& id) -> std::optional<std::string> {
    if (number == 1) {
      return Ok(id, "");
    }
    return std::nullopt;
  };
  BOOST_REQUIRE(Call("POST", "1").response_.has_value());
  for (const std::string body : {"", "some bytes"}) {
    upstream_.requests_ = 0;
    upstream_.answer_ = [first = true](
                            int, const std::string& id) mutable -> std::optional<std::string> {
      return std::exchange(first, false) ? std::optional(Ok(id, "")) : std::nullopt;
    };
    BOOST_REQUIRE(Call("POST", "2", body).response_.has_value());
    const UpstreamResult result = Call("POST", "3", body);
    BOOST_TEST(!result.response_.has_value());
    BOOST_TEST(result.maybe_sent_);
    BOOST_TEST(upstream_.requests_ == 2);
  }
}

// Guards against a surplus response being returned for the next request on the connection.
BOOST_AUTO_TEST_CASE(AnUnsolicitedResponseIsDiscarded) {
  upstream_.answer_ = [](int, const std::string& id) { return Ok(id, "a") + Ok(id, "extra"); };
  BOOST_TEST(Call("GET", "1").response_.value().body_ == "a");
  BOOST_TEST(Call("GET", "2").response_.value().body_ == "a");
  BOOST_TEST(upstream_.connections_ == 2);
}

// Guards against a process that runs out of memory when all slots of an upstream send bytes without
// end, and against a slow drip that keeps a request open beyond its timeout.
BOOST_AUTO_TEST_CASE(EndlessResponsesEndWithinBounds) {
  constexpr int kCalls = 12;
  int ended = 0;
  upstream_.answer_ = [](int, const std::string& id) {
    return "HTTP/1.1 200 OK\r\nId: " + id + "\r\n\r\n" + std::string(100, 'x');
  };
  upstream_.endless_bytes_ = 1U << 20U;
  std::size_t most = 0;
  for (int i = 0; i < kCalls; ++i) {
    UpstreamCall call;
    call.request_ = {"GET", "/", {{"Host", "h"}, {"Id", std::to_string(i)}}, {}};
    call.timeout_ = milliseconds(2000);
    call.correlation_header_ = "Id";
    client_.Start(std::move(call), [&](UpstreamResult result) {
      BOOST_TEST(!result.response_.has_value());
      BOOST_TEST(result.maybe_sent_);
      if (++ended == kCalls) {
        loop_.Stop();
      }
    });
  }
  loop_.StartRepeatingTimer(milliseconds(1),
                            [&] { most = std::max(most, client_.Counts().partial_bytes_); });
  RunUntilStopped(loop_);
  BOOST_TEST(ended == kCalls);
  BOOST_TEST(most <= kMaxPartialResponseBytes);
  BOOST_TEST(client_.Counts().partial_bytes_ == 0U);
}

// Load: large responses while the memory is taken. Guards against a process that outgrows its
// machine, and against responses that are never read: what takes the memory may wait for them.
BOOST_AUTO_TEST_CASE(LargeResponsesAreReadOneByOneWithoutRoom) {
  constexpr int kCalls = 3;
  bool has_room = false;
  std::size_t most = 0;
  client_.SetRoom([&](std::size_t partial_bytes) {
    most = std::max(most, partial_bytes);
    return has_room;
  });
  const std::string body(400U << 10U, 'b');
  upstream_.answer_ = [&](int, const std::string& id) { return Ok(id, body); };
  std::vector<BootTime> ended;
  const auto start = [&](const std::string& id) {
    UpstreamCall call;
    call.request_ = {"GET", "/", {{"Host", "h"}, {"Id", id}}, {}};
    call.timeout_ = milliseconds(5000);
    call.correlation_header_ = "Id";
    client_.Start(std::move(call), [&](const UpstreamResult& result) {
      BOOST_REQUIRE(result.response_.has_value());
      BOOST_TEST(result.response_.value().body_.size() == body.size());
      ended.push_back(BootClock::now());
      if (ended.size() % kCalls == 0) {
        loop_.Stop();
      }
    });
  };
  for (int i = 0; i < kCalls; ++i) {
    start(std::to_string(i));
  }
  RunUntilStopped(loop_);
  BOOST_REQUIRE(ended.size() == kCalls);
  BOOST_TEST((ended.back() - ended.front() >= milliseconds(400)));
  BOOST_TEST(most < 2 * body.size());
  has_room = true;
  ended.clear();
  for (int i = 0; i < kCalls; ++i) {
    start("again-" + std::to_string(i));
  }
  RunUntilStopped(loop_);
  BOOST_TEST(ended.size() == kCalls);
}

BOOST_AUTO_TEST_CASE(SlowEndlessResponseEndsAtTheTimeout) {
  upstream_.answer_ = [](int, const std::string& id) {
    return "HTTP/1.1 200 OK\r\nId: " + id + "\r\n\r\nx";
  };
  upstream_.endless_bytes_ = 1;
  const UpstreamResult result = Call("GET", "1");
  BOOST_REQUIRE(!result.response_.has_value());
  BOOST_TEST((result.response_.error().code_ == make_error_code(Errc::kTimedOut)));
  BOOST_TEST(client_.Counts().partial_bytes_ == 0U);
}

// Guards against a request that fails, or gets another request's response, because the upstream
// sent a second copy of the response before late, on the connection that is in use again.
BOOST_AUTO_TEST_CASE(ALateCopyOfThePreviousResponseIsSkipped) {
  upstream_.answer_ = [](int number, const std::string& id) {
    return number == 2 ? Ok("1", "first") + Ok("1", "first") + Ok(id, "second") : Ok(id, "first");
  };
  BOOST_TEST(Call("POST", "1").response_.value().body_ == "first");
  const UpstreamResult result = Call("POST", "2");
  BOOST_REQUIRE(result.response_.has_value());
  BOOST_TEST(result.response_.value().body_ == "second");
  Call("POST", "3");
  BOOST_TEST(upstream_.requests_ == 3);
  BOOST_TEST(upstream_.connections_ == 2);
}

// Guards against a binding request that runs and is reported as not run (REFUSED), or runs at a
// second upstream (TWICE): it was rejected, and sent again with its id on the same connection,
// where a late copy of the rejection passed for its response.
BOOST_AUTO_TEST_CASE(ARejectedRequestIsSentAgainOnAnotherConnection) {
  upstream_.answer_ = [this](int number, const std::string& id) {
    const std::string rejection =
        "HTTP/1.1 421 Misdirected\r\nId: " + id + "\r\nContent-Length: 0\r\n\r\n";
    const bool sends_copy = number == 2 && upstream_.connections_ == 1;
    return number == 1 ? rejection : (sends_copy ? rejection : "") + Ok(id, "has run");
  };
  BOOST_TEST(Call("POST", "1").response_.value().status_ == 421);
  BOOST_TEST(Call("POST", "1").response_.value().status_ == 200);
  BOOST_TEST(upstream_.connections_ == 2);
  BOOST_TEST(Call("POST", "2").response_.value().status_ == 200);
  BOOST_TEST(upstream_.connections_ == 2);
}

// Guards against the same for the other answers after which a request is sent again: a rejection by
// an upstream that is full, which is repeated without delay, and a failed run of a request that may
// be repeated.
BOOST_AUTO_TEST_CASE(ARequestIsSentAgainOnAnotherConnectionAfterAnyFailure) {
  for (const std::string status : {"503 Service Unavailable", "429 Too Many", "500 Error"}) {
    const int connections = upstream_.connections_;
    const std::string id = "request " + status;
    upstream_.requests_ = 0;
    upstream_.answer_ = [&](int number, const std::string& request_id) {
      std::string failure = "HTTP/1.1 ";
      failure.append(status).append("\r\nId: ").append(request_id);
      failure += "\r\nContent-Length: 0\r\n\r\n";
      const bool sends_copy = number == 2 && upstream_.connections_ == connections + 1;
      return number == 1 ? failure : (sends_copy ? failure : "") + Ok(request_id, "has run");
    };
    // A new connection for each status: the upstream of before may send a copy on the old one.
    client_.SetAddress("127.0.0.1:1");
    client_.SetAddress(upstream_.Address());
    BOOST_TEST(Call("POST", id).response_.value().status_ == std::stoi(status));
    BOOST_TEST(Call("POST", id).response_.value().status_ == 200, status);
    BOOST_TEST(upstream_.connections_ == connections + 2);
  }
}

// Guards against the answer of a cancelled attempt that passes for the one of the next request,
// with the same id or another one: the upstream answers although its caller has gone.
BOOST_AUTO_TEST_CASE(TheAnswerOfACancelledRequestReachesNobody) {
  bool answered = false;
  upstream_.answer_ = [](int number, const std::string& id) {
    return number == 1 ? std::string("HTTP/1.1 503 Busy\r\n") : Ok(id, "second");
  };
  UpstreamCall call;
  call.request_ = {"POST", "/", {{"Host", "h"}, {"Id", "1"}}, {}};
  call.timeout_ = milliseconds(500);
  call.correlation_header_ = "Id";
  const UpstreamClient::CallId cancelled =
      client_.Start(call, [&](const UpstreamResult&) { answered = true; });
  // The first bytes of the answer are there when the request is cancelled.
  loop_.StartTimer(milliseconds(50), [&] {
    client_.Cancel(cancelled);
    loop_.Stop();
  });
  RunUntilStopped(loop_);
  for (const std::string id : {"1", "2"}) {
    BOOST_TEST(Call("POST", id).response_.value().body_ == "second");
  }
  BOOST_TEST(!answered);
  BOOST_TEST(upstream_.requests_ == 3);
}

// Guards against an empty or short success when the upstream stops within the head of its response.
BOOST_AUTO_TEST_CASE(ResponsesThatEndWithinTheirHeadAreErrors) {
  upstream_.close_after_answer_ = true;
  for (const std::string head :
       {"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 12\r\n\r\n",
        "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\n\r\n"}) {
    for (std::size_t length = 1; length < head.size(); ++length) {
      upstream_.answer_ = [&](int, const std::string&) {
        return std::optional(head.substr(0, length));
      };
      BOOST_TEST(!Call("GET", "1").response_.has_value(), head.substr(0, length));
    }
  }
}

BOOST_AUTO_TEST_CASE(CopiesWithoutEndAreAnError) {
  upstream_.answer_ = [](int number, const std::string& id) {
    std::string bytes;
    for (int i = 0; i < 100; ++i) {
      bytes += Ok("1", "first");
    }
    return number == 1 ? Ok(id, "first") : bytes;
  };
  Call("POST", "1");
  const UpstreamResult result = Call("POST", "2");
  BOOST_REQUIRE(!result.response_.has_value());
  BOOST_TEST((result.response_.error().code_ == make_error_code(Errc::kMalformed)));
  BOOST_TEST(result.maybe_sent_);
}

BOOST_AUTO_TEST_CASE(AMismatchedCorrelationHeaderIsAnError) {
  upstream_.answer_ = [](int, const std::string&) { return Ok("other", "a"); };
  const UpstreamResult result = Call("GET", "1");
  BOOST_REQUIRE(!result.response_.has_value());
  BOOST_TEST((result.response_.error().code_ == make_error_code(Errc::kMalformed)));
}

BOOST_AUTO_TEST_CASE(TruncatedResponsesAreErrors) {
  upstream_.close_after_answer_ = true;
  for (const std::string bytes :
       {"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
        "HTTP/1.1 200 OK\r\nId: 1\r\n", "HTTP/1.1 2", "no answer at all\r\n\r\n"}) {
    upstream_.answer_ = [&](int, const std::string&) { return std::optional(bytes); };
    const UpstreamResult result = Call("GET", "1");
    BOOST_TEST(!result.response_.has_value(), bytes);
    BOOST_TEST(result.maybe_sent_);
  }
}

BOOST_AUTO_TEST_CASE(AResponseWithoutALengthEndsWithItsConnection) {
  upstream_.close_after_answer_ = true;
  upstream_.answer_ = [](int, const std::string& id) {
    return "HTTP/1.1 200 OK\r\nId: " + id + "\r\n\r\nabc";
  };
  BOOST_TEST(Call("GET", "1").response_.value().body_ == "abc");
}

BOOST_AUTO_TEST_CASE(ChunkedAndInterimResponsesAreRead) {
  upstream_.answer_ = [](int, const std::string& id) {
    return "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: " + id +
           "\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
  };
  BOOST_TEST(Call("GET", "1").response_.value().body_ == "abc");
}

BOOST_AUTO_TEST_CASE(ARefusedConnectionIsReportedAsNotSent) {
  ReactorLoop other_loop;
  std::string address;
  {
    const StubUpstream closed(other_loop);
    address = closed.Address();
  }
  client_.SetAddress(address);
  const UpstreamResult result = Call("GET", "1");
  BOOST_TEST(!result.response_.has_value());
  BOOST_TEST(!result.maybe_sent_);
  BOOST_TEST(result.refused_);
}

// Guards against a request that is reported as sent, or is sent late, when its upstream accepts no
// connections: the queue of the listening socket is full.
// Guards against a full upstream that passes for one that has exited: what it holds, and what it
// may still hold, is the difference.
BOOST_AUTO_TEST_CASE(ConnectionsThatTheUpstreamHoldsAreCounted) {
  upstream_.answer_ = [](int number, const std::string& id) -> std::optional<std::string> {
    return number == 2 ? std::optional<std::string>("") : Ok(id, "body");
  };
  BOOST_TEST(client_.Held().open_ == 0U);
  Call("GET", "1");
  BOOST_TEST(client_.Held().open_ == 1U);
  // The upstream doesn't answer, so the client gives the connection up.
  Call("GET", "2");
  BOOST_TEST(client_.Held().open_ == 0U);
  BOOST_TEST(client_.Held().abandoned_ == 1U);
  Call("GET", "3");
  BOOST_TEST(client_.Held().open_ == 1U);
  BOOST_TEST(client_.Held().abandoned_ == 0U);
  upstream_.close_after_answer_ = true;
  Call("GET", "4");
  BOOST_TEST(client_.Held().open_ == 0U);
  BOOST_TEST(client_.Held().abandoned_ == 0U);
}

// Guards against connections beyond what the upstream accepts, since idle ones aren't used again
// for every request.
BOOST_AUTO_TEST_CASE(IdleConnectionsMakeRoomAtTheLimit) {
  client_.SetMaxConnections(2);
  upstream_.answer_ = [](int, const std::string& id) {
    return "HTTP/1.1 503 Full\r\nId: " + id + "\r\nContent-Length: 0\r\n\r\n";
  };
  for (int i = 0; i < 5; ++i) {
    Call("GET", "1");  // A failed request isn't sent again over the same connection.
    BOOST_TEST(client_.Held().open_ <= 2U);
  }
  BOOST_TEST(upstream_.connections_ == 5);
}

BOOST_AUTO_TEST_CASE(ARequestThatWasNotSentIsReportedInTime) {
  const int listener = OpenListenSocket("127.0.0.1", 0).value();
  listen(listener, 0);
  const std::string address = "127.0.0.1:" + std::to_string(BoundPort(listener));
  std::array<int, 3> sockets{};
  for (int& socket : sockets) {
    socket = OpenConnectingSocket(address).value();
  }
  client_.SetAddress(address);
  UpstreamCall call;
  call.request_ = {"POST", "/", {{"Host", "h"}, {"Id", "1"}}, {}};
  call.send_timeout_ = milliseconds(50);
  std::optional<UpstreamResult> result;
  client_.Start(call, [&](UpstreamResult value) {
    result = std::move(value);
    loop_.Stop();
  });
  const auto started = BootClock::now();
  RunUntilStopped(loop_);
  BOOST_REQUIRE(result.has_value());
  BOOST_TEST(!result->maybe_sent_);
  BOOST_TEST(!result->refused_);
  BOOST_TEST((BootClock::now() - started < milliseconds(500)));
  BOOST_TEST(!client_.Cancel(client_.Start(call, [](const UpstreamResult&) {})));
  for (const int socket : sockets) {
    close(socket);
  }
  close(listener);
}

// An open call counts as sent for its whole time, however short the time to send it was.
BOOST_AUTO_TEST_CASE(ARequestThatWasSentHasItsWholeTimeout) {
  upstream_.answer_ = [](int, const std::string&) { return std::string("HTTP/1.1 200 OK\r\n"); };
  UpstreamCall call;
  call.request_ = {"POST", "/", {{"Host", "h"}, {"Id", "1"}}, {}};
  call.send_timeout_ = milliseconds(30);
  bool ended = false;
  const UpstreamClient::CallId sent =
      client_.Start(call, [&](const UpstreamResult&) { ended = true; });
  loop_.StartTimer(milliseconds(100), [&] { loop_.Stop(); });
  RunUntilStopped(loop_);
  BOOST_TEST(!ended);
  BOOST_TEST(client_.Cancel(sent));
}

BOOST_AUTO_TEST_CASE(ConnectionCloseInAResponseIsHonoured) {
  upstream_.answer_ = [](int, const std::string& id) {
    return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
  };
  Call("GET", "1");
  Call("GET", "2");
  BOOST_TEST(upstream_.connections_ == 2);
}

BOOST_AUTO_TEST_CASE(AKeepAliveTimeoutWithinTheMarginPreventsReuse) {
  upstream_.answer_ = [](int, const std::string& id) {
    return "HTTP/1.1 200 OK\r\nId: " + id +
           "\r\nKeep-Alive: timeout=1\r\nContent-Length: 0\r\n\r\n";
  };
  Call("GET", "1");
  Call("GET", "2");
  BOOST_TEST(upstream_.connections_ == 2);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ResponseReading)

// Guards against results that depend on how the bytes are split over reads.
BOOST_AUTO_TEST_CASE(ReadsAResponseByteByByte) {
  const std::string text = Ok("1", "abcdef") + "rest";
  ResponseReader reader(1000);
  std::size_t used = 0;
  while (!reader.IsComplete()) {
    const Result<std::size_t> taken = reader.Receive(text.substr(used, 1));
    BOOST_REQUIRE(taken.has_value());
    used += taken.value();
  }
  BOOST_TEST(used == text.size() - 4);
  BOOST_TEST(reader.TakeResponse().body_ == "abcdef");
}

BOOST_AUTO_TEST_CASE(LeavesBytesAfterTheResponse) {
  const std::string text = Ok("1", "abc");
  ResponseReader reader(1000);
  BOOST_TEST(reader.Receive(text + "xyz").value() == text.size());
}

// An upstream in trouble sends bytes until its caller closes the connection. Guards against reading
// on without a limit in any part of a response.
BOOST_AUTO_TEST_CASE(EndlessPartsOfAResponseAreTooLarge) {
  constexpr std::size_t kMaxBodyBytes = 1U << 20U;
  constexpr std::size_t kPieceBytes = 64U << 10U;
  constexpr std::size_t kMaxReceivedBytes = 4U << 20U;
  const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  std::string interim;
  while (interim.size() < kPieceBytes) {
    interim += "HTTP/1.1 102 Processing\r\n\r\n";
  }
  std::string headers;
  while (headers.size() < kPieceBytes) {
    headers += "Name: value\r\n";
  }
  std::string chunks;
  while (chunks.size() < kPieceBytes) {
    chunks += "1;" + std::string(1000, 'e') + "\r\nx\r\n";
  }
  const std::string piece(kPieceBytes, 'a');
  const std::vector<std::pair<std::string, std::string>> cases = {
      {"HTTP/1.1 200 ", piece},
      {"HTTP/1.1 200 OK\r\nName: ", piece},
      {"HTTP/1.1 200 OK\r\n", headers},
      {"HTTP/1.1 200 OK\r\n\r\n", piece},
      {"", interim},
      {chunked + "1;", piece},
      {chunked, chunks},
      {chunked + "0\r\n", headers},
      {chunked + "0\r\nName: ", piece},
      {"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", piece}};
  for (const auto& [start, repeated] : cases) {
    ResponseReader reader(kMaxBodyBytes);
    Result<std::size_t> taken = reader.Receive(start);
    std::size_t received = start.size();
    while (taken && !reader.IsComplete() && received < kMaxReceivedBytes) {
      taken = reader.Receive(repeated);
      received += repeated.size();
    }
    BOOST_TEST(!taken.has_value(), start + repeated.substr(0, 30));
  }
}

BOOST_AUTO_TEST_CASE(ABodyOverTheLimitIsTooLarge) {
  ResponseReader reader(4);
  const Result<std::size_t> taken = reader.Receive(Ok("1", "abcdef"));
  BOOST_REQUIRE(!taken.has_value());
  BOOST_TEST((taken.error().code_ == make_error_code(Errc::kTooLarge)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sassafrasbay
