#include "LibTransport/reactor_loop.h"

#include <ace/ACE.h>
#include <ace/Dev_Poll_Reactor.h>
#include <ace/Event_Handler.h>
#include <ace/Reactor.h>
#include <ace/Recursive_Thread_Mutex.h>
#include <ace/Timer_Heap.h>
#include <sys/resource.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <mutex>
#include <string>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

namespace sassafrasbay {
namespace {

// ACE preallocates a table with 24 bytes for each possible descriptor. The process limit can be a
// million descriptors; such a table would take a third of a node's memory limit.
constexpr rlim_t kMaxDescriptors = 16384;

constexpr unsigned kReadBit = static_cast<unsigned>(Readiness::kRead);
constexpr unsigned kWriteBit = static_cast<unsigned>(Readiness::kWrite);

std::size_t DescriptorTableSize() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) {
    return static_cast<std::size_t>(ACE::max_handles());
  }
  return static_cast<std::size_t>(std::min(limit.rlim_max, kMaxDescriptors));
}

ACE_Time_Value ToTimeValue(milliseconds time) {
  const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(time);
  const auto rest = std::chrono::duration_cast<std::chrono::microseconds>(time - seconds);
  return ACE_Time_Value(static_cast<time_t>(seconds.count()),
                        static_cast<suseconds_t>(rest.count()));
}

// The reactor truncates its waits to whole milliseconds. A clock in whole milliseconds avoids the
// truncation, which would make the loop spin through the last fraction before a timer.
ACE_Time_Value TimerNow() {
  return ToTimeValue(milliseconds(ToBootMilliseconds(BootClock::now())));
}

ACE_Reactor_Mask ToMask(unsigned interest) {
  ACE_Reactor_Mask mask = ACE_Event_Handler::NULL_MASK;
  if ((interest & kReadBit) != 0) {
    mask |= ACE_Event_Handler::READ_MASK;
  }
  if ((interest & kWriteBit) != 0) {
    mask |= ACE_Event_Handler::WRITE_MASK;
  }
  return mask;
}

using WatchCallback = std::function<void(unsigned)>;

struct WatchEntry {
  unsigned interest_ = 0;
  std::shared_ptr<WatchCallback> callback_;
};

struct TimerEntry {
  ReactorLoop::TimerId id_ = 0;
  std::int64_t ace_id_ = -1;
  bool repeats_ = false;
  std::shared_ptr<ReactorLoop::Task> task_;
};

}  // namespace

// A single handler serves all descriptors and timers, so no handler is destroyed during its own
// upcall.
struct ReactorLoop::Impl final : public ACE_Event_Handler {
  Impl() : reactor_(DescriptorTableSize(), true, nullptr, &timers_, 0, nullptr, 0) {
    timers_.set_time_policy(ACE_FPointer_Time_Policy(&TimerNow));
  }

  int handle_input(ACE_HANDLE handle) override {  // NOLINT(readability-identifier-naming)
    Dispatch(handle, kReadBit);
    return 0;
  }

  int handle_output(ACE_HANDLE handle) override {  // NOLINT(readability-identifier-naming)
    Dispatch(handle, kWriteBit);
    return 0;
  }

  // Called for Wake. Does nothing: the loop runs the posted tasks once it is awake.
  int handle_exception(ACE_HANDLE) override { return 0; }  // NOLINT(readability-identifier-naming)

  // The reactor removes a descriptor that reports only an error or a hang-up. Register it again and
  // report all watched bits, so that the user's next read or write returns the error.
  int handle_close(ACE_HANDLE handle, ACE_Reactor_Mask) override {  // NOLINT
    const auto entry = watches_.find(handle);
    if (entry == watches_.end()) {
      return 0;
    }
    const unsigned interest = entry->second.interest_;
    reactor_.register_handler(handle, this, ToMask(interest));
    Dispatch(handle, interest);
    return 0;
  }

  int handle_timeout(const ACE_Time_Value&, const void* argument) override {  // NOLINT
    // A timer is cancelled in ACE before its entry is erased, so the entry exists here.
    const auto* entry = static_cast<const TimerEntry*>(argument);
    const std::shared_ptr<Task> task = entry->task_;
    if (!entry->repeats_) {
      timer_entries_.erase(entry->id_);
    }
    (*task)();
    return 0;
  }

  void Dispatch(int descriptor, unsigned ready) {
    const auto entry = watches_.find(descriptor);
    if (entry == watches_.end()) {
      return;
    }
    const std::shared_ptr<WatchCallback> callback = entry->second.callback_;
    (*callback)(ready & entry->second.interest_);
  }

  TimerId Schedule(milliseconds delay, milliseconds interval, Task task) {
    const TimerId id = ++last_timer_;
    // The clock is rounded down. The additional millisecond prevents timers from firing early.
    const milliseconds rounded = delay.count() > 0 ? delay + milliseconds(1) : milliseconds(0);
    // Elements of the map have stable addresses, so a pointer to one can be the timer's argument.
    TimerEntry& entry = timer_entries_[id];
    entry = TimerEntry{id, -1, interval.count() > 0, std::make_shared<Task>(std::move(task))};
    entry.ace_id_ =
        reactor_.schedule_timer(this, &entry, ToTimeValue(rounded), ToTimeValue(interval));
    return id;
  }

