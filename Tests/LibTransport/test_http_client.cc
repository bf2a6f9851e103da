#define BOOST_TEST_MODULE HttpClient
#include <algorithm>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "LibTransport/http_client.h"
#include "LibTransport/http_server.h"
#include "LibTransport/loopback.h"
#include "LibTransport/stub_upstream.h"

namespace sassafrasbay {
namespace {

using ExchangePointer = std::shared_ptr<HttpExchange>;

constexpr std::string_view kAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

HttpCall MakeCall(std::uint16_t port, std::string method, std::string path) {
  HttpCall call;
  call.base_url_ = "http://127.0.0.1:" + std::to_string(port);
  call.request_.method_ = std::move(method);
  call.request_.path_ = std::move(path);
  return call;
}

std::unique_ptr<HttpServer> StartServer(ReactorLoop& loop, HttpHandler handler) {
  auto server =
      HttpServerBuilder(loop).MaxBodyBytes(8U << 20U).OnRequest(std::move(handler)).Build();
  BOOST_REQUIRE(server.has_value());
  return std::move(server.value());
}

/// Starts one call and runs the loop until its callback.
HttpResult RunCall(ReactorLoop& loop, HttpClient& client, HttpCall call) {
  std::optional<HttpResult> result;
  client.Start(std::move(call), [&](HttpResult value) {
    result = std::move(value);
    loop.Stop();
  });
  BOOST_TEST(!result.has_value());
  RunUntilStopped(loop);
  BOOST_REQUIRE(result.has_value());
  return std::move(*result);
}

/// Answers the first request on a listening socket with `bytes` and closes the connection.
class ScriptedServer {
 public:
  explicit ScriptedServer(const std::string& bytes)
      : listener_(OpenListenSocket("127.0.0.1", 0).value()), thread_([this, bytes] {
          const LoopbackSocket socket(LoopbackSocket::AcceptFrom(listener_));
          request_ = socket.ReadUntil("\r\n\r\n");
          socket.Send(bytes);
        }) {}
  ~ScriptedServer() {
    Join();
    close(listener_);
  }
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;
  std::uint16_t Port() const { return BoundPort(listener_); }
  const std::string& Join() {
    if (thread_.joinable()) {
      thread_.join();
    }
    return request_;
  }

