#define BOOST_TEST_MODULE ReactorLoop
#include <fcntl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <boost/test/unit_test.hpp>
#include <string>
#include <thread>
#include <vector>

#include "LibTransport/loopback.h"
#include "LibTransport/reactor_loop.h"

namespace sassafrasbay {
namespace {

constexpr unsigned kRead = static_cast<unsigned>(Readiness::kRead);
constexpr unsigned kWrite = static_cast<unsigned>(Readiness::kWrite);

struct SocketPair {
  SocketPair() {
    BOOST_REQUIRE(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends_.data()) == 0);
  }
  ~SocketPair() {
    close(ends_[0]);
    close(ends_[1]);
  }
  SocketPair(const SocketPair&) = delete;
  SocketPair& operator=(const SocketPair&) = delete;
  std::array<int, 2> ends_{};
};

// Guards against lost wake-ups or tasks when several threads post at the same time.
BOOST_AUTO_TEST_CASE(TasksOfAllThreadsRunOnTheLoop) {
  constexpr int kThreads = 4;
  constexpr int kTasks = 5000;
  ReactorLoop loop;
  int count = 0;
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int thread = 0; thread < kThreads; ++thread) {
    threads.emplace_back([&] {
      for (int task = 0; task < kTasks; ++task) {
        loop.Post([&] {
          if (++count == kThreads * kTasks) {
            loop.Stop();
          }
        });
      }
    });
  }
  RunUntilStopped(loop);
  for (std::thread& thread : threads) {
    thread.join();
  }
  BOOST_TEST(count == kThreads * kTasks);
}

// Guards against a lost Stop while the loop waits without timers or descriptors.
BOOST_AUTO_TEST_CASE(StopFromAnotherThreadEndsAnIdleLoop) {
  ReactorLoop loop;
  std::thread stopper([&] {
    std::this_thread::sleep_for(milliseconds(20));
    loop.Stop();
  });
  loop.Run();
  stopper.join();
}

// Guards against timers that do not fire while tasks post further tasks.
BOOST_AUTO_TEST_CASE(PostedTasksDontStarveTimers) {
  ReactorLoop loop;
  std::function<void()> again = [&] { loop.Post(again); };
  loop.Post(again);
  loop.StartTimer(milliseconds(10), [&] { loop.Stop(); });
  RunUntilStopped(loop);
}

// Guards against timers firing early or in the wrong order.
BOOST_AUTO_TEST_CASE(TimersFireInOrderAndNotEarly) {
  ReactorLoop loop;
  std::string order;
  const BootTime start = BootClock::now();
  BootTime end = start;
  loop.StartTimer(milliseconds(30), [&] {
    order += 'c';
    end = BootClock::now();
    loop.Stop();
  });
  loop.StartTimer(milliseconds(10), [&] { order += 'b'; });
  loop.StartTimer(milliseconds(0), [&] { order += 'a'; });
  RunUntilStopped(loop);
  BOOST_TEST(order == "abc");
  BOOST_TEST((end - start >= milliseconds(30)));
}

// Guards against a cancelled timer firing, also when another timer's task cancels it.
BOOST_AUTO_TEST_CASE(CancelledTimerDoesNotFire) {
  ReactorLoop loop;
  bool fired = false;
  ReactorLoop::TimerId second = 0;
  loop.StartTimer(milliseconds(5), [&] { loop.CancelTimer(second); });
  second = loop.StartTimer(milliseconds(5), [&] { fired = true; });
  loop.StartTimer(milliseconds(30), [&] { loop.Stop(); });
  RunUntilStopped(loop);
  BOOST_TEST(!fired);
}

// Guards against use after free when the task of a repeating timer cancels the timer.
BOOST_AUTO_TEST_CASE(RepeatingTimerCancelsItself) {
  ReactorLoop loop;
  int count = 0;
  ReactorLoop::TimerId timer = 0;
  timer = loop.StartRepeatingTimer(milliseconds(2), [&] {
    if (++count == 3) {
      loop.CancelTimer(timer);
    }
  });
  loop.StartTimer(milliseconds(40), [&] { loop.Stop(); });
  RunUntilStopped(loop);
  BOOST_TEST(count == 3);
}

// Guards against destroying a callback while it runs, and against events after Unwatch.
BOOST_AUTO_TEST_CASE(CallbackUnwatchesItself) {
  ReactorLoop loop;
  const SocketPair pair;
  int calls = 0;
  const std::string guard(64, 'x');
  std::string seen;
  BOOST_REQUIRE(loop.Watch(pair.ends_[0], kRead, [&loop, &pair, &calls, &seen, guard](unsigned) {
    loop.Unwatch(pair.ends_[0]);
    ++calls;
    seen = guard;
  }));
  BOOST_REQUIRE(write(pair.ends_[1], "x", 1) == 1);
  loop.StartTimer(milliseconds(20), [&] { loop.Stop(); });
  RunUntilStopped(loop);
  BOOST_TEST(calls == 1);
  BOOST_TEST(seen == guard);
}

// Guards against a changed interest being ignored.
BOOST_AUTO_TEST_CASE(SecondWatchReplacesTheFirst) {
  ReactorLoop loop;
  const SocketPair pair;
  unsigned first = 0;
  unsigned second = 0;
  BOOST_REQUIRE(loop.Watch(pair.ends_[0], kRead, [&](unsigned ready) { first |= ready; }));
  BOOST_REQUIRE(loop.Watch(pair.ends_[0], kWrite, [&](unsigned ready) {
    second |= ready;
    loop.Stop();
  }));
  RunUntilStopped(loop);
  BOOST_TEST(first == 0U);
  BOOST_TEST(second == kWrite);
}

// Guards against a hang-up that is not reported because the reactor removes the descriptor.
BOOST_AUTO_TEST_CASE(HangUpIsReported) {
  ReactorLoop loop;
  std::array<int, 2> ends{};
  BOOST_REQUIRE(pipe2(ends.data(), O_NONBLOCK) == 0);
  bool reported = false;
  BOOST_REQUIRE(loop.Watch(ends[0], kRead, [&](unsigned) {
    reported = true;
    loop.Unwatch(ends[0]);
    loop.Stop();
  }));
  close(ends[1]);
  RunUntilStopped(loop);
  close(ends[0]);
  BOOST_TEST(reported);
}

// Guards against the select() limit of 1024 descriptors.
BOOST_AUTO_TEST_CASE(DescriptorsAbove1024Work) {
  constexpr int kHighDescriptor = 1500;
  ReactorLoop loop;
  const SocketPair pair;
  BOOST_REQUIRE(dup2(pair.ends_[0], kHighDescriptor) == kHighDescriptor);
  bool reported = false;
  BOOST_REQUIRE(loop.Watch(kHighDescriptor, kRead, [&](unsigned) {
    reported = true;
    loop.Stop();
  }));
  BOOST_REQUIRE(write(pair.ends_[1], "x", 1) == 1);
  RunUntilStopped(loop);
  loop.Unwatch(kHighDescriptor);
  close(kHighDescriptor);
  BOOST_TEST(reported);
}

}  // namespace
}  // namespace sassafrasbay
