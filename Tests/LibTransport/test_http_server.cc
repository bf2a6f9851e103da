#define BOOST_TEST_MODULE HttpServer
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <string>
#include <thread>
#include <vector>

#include "LibTransport/http_server.h"
#include "LibTransport/loopback.h"

namespace sassafrasbay {
namespace {

using ExchangePointer = std::shared_ptr<HttpExchange>;

std::unique_ptr<HttpServer> StartServer(ReactorLoop& loop, HttpHandler handler) {
  auto server = HttpServerBuilder(loop).MaxBodyBytes(100000).OnRequest(std::move(handler)).Build();
  BOOST_REQUIRE(server.has_value());
  return std::move(server.value());
}

std::string GetText(std::string_view path) {
  return "GET " + std::string(path) + " HTTP/1.1\r\nHost: a\r\n\r\n";
}

// Guards against a path without its query or escapes, and against lost headers or bodies.
BOOST_AUTO_TEST_CASE(RequestReachesTheHandlerInFull) {
  ReactorLoop loop;
  HttpRequest seen;
  const auto server = StartServer(loop, [&](const ExchangePointer& exchange) {
    seen = exchange->Request();
    exchange->Respond(HttpResponse{201, {{"X-Answer", "yes"}, {"Content-Length", "1"}}, "done."});
  });
  std::string answer;
  RunWithPeer(loop, [&] {
    const LoopbackSocket caller(LoopbackSocket::ConnectTo(server->Port()));
    caller.Send(
        "POST /a%2Fb?q=1&r=%20 HTTP/1.1\r\nHost: a\r\nX-One: 1\r\nContent-Length: 3\r\n\r\n");
    caller.Send("xyz");
    answer = caller.ReadUntil("done.");
  });
  BOOST_TEST(seen.method_ == "POST");
  BOOST_TEST(seen.path_ == "/a%2Fb?q=1&r=%20");
  BOOST_TEST(seen.body_ == "xyz");
  BOOST_TEST(FindHeader(seen.headers_, "x-one") == "1");
  BOOST_TEST(answer.starts_with("HTTP/1.1 201"));
  BOOST_TEST(answer.find("X-Answer: yes") != std::string::npos);
  BOOST_TEST(answer.find("Content-Length: 5") != std::string::npos);
}

// Guards against the loss of a deferred response, and against closing a connection between
// requests.
BOOST_AUTO_TEST_CASE(DelayedResponsesOnAPersistentConnection) {
  constexpr int kRequests = 20;
  ReactorLoop loop;
  const auto server = StartServer(loop, [&](const ExchangePointer& exchange) {
    loop.StartTimer(milliseconds(2), [exchange] {
      exchange->Respond(HttpResponse{200, {}, exchange->Request().path_ + "!"});
    });
  });
  int answered = 0;
  RunWithPeer(loop, [&] {
    const LoopbackSocket caller(LoopbackSocket::ConnectTo(server->Port()));
    for (int i = 0; i < kRequests; ++i) {
      const std::string path = "/" + std::to_string(i);
      caller.Send(GetText(path));
      const std::string answer = caller.ReadUntil("!");
      answered += answer.ends_with(path + "!") ? 1 : 0;
    }
  });
  BOOST_TEST(answered == kRequests);
  // The caller may have read the last response before the server completes the exchange.
  loop.StartTimer(milliseconds(20), [&] { loop.Stop(); });
  RunUntilStopped(loop);
  BOOST_TEST(server->OpenExchanges() == 0U);
}

// Guards against callers that keep sending over connections of a process that is about to end,
// since its responses don't announce that.
BOOST_AUTO_TEST_CASE(ConnectionsCloseAfterTheNextResponseIfAsked) {
  ReactorLoop loop;
  const auto server = StartServer(loop, [&](const ExchangePointer& exchange) {
    exchange->Respond(HttpResponse{200, {}, "done."});
  });
  std::string kept;
  std::string closing;
  bool closed = false;
  RunWithPeer(loop, [&] {
    const LoopbackSocket caller(LoopbackSocket::ConnectTo(server->Port()));
    caller.Send(GetText("/"));
    kept = caller.ReadUntil("done.");
    loop.Post([&] { server->CloseAfterResponses(); });
    std::this_thread::sleep_for(milliseconds(50));
    caller.Send(GetText("/"));
    closing = caller.ReadUntil("done.");
    closed = caller.IsClosedByPeer();
  });
  BOOST_TEST(kept.find("Connection: close") == std::string::npos);
  BOOST_TEST(closing.find("Connection: close") != std::string::npos);
  BOOST_TEST(closed);
}

// Guards against a process that ends while it still reads the body of a request.
BOOST_AUTO_TEST_CASE(ARequestIsOpenWhileItsBodyIsRead) {
  ReactorLoop loop;
  const auto server = StartServer(loop, [&](const ExchangePointer& exchange) {
    exchange->Respond(HttpResponse{200, {}, "done."});
  });
  std::size_t open = 0;
  RunWithPeer(loop, [&] {
    const LoopbackSocket caller(LoopbackSocket::ConnectTo(server->Port()));
    caller.Send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nx");
    std::this_thread::sleep_for(milliseconds(50));
    loop.Post([&] { open = server->OpenExchanges(); });
    std::this_thread::sleep_for(milliseconds(50));
    caller.Send("yz");
    caller.ReadUntil("done.");
  });
  BOOST_TEST(open == 1U);
}

// Guards against changed limits that do not take effect in a running server.
BOOST_AUTO_TEST_CASE(SetLimitsAppliesToLaterRequests) {
  ReactorLoop loop;
  const auto server = StartServer(loop, [&](const ExchangePointer& exchange) {
    exchange->Respond(HttpResponse{200, {}, "done."});
  });
  HttpLimits limits;
  limits.max_header_bytes_ = 200;
  limits.max_body_bytes_ = 10;
  server->SetLimits(limits);
  std::string long_header;
  std::string long_body;
  std::string within;
  RunWithPeer(loop, [&] {
    const LoopbackSocket first(LoopbackSocket::ConnectTo(server->Port()));
    first.Send("GET / HTTP/1.1\r\nHost: a\r\nX-Long: " + std::string(300, 'x') + "\r\n\r\n");
    long_header = first.ReadUntil("too large");
    const LoopbackSocket second(LoopbackSocket::ConnectTo(server->Port()));
    second.Send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 11\r\n\r\n");
    long_body = second.ReadUntil("too large");
    const LoopbackSocket third(LoopbackSocket::ConnectTo(server->Port()));
    third.Send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n0123456789");
    within = third.ReadUntil("done.");
  });
  BOOST_TEST(long_header.starts_with("HTTP/1.1 431"));
  BOOST_TEST(long_body.starts_with("HTTP/1.1 413"));
  BOOST_TEST(within.starts_with("HTTP/1.1 200"));
}

// Guards against idle connections that stay open for longer than the idle timeout, or are closed
// before it.
BOOST_AUTO_TEST_CASE(IdleConnectionIsClosedAfterTheIdleTimeout) {
  using Clock = std::chrono::steady_clock;
  ReactorLoop loop;
  // The connection is idle from the response on; its peer may notice that later.
  std::atomic<Clock::time_point> responded_at;
  const auto server = StartServer(loop, [&](const ExchangePointer& exchange) {
    responded_at = Clock::now();
    exchange->Respond(HttpResponse{200, {}, "done."});
  });
  HttpLimits limits;
  limits.header_timeout_ = milliseconds(60'000);
  limits.idle_timeout_ = milliseconds(1500);
  server->SetLimits(limits);
  milliseconds idle{0};
  RunWithPeer(loop, [&] {
    const LoopbackSocket caller(LoopbackSocket::ConnectTo(server->Port()));
    caller.Send(GetText("/"));
    caller.ReadUntil("done.");
    caller.ReadUntil("never");
    idle = std::chrono::duration_cast<milliseconds>(Clock::now() - responded_at.load());
  });
  BOOST_TEST(idle.count() >= 1500);
  BOOST_TEST(idle.count() < 10'000);
}

// Guards against requests that are passed on over a connection that the server has just closed as
// idle, so that they run and get no answer (LOST): the loop was late, and the request was already
// in the socket when the timeout was checked.
BOOST_AUTO_TEST_CASE(ARequestThatArrivedBeforeTheIdleTimeoutIsAnswered) {
  ReactorLoop loop;
  std::atomic<int> handled = 0;
  const auto server = StartServer(loop, [&](const ExchangePointer& exchange) {
    ++handled;
    exchange->Respond(HttpResponse{200, {}, "done."});
  });
  HttpLimits limits;
  limits.idle_timeout_ = milliseconds(400);
  server->SetLimits(limits);
  std::string answer;
  RunWithPeer(loop, [&] {
    const LoopbackSocket caller(LoopbackSocket::ConnectTo(server->Port()));
    caller.Send(GetText("/"));
    caller.ReadUntil("done.");
    loop.Post([] { std::this_thread::sleep_for(milliseconds(1200)); });
    std::this_thread::sleep_for(milliseconds(200));
    caller.Send(GetText("/"));
    answer = caller.ReadUntil("done.");
  });
  BOOST_TEST(handled.load() == 2);
  BOOST_TEST(answer.starts_with("HTTP/1.1 200"));
}

// Guards against callers that are cut off because they reuse a connection within the idle timeout
// in force, while an earlier, shorter one still applies to the connection.
BOOST_AUTO_TEST_CASE(ALongerIdleTimeoutAppliesToIdleConnections) {
  ReactorLoop loop;
  const auto server = StartServer(loop, [&](const ExchangePointer& exchange) {
    exchange->Respond(HttpResponse{200, {}, "done."});
  });
  HttpLimits limits;
  limits.idle_timeout_ = milliseconds(300);
  server->SetLimits(limits);
  std::string answer;
  RunWithPeer(loop, [&] {
    const LoopbackSocket caller(LoopbackSocket::ConnectTo(server->Port()));
    caller.Send(GetText("/"));
    caller.ReadUntil("done.");
    loop.Post([&] {
      limits.idle_timeout_ = milliseconds(5000);
      server->SetLimits(limits);
    });
    std::this_thread::sleep_for(milliseconds(1500));
    caller.Send(GetText("/"));
    answer = caller.ReadUntil("done.");
  });
  BOOST_TEST(answer.starts_with("HTTP/1.1 200"));
}

// Guards against pipelined requests being lost or detected as a disconnect.
BOOST_AUTO_TEST_CASE(PipelinedRequestsAreAnsweredInOrder) {
  ReactorLoop loop;
  int abandoned = 0;
  const auto server = StartServer(loop, [&](const ExchangePointer& exchange) {
    exchange->OnAbandoned([&] { ++abandoned; });
    loop.StartTimer(milliseconds(20), [exchange] {
      exchange->Respond(HttpResponse{200, {}, "<" + exchange->Request().path_ + ">"});
    });
  });
  std::string answer;
  RunWithPeer(loop, [&] {
    const LoopbackSocket caller(LoopbackSocket::ConnectTo(server->Port()));
    caller.Send(GetText("/1") + GetText("/2"));
    answer = caller.ReadUntil("</2>");
  });
  BOOST_TEST(answer.find("</1>") != std::string::npos);
  BOOST_TEST(answer.find("</2>") != std::string::npos);
  BOOST_TEST(abandoned == 0);
}

// Guards against an undetected disconnect of the caller while its request is open.
BOOST_AUTO_TEST_CASE(DisconnectIsReportedWhileWaiting) {
  ReactorLoop loop;
  std::atomic<bool> received = false;
  std::atomic<bool> abandoned = false;
  ExchangePointer open;
  const auto server = StartServer(loop, [&](const ExchangePointer& exchange) {
    open = exchange;
    exchange->OnAbandoned([&] { abandoned = true; });
    received = true;
  });
  RunWithPeer(loop, [&] {
    LoopbackSocket caller(LoopbackSocket::ConnectTo(server->Port()));
    caller.Send(GetText("/"));
    for (int i = 0; i < 5000 && !received; ++i) {
      std::this_thread::sleep_for(milliseconds(1));
    }
    caller.Close();
    for (int i = 0; i < 5000 && !abandoned; ++i) {
      std::this_thread::sleep_for(milliseconds(1));
    }
  });
  BOOST_TEST(abandoned.load());
  // A response after the disconnect is ignored; a callback registered after it is still called.
  open->Respond(HttpResponse{200, {}, {}});
  bool called_after_disconnect = false;
  open->OnAbandoned([&] {
    called_after_disconnect = true;
    loop.Stop();
  });
  RunUntilStopped(loop);
  BOOST_TEST(called_after_disconnect);
}

// Guards against requests with oversize bodies or headers reaching the handler.
BOOST_AUTO_TEST_CASE(OversizeRequestsAreRejected) {
  ReactorLoop loop;
  int handled = 0;
  const auto server = StartServer(loop, [&](const ExchangePointer&) { ++handled; });
  std::string declared;
  std::string chunked;
  std::string headers;
  RunWithPeer(loop, [&] {
    const LoopbackSocket first(LoopbackSocket::ConnectTo(server->Port()));
    first.Send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100001\r\n\r\n");
    declared = first.ReadUntil("\r\n\r\n");
    const LoopbackSocket second(LoopbackSocket::ConnectTo(server->Port()));
    second.Send("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n186A1\r\n");
    second.Send(std::string(100001, 'x') + "\r\n0\r\n\r\n");
    chunked = second.ReadUntil("\r\n\r\n");
    const LoopbackSocket third(LoopbackSocket::ConnectTo(server->Port()));
    third.Send("GET / HTTP/1.1\r\nHost: a\r\nX-Long: " + std::string(40000, 'x') + "\r\n\r\n");
    headers = third.ReadUntil("\r\n\r\n");
  });
  BOOST_TEST(declared.starts_with("HTTP/1.1 413"));
  BOOST_TEST(chunked.starts_with("HTTP/1.1 413"));
  BOOST_TEST(headers.starts_with("HTTP/1.1 431"));
  BOOST_TEST(handled == 0);
}

// Guards against a caller waiting forever because the handler dropped the exchange.
BOOST_AUTO_TEST_CASE(DroppedExchangeIsAnswered) {
  ReactorLoop loop;
  const auto server = StartServer(loop, [](const ExchangePointer&) {});
  std::string answer;
  RunWithPeer(loop, [&] {
    const LoopbackSocket caller(LoopbackSocket::ConnectTo(server->Port()));
    caller.Send(GetText("/"));
    answer = caller.ReadUntil("\r\n\r\n");
  });
  BOOST_TEST(answer.starts_with("HTTP/1.1 500"));
}

// Guards against a drain that aborts an open exchange or still accepts connections.
BOOST_AUTO_TEST_CASE(OpenExchangeIsAnsweredAfterStopAccepting) {
  ReactorLoop loop;
  std::unique_ptr<HttpServer> server;
  server = StartServer(loop, [&](const ExchangePointer& exchange) {
    server->StopAccepting();
    loop.StartTimer(milliseconds(20), [exchange] {
      exchange->Respond(HttpResponse{200, {}, "late"});
    });
  });
  std::string answer;
  bool refused = false;
  RunWithPeer(loop, [&] {
    const LoopbackSocket caller(LoopbackSocket::ConnectTo(server->Port()));
    caller.Send(GetText("/"));
    answer = caller.ReadUntil("late");
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(server->Port());
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    refused = connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0;
    close(descriptor);
  });
  BOOST_TEST(answer.ends_with("late"));
  BOOST_TEST(answer.find("Connection: close") != std::string::npos);
  BOOST_TEST(refused);
}

// Guards against a crash when the server is destroyed before its open exchanges.
BOOST_AUTO_TEST_CASE(ExchangeOutlivesTheServer) {
  ReactorLoop loop;
  ExchangePointer open;
  auto server = StartServer(loop, [&](const ExchangePointer& exchange) {
    open = exchange;
    loop.Stop();
  });
  const LoopbackSocket caller(LoopbackSocket::ConnectTo(server->Port()));
  caller.Send(GetText("/"));
  RunUntilStopped(loop);
  server.reset();
  BOOST_REQUIRE(open != nullptr);
  open->Respond(HttpResponse{200, {}, "too late"});
  BOOST_TEST(caller.IsClosedByPeer());
}

// Guards against Build succeeding on a port that is in use.
BOOST_AUTO_TEST_CASE(BusyPortIsAnError) {
  ReactorLoop loop;
  const auto server = StartServer(loop, [](const ExchangePointer&) {});
  const auto second = HttpServerBuilder(loop).Listen("127.0.0.1", server->Port()).Build();
  BOOST_REQUIRE(!second.has_value());
  BOOST_TEST((second.error().code_ == std::errc::address_in_use));
}

}  // namespace
}  // namespace sassafrasbay