 private:
  int listener_;
  std::string request_;
  std::thread thread_;
};

Result<HttpResponse> CallScripted(const std::string& bytes) {
  ReactorLoop loop;
  HttpClient client(loop, 4);
  const ScriptedServer server(bytes);
  return RunCall(loop, client, MakeCall(server.Port(), "GET", "/")).response_;
}

// Guards against lost or reordered headers, and against bodies truncated at a buffer boundary.
BOOST_AUTO_TEST_CASE(LargeBodiesAndHeadersArriveInFull) {
  ReactorLoop loop;
  HttpClient client(loop, 4);
  HttpRequest seen;
  const auto server = StartServer(loop, [&](const ExchangePointer& exchange) {
    seen = exchange->Request();
    exchange->Respond(
        HttpResponse{409, {{"X-B", "1"}, {"X-A", "2"}, {"X-B", "3"}}, std::string(3U << 20U, 'r')});
  });
  HttpCall call = MakeCall(server->Port(), "PUT", "/a%2Fb/../c?x=%20");
  call.request_.body_ = std::string(5U << 20U, 'q');
  call.request_.headers_ = {{"X-Empty", ""}, {"X-One", "1"}, {"Connection", "close"}};
  const HttpResult result = RunCall(loop, client, std::move(call));
  BOOST_REQUIRE(result.response_.has_value());
  const HttpResponse& response = result.response_.value();
  BOOST_TEST(response.status_ == 409);
  BOOST_TEST(response.body_.size() == 3U << 20U);
  std::string order;
  for (const auto& [name, value] : response.headers_) {
    order += name.starts_with("X-") ? name + value : "";
  }
  BOOST_TEST(order == "X-B1X-A2X-B3");
  BOOST_TEST(seen.method_ == "PUT");
  BOOST_TEST(seen.path_ == "/a%2Fb/../c?x=%20");
  BOOST_TEST(seen.body_.size() == 5U << 20U);
  BOOST_TEST(FindHeader(seen.headers_, "X-One") == "1");
  std::string names;
  for (const auto& [name, value] : seen.headers_) {
    names += name + " ";
  }
  BOOST_TEST(names.find("X-Empty") != std::string::npos);
  BOOST_TEST(names.find("Expect") == std::string::npos);
  BOOST_TEST(names.find("Connection") == std::string::npos);
  BOOST_TEST(names.find("Content-Type") == std::string::npos);
}

// Guards against lost calls over many sequential exchanges on a reused connection.
BOOST_AUTO_TEST_CASE(ThousandsOfSequentialExchanges) {
  constexpr int kExchanges = 5000;
  ReactorLoop loop;
  HttpClient client(loop, 4);
  const auto server = StartServer(loop, [&](const ExchangePointer& exchange) {
    loop.Post([exchange] { exchange->Respond(HttpResponse{200, {}, exchange->Request().path_}); });
  });
  int succeeded = 0;
  std::function<void(int)> next = [&](int number) {
    if (number == kExchanges) {
      loop.Stop();
      return;
    }
    const std::string path = "/" + std::to_string(number);
    client.Start(MakeCall(server->Port(), "GET", path), [&, number,
                                                         path](const HttpResult& result) {
      succeeded += result.response_.has_value() && result.response_.value().body_ == path ? 1 : 0;
      next(number + 1);
    });
  };
  next(0);
  RunUntilStopped(loop);
  BOOST_TEST(succeeded == kExchanges);
}

// Guards against a request on a refused connection being reported as possibly sent, which would
// turn the outcome "not-run" (safe to retry) into "unknown".
BOOST_AUTO_TEST_CASE(RefusedConnectionIsNotSent) {
  ReactorLoop loop;
  HttpClient client(loop, 4);
  const int listener = OpenListenSocket("127.0.0.1", 0).value();
  const std::uint16_t port = BoundPort(listener);
  close(listener);
  const HttpResult result = RunCall(loop, client, MakeCall(port, "POST", "/"));
  BOOST_REQUIRE(!result.response_.has_value());
  BOOST_TEST((result.response_.error().code_ == Errc::kUnavailable));
  BOOST_TEST(!result.maybe_sent_);
}

// Guards against a request being reported as not sent when it timed out after it was sent.
BOOST_AUTO_TEST_CASE(TimeoutAfterSendingIsMaybeSent) {
  ReactorLoop loop;
  HttpClient client(loop, 4);
  ExchangePointer open;
  const auto server = StartServer(loop, [&](const ExchangePointer& exchange) { open = exchange; });
  HttpCall call = MakeCall(server->Port(), "POST", "/");
  call.timeout_ = milliseconds(50);
  const HttpResult result = RunCall(loop, client, std::move(call));
  BOOST_REQUIRE(!result.response_.has_value());
  BOOST_TEST((result.response_.error().code_ == Errc::kTimedOut));
  BOOST_TEST(result.maybe_sent_);
}

/// A server whose response takes several times as long as the stall timeout of its client.
struct SlowResponse {
  SlowResponse() {
    server_.answer_ = [](int, const std::string&) {
      return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kBytes) + "\r\n\r\n";
    };
    server_.endless_bytes_ = kBytesPerMillisecond;
    server_.is_endless_ = [this] { return sent_++ < sent_limit_; };
  }