  // Tasks posted by these tasks run in the next iteration, so they can't starve descriptors.
  void RunPostedTasks() {
    {
      const std::lock_guard lock(mutex_);
      running_tasks_.swap(posted_tasks_);
    }
    for (Task& task : running_tasks_) {
      task();
      task = nullptr;
    }
    running_tasks_.clear();
  }

  bool HasPostedTasks() {
    const std::lock_guard lock(mutex_);
    return !posted_tasks_.empty();
  }

  // The reactor skips due timers when called with a zero timeout. Without a timeout it runs due
  // timers and does not wait.
  bool HasDueTimer() { return !timers_.is_empty() && timers_.earliest_time() <= TimerNow(); }

  void Wake() { reactor_.notify(this, ACE_Event_Handler::EXCEPT_MASK); }

  ACE_Timer_Heap timers_;  // Must outlive the reactor.
  ACE_Dev_Poll_Reactor reactor_;
  std::unordered_map<int, WatchEntry> watches_;
  std::unordered_map<TimerId, TimerEntry> timer_entries_;
  TimerId last_timer_ = 0;
  std::mutex mutex_;
  std::vector<Task> posted_tasks_;  // Guarded by mutex_.
  std::vector<Task> running_tasks_;
  std::atomic<bool> stopped_ = false;
  std::atomic<std::thread::id> loop_thread_;
};

ReactorLoop::ReactorLoop() : impl_(std::make_unique<Impl>()) {}

ReactorLoop::~ReactorLoop() {
  // Tasks and callbacks may own objects whose destructors call Unwatch or CancelTimer.
  auto timers = std::exchange(impl_->timer_entries_, {});
  for (const auto& [id, entry] : timers) {
    impl_->reactor_.cancel_timer(entry.ace_id_);
  }
  timers.clear();
  const auto watches = impl_->watches_;
  for (const auto& [descriptor, entry] : watches) {
    Unwatch(descriptor);
  }
  while (!impl_->posted_tasks_.empty()) {
    // Destroying a task may post another one.
    const std::vector<Task> tasks = std::exchange(impl_->posted_tasks_, {});
  }
}

void ReactorLoop::Run() {
  impl_->loop_thread_ = std::this_thread::get_id();
  while (!impl_->stopped_) {
    impl_->RunPostedTasks();
    if (impl_->stopped_) {
      break;
    }
    ACE_Time_Value no_wait = ACE_Time_Value::zero;
    const bool poll = impl_->HasPostedTasks() && !impl_->HasDueTimer();
    impl_->reactor_.handle_events(poll ? &no_wait : nullptr);
  }
  impl_->loop_thread_ = std::thread::id();
  impl_->stopped_ = false;
}

void ReactorLoop::Stop() {
  impl_->stopped_ = true;
  impl_->Wake();
}

void ReactorLoop::Post(Task task) {
  bool first = false;
  {
    const std::lock_guard lock(impl_->mutex_);
    first = impl_->posted_tasks_.empty();
    impl_->posted_tasks_.push_back(std::move(task));
  }
  // One wake-up is enough for all tasks queued until the loop takes them. None is needed on the
  // loop's own thread, which checks the queue before it waits.
  if (first && impl_->loop_thread_.load() != std::this_thread::get_id()) {
    impl_->Wake();
  }
}

ReactorLoop::TimerId ReactorLoop::StartTimer(milliseconds delay, Task task) {
  return impl_->Schedule(delay, milliseconds(0), std::move(task));
}

ReactorLoop::TimerId ReactorLoop::StartRepeatingTimer(milliseconds interval, Task task) {
  return impl_->Schedule(interval, interval, std::move(task));
}

void ReactorLoop::CancelTimer(TimerId timer) {
  const auto entry = impl_->timer_entries_.find(timer);
  if (entry == impl_->timer_entries_.end()) {
    return;
  }
  impl_->reactor_.cancel_timer(entry->second.ace_id_);
  impl_->timer_entries_.erase(entry);
}

Result<void> ReactorLoop::Watch(int descriptor, unsigned interest, WatchCallback callback) {
  const auto entry = impl_->watches_.find(descriptor);
  const ACE_Reactor_Mask mask = ToMask(interest);
  if (entry != impl_->watches_.end()) {
    entry->second.callback_ = std::make_shared<WatchCallback>(std::move(callback));
    if (entry->second.interest_ != interest) {
      entry->second.interest_ = interest;
      impl_->reactor_.mask_ops(descriptor, mask, ACE_Reactor::SET_MASK);
    }
    return boost::outcome_v2::success();
  }
  if (impl_->reactor_.register_handler(descriptor, impl_.get(), mask) != 0) {
    return MakeError(std::error_code(errno, std::generic_category()), "watch descriptor", {},
                     std::to_string(descriptor));
  }
  impl_->watches_[descriptor] =
      WatchEntry{interest, std::make_shared<WatchCallback>(std::move(callback))};
  return boost::outcome_v2::success();
}

void ReactorLoop::Unwatch(int descriptor) {
  const auto entry = impl_->watches_.find(descriptor);
  if (entry == impl_->watches_.end()) {
    return;
  }
  const std::shared_ptr<WatchCallback> callback = std::move(entry->second.callback_);
  impl_->watches_.erase(entry);
  impl_->reactor_.remove_handler(descriptor,
                                 ACE_Event_Handler::ALL_EVENTS_MASK | ACE_Event_Handler::DONT_CALL);
}

}  // namespace sassafrasbay