  HttpResult Call() {
    HttpClient client(loop_, 4);
    HttpCall call = MakeCall(0, "GET", "/");
    call.base_url_ = "http://" + server_.Address();
    call.timeout_ = milliseconds(20'000);
    call.stall_timeout_ = kStallTimeout;
    return RunCall(loop_, client, std::move(call));
  }

  static constexpr std::size_t kBytes = 1'000'000;
  static constexpr std::size_t kBytesPerMillisecond = 1000;
  static constexpr milliseconds kStallTimeout{250};

  ReactorLoop loop_;
  StubUpstream server_{loop_};
  int sent_ = 0;
  int sent_limit_ = 1'000'000;
};

// Guards against a response that is given up although it keeps arriving.
BOOST_AUTO_TEST_CASE(AResponseThatMakesProgressIsNotGivenUp) {
  SlowResponse slow;
  const BootTime start = BootClock::now();
  const HttpResult result = slow.Call();
  BOOST_REQUIRE(result.response_.has_value());
  BOOST_TEST(result.response_.value().body_.size() == SlowResponse::kBytes);
  BOOST_TEST((BootClock::now() - start > SlowResponse::kStallTimeout));
}

// Guards against a wait for the limit of the whole call once nothing arrives any more.
BOOST_AUTO_TEST_CASE(AResponseThatStallsIsGivenUp) {
  SlowResponse slow;
  slow.sent_limit_ = 100;
  const HttpResult result = slow.Call();
  BOOST_REQUIRE(!result.response_.has_value());
  BOOST_TEST((result.response_.error().code_ == Errc::kTimedOut));
  BOOST_TEST(result.maybe_sent_);
}

// Guards against a truncated body being accepted as a complete response.
BOOST_AUTO_TEST_CASE(TruncatedBodiesAreErrors) {
  const auto declared = CallScripted("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nshort");
  BOOST_REQUIRE(!declared.has_value());
  BOOST_TEST((declared.error().code_ == Errc::kConnectionLost));
  const auto chunked =
      CallScripted("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n");
  BOOST_REQUIRE(!chunked.has_value());
  BOOST_TEST((chunked.error().code_ == Errc::kConnectionLost));
  const auto undeclared = CallScripted("HTTP/1.1 200 OK\r\n\r\nshort");
  BOOST_REQUIRE(!undeclared.has_value());
  BOOST_TEST((undeclared.error().code_ == Errc::kConnectionLost));
  const auto junk = CallScripted("this is not HTTP\r\n\r\n");
  BOOST_REQUIRE(!junk.has_value());
  BOOST_TEST((junk.error().code_ == Errc::kMalformed));
}

// Guards against unbounded memory use for a response.
BOOST_AUTO_TEST_CASE(OversizeResponseIsAnError) {
  ReactorLoop loop;
  HttpClient client(loop, 4);
  const auto server = StartServer(loop, [](const ExchangePointer& exchange) {
    exchange->Respond(HttpResponse{200, {}, std::string(1001, 'x')});
  });
  HttpCall call = MakeCall(server->Port(), "GET", "/");
  call.max_response_bytes_ = 1000;
  const HttpResult result = RunCall(loop, client, std::move(call));
  BOOST_REQUIRE(!result.response_.has_value());
  BOOST_TEST((result.response_.error().code_ == Errc::kTooLarge));
}

// Guards against headers without end, from a faulty store or another server, that take the memory
// of the process. Some versions of libcurl limit only each line.
BOOST_AUTO_TEST_CASE(HeadersBeyondTheLimitAreTooLarge) {
  std::string fields;
  for (int i = 0; i < 120; ++i) {
    fields += "Name: " + std::string(1000, 'v') + "\r\n";
  }
  for (const std::string& text :
       {"HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 0\r\n\r\n",
        "HTTP/1.1 103 Early Hints\r\n" + fields +
            "\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + fields + "\r\n"}) {
    const auto result = CallScripted(text);
    BOOST_REQUIRE(!result.has_value());
    BOOST_TEST((result.error().code_ == Errc::kTooLarge));
  }
}

// Guards against redirects being followed, which would run the request again on another server.
BOOST_AUTO_TEST_CASE(RedirectIsReturned) {
  const auto result = CallScripted(
      "HTTP/1.1 100 Continue\r\nX-Interim: 1\r\n\r\n"
      "HTTP/1.1 302 Found\r\nLocation: /x\r\nContent-Length: 0\r\n\r\n");
  BOOST_REQUIRE(result.has_value());
  BOOST_TEST(result.value().status_ == 302);
  BOOST_TEST(FindHeader(result.value().headers_, "Location") == "/x");
  BOOST_TEST(FindHeader(result.value().headers_, "X-Interim").empty());
}

// Guards against a status that is none and passes for the one of a response.
BOOST_AUTO_TEST_CASE(StatusesThatAreNoneAreErrors) {
  for (const std::string line : {"HTTP/1.1 000 None", "HTTP/1.1 099 Below", "HTTP/1.1 600 Above",
                                 "HTTP/1.1 999 Above", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK",
                                 "HTTP/1.1 2x0 OK", "HTTP/1.1 ", "HTTP/0.9 200 OK", "old"}) {
    BOOST_TEST(!CallScripted(line + "\r\nContent-Length: 0\r\n\r\n").has_value(), line);
  }
  const auto without_reason = CallScripted("HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n");
  BOOST_TEST((without_reason.has_value() && without_reason.value().status_ == 200));
}

// Guards against header injection through values received from other nodes.
BOOST_AUTO_TEST_CASE(ControlCharactersAreRejected) {
  ReactorLoop loop;
  HttpClient client(loop, 4);
  HttpCall call = MakeCall(1, "GET", "/");
  call.request_.headers_ = {{"X-One", "1\r\nX-Two: 2"}};
  const HttpResult result = RunCall(loop, client, std::move(call));
  BOOST_REQUIRE(!result.response_.has_value());
  BOOST_TEST((result.response_.error().code_ == Errc::kInvalidArgument));
  BOOST_TEST(!result.maybe_sent_);
}

// Guards against more connections to a host than the limit, and against the loss of calls that wait
// for a connection, both with reused and with fresh connections.
BOOST_AUTO_TEST_CASE(ConnectionsPerHostAreLimited) {
  constexpr int kLimit = 3;
  constexpr int kCalls = 40;
  for (const bool fresh : {false, true}) {
    ReactorLoop loop;
    HttpClient client(loop, kLimit);
    int open = 0;
    int max_open = 0;
    const auto server = StartServer(loop, [&](const ExchangePointer& exchange) {
      max_open = std::max(max_open, ++open);
      loop.StartTimer(milliseconds(2), [&, exchange] {
        --open;
        exchange->Respond(HttpResponse{200, {}, "ok"});
      });
    });
    int succeeded = 0;
    int finished = 0;
    for (int i = 0; i < kCalls; ++i) {
      HttpCall call = MakeCall(server->Port(), "GET", "/");
      call.fresh_connection_ = fresh;
      client.Start(std::move(call), [&](const HttpResult& result) {
        succeeded += result.response_.has_value() ? 1 : 0;
        if (++finished == kCalls) {
          loop.Stop();
        }
      });
    }
    RunUntilStopped(loop);
    BOOST_TEST(succeeded == kCalls);
    BOOST_TEST(max_open == kLimit);
  }
}

// Guards against requests between nodes being sent through a proxy set in the environment.
BOOST_AUTO_TEST_CASE(EnvironmentProxyIsIgnored) {
  setenv("http_proxy", "http://127.0.0.1:1", 1);  // Nothing listens on port 1.
  const auto result = CallScripted(std::string(kAnswer));
  unsetenv("http_proxy");
  BOOST_TEST(result.has_value());
}

// Guards against a folded header line being parsed as a separate header.
BOOST_AUTO_TEST_CASE(FoldedHeaderIsJoined) {
  const auto result =
      CallScripted("HTTP/1.1 200 OK\r\nX-Long: one\r\n  two: 2\r\nContent-Length: 0\r\n\r\n");
  BOOST_REQUIRE(result.has_value());
  BOOST_TEST(FindHeader(result.value().headers_, "X-Long") == "one two: 2");
}

// Guards against a cancelled call running its callback or leaving its connection open.
BOOST_AUTO_TEST_CASE(CancelClosesTheConnection) {
  ReactorLoop loop;
  HttpClient client(loop, 4);
  bool called = false;
  bool abandoned = false;
  HttpClient::CallId call = 0;
  ExchangePointer open;
  const auto server = StartServer(loop, [&](const ExchangePointer& exchange) {
    open = exchange;
    exchange->OnAbandoned([&] {
      abandoned = true;
      loop.Stop();
    });
    loop.Post([&] { client.Cancel(call); });
  });
  call =
      client.Start(MakeCall(server->Port(), "GET", "/"), [&](const HttpResult&) { called = true; });
  RunUntilStopped(loop);
  BOOST_TEST(abandoned);
  BOOST_TEST(!called);
}

/// Answers requests for "/first". Closes the connection without a response after any other request.
class ClosingServer {
 public:
  ClosingServer() : listener_(OpenListenSocket("127.0.0.1", 0).value()) {
    acceptor_ = std::thread([this] {
      while (!done_) {
        const int descriptor = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor >= 0) {
          connections_.emplace_back([this, descriptor] { Serve(descriptor); });
        } else {
          std::this_thread::sleep_for(milliseconds(1));
        }
      }
    });
  }
  /// Stops the server and returns how many requests for "/binding" it received. To be called when
  /// all clients are destroyed, so that all connections have ended.
  int CountBindingReads() {
    done_ = true;
    acceptor_.join();
    for (std::thread& connection : connections_) {
      connection.join();
    }
    close(listener_);
    return reads_;
  }
  std::uint16_t Port() const { return BoundPort(listener_); }

 private:
  void Serve(int descriptor) {
    const LoopbackSocket socket(descriptor);
    std::string request = socket.ReadUntil("\r\n\r\n");
    while (request.find("/first") != std::string::npos) {
      socket.Send(kAnswer);
      request = socket.ReadUntil("\r\n\r\n");
    }
    reads_ += request.find("/binding") != std::string::npos ? 1 : 0;
  }

  int listener_;
  std::atomic<bool> done_ = false;
  std::atomic<int> reads_ = 0;
  std::vector<std::thread> connections_;
  std::thread acceptor_;
};

int CountBindingReads(bool fresh, bool after_success) {
  ReactorLoop loop;
  ClosingServer server;
  {
    HttpClient client(loop, 4);
    if (after_success) {
      const HttpResult first = RunCall(loop, client, MakeCall(server.Port(), "GET", "/first"));
      BOOST_TEST(first.response_.has_value());
    }
    HttpCall call = MakeCall(server.Port(), "POST", "/binding");
    call.request_.body_ = "release";
    call.fresh_connection_ = fresh;
    const HttpResult result = RunCall(loop, client, std::move(call));
    BOOST_TEST(!result.response_.has_value());
    BOOST_TEST(result.maybe_sent_);
  }
  return server.CountBindingReads();
}

// Guards against a binding request reaching a server twice. The last check documents why
// fresh_connection_ is needed: libcurl resends a request when a reused connection is closed. It
// fails once libcurl no longer does so.
BOOST_AUTO_TEST_CASE(FreshConnectionSendsExactlyOnce) {
  BOOST_TEST(CountBindingReads(true, false) == 1);
  BOOST_TEST(CountBindingReads(true, true) == 1);
  BOOST_TEST(CountBindingReads(false, false) == 1);
  BOOST_TEST(CountBindingReads(false, true) == 2);
}

}  // namespace
}  // namespace sassafrasbay
