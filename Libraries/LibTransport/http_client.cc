#include "LibTransport/http_client.h"

#include <curl/curl.h>

#include <algorithm>
#include <unordered_map>
#include <utility>
#include <vector>

#include "LibTransport/http_call.h"

namespace sassafrasbay {
namespace {

constexpr unsigned kReadBit = static_cast<unsigned>(Readiness::kRead);
constexpr unsigned kWriteBit = static_cast<unsigned>(Readiness::kWrite);

// Limit of idle connections over all hosts. libcurl's default, four per running transfer, would
// close reusable connections after each burst.
constexpr long kMaxIdleConnections = 512;  // NOLINT(google-runtime-int): libcurl's type

// Delay after which a call without progress is checked once more.
constexpr milliseconds kStallRecheckDelay{5};

// Limit of transfer handles kept for reuse. Each handle holds its receive and upload buffers.
constexpr std::size_t kMaxSpareHandles = 64;

void InitializeCurl() {
  static const CURLcode kStatus = curl_global_init(CURL_GLOBAL_DEFAULT);
  static_cast<void>(kStatus);
}

unsigned ToReadinessBits(int what) {
  unsigned interest = 0;
  if (what == CURL_POLL_IN || what == CURL_POLL_INOUT) {
    interest |= kReadBit;
  }
  if (what == CURL_POLL_OUT || what == CURL_POLL_INOUT) {
    interest |= kWriteBit;
  }
  return interest;
}

int ToSelectBits(unsigned ready) {
  int bits = 0;
  if ((ready & kReadBit) != 0) {
    bits |= CURL_CSELECT_IN;
  }
  if ((ready & kWriteBit) != 0) {
    bits |= CURL_CSELECT_OUT;
  }
  return bits;
}

}  // namespace

struct HttpClient::Impl {
  Impl(ReactorLoop& loop, int max_connections_per_host);
  ~Impl();
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  CallId Start(HttpCall call, Callback callback);
  void Cancel(CallId id);
  void HandleSocketAction(curl_socket_t socket, int bits);
  void FinishCompletedTransfers();
  void Finish(CallState& state, HttpResult result);
  void CheckProgress(CallId id);
  void PostStartError(CallId id);
  void Release(CallState& state);
  void SetTimer(long timeout_ms);  // NOLINT(google-runtime-int): libcurl's type
  CURL* TakeHandle();

  static int OnSocket(CURL* easy, curl_socket_t socket, int what, void* context, void* data);
  static int OnTimerChanged(CURLM* multi, long timeout_ms, void* context);  // NOLINT

  ReactorLoop& loop_;
  CURLM* multi_;
  std::unordered_map<CallId, std::unique_ptr<CallState>> calls_;
  std::vector<CURL*> spare_handles_;
  CallId last_id_ = 0;
  ReactorLoop::TimerId timer_ = 0;
  bool action_posted_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // Checked by posted tasks.
};

int HttpClient::Impl::OnSocket(CURL*, curl_socket_t socket, int what, void* context, void*) {
  auto* impl = static_cast<Impl*>(context);
  if (what == CURL_POLL_REMOVE) {
    impl->loop_.Unwatch(socket);
    return 0;
  }
  const Result<void> watched = impl->loop_.Watch(
      socket, ToReadinessBits(what),
      [impl, socket](unsigned ready) { impl->HandleSocketAction(socket, ToSelectBits(ready)); });
  return watched ? 0 : -1;
}

int HttpClient::Impl::OnTimerChanged(CURLM*, long timeout_ms, void* context) {  // NOLINT
  static_cast<Impl*>(context)->SetTimer(timeout_ms);
  return 0;
}

HttpClient::Impl::Impl(ReactorLoop& loop, int max_connections_per_host) : loop_(loop) {
  InitializeCurl();
  multi_ = curl_multi_init();
  curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, &OnSocket);
  curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, &OnTimerChanged);
  curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
  curl_multi_setopt(multi_, CURLMOPT_MAX_HOST_CONNECTIONS,
                    static_cast<long>(max_connections_per_host));  // NOLINT
  curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, kMaxIdleConnections);
}

HttpClient::Impl::~Impl() {
  *alive_ = false;
  for (const auto& [id, state] : calls_) {
    Release(*state);
  }
  for (CURL* easy : spare_handles_) {
    curl_easy_cleanup(easy);
  }
  curl_multi_cleanup(multi_);
  loop_.CancelTimer(timer_);
}

HttpClient::CallId HttpClient::Impl::Start(HttpCall call, Callback callback) {
  const CallId id = ++last_id_;
  auto& state = *(calls_[id] = std::make_unique<CallState>());
  state.id_ = id;
  state.call_ = std::move(call);
  state.callback_ = std::move(callback);
  const Result<void> checked = CheckRequest(state.call_);
  if (!checked) {
    state.start_error_ = checked.error();
    PostStartError(id);
    return id;
  }
  state.easy_ = TakeHandle();
  PrepareTransfer(state);
  curl_multi_add_handle(multi_, state.easy_);
  if (state.call_.stall_timeout_) {
    state.progress_at_ = BootClock::now();
    state.stall_timer_ =
        loop_.StartTimer(*state.call_.stall_timeout_, [this, id] { CheckProgress(id); });
  }
  return id;
}

void HttpClient::Impl::PostStartError(CallId id) {
  loop_.Post([this, id, alive = alive_] {
    const auto entry = *alive ? calls_.find(id) : calls_.end();
    if (!*alive || entry == calls_.end()) {
      return;
    }
    const std::unique_ptr<CallState> state = std::move(entry->second);
    calls_.erase(entry);
    state->callback_(HttpResult{std::move(*state->start_error_), false});
  });
}

void HttpClient::Impl::Cancel(CallId id) {
  const auto entry = calls_.find(id);
  if (entry == calls_.end()) {
    return;
  }
  const std::unique_ptr<CallState> state = std::move(entry->second);
  calls_.erase(entry);
  Release(*state);
}

void HttpClient::Impl::HandleSocketAction(curl_socket_t socket, int bits) {
  int running = 0;
  curl_multi_socket_action(multi_, socket, bits, &running);
  FinishCompletedTransfers();
}

// Callbacks may start and cancel calls or destroy the client, so messages are read one at a time
// and the client is checked after each callback.
void HttpClient::Impl::FinishCompletedTransfers() {
  const std::shared_ptr<bool> alive = alive_;
  int remaining = 0;
  while (*alive) {
    const CURLMsg* message = curl_multi_info_read(multi_, &remaining);
    if (message == nullptr) {
      return;
    }
    if (message->msg == CURLMSG_DONE) {
      const CURLcode code = message->data.result;
      CallState* state = nullptr;
      curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &state);
      Finish(*state, FinishTransfer(*state, code));
    }
  }
}

// A process that was paused reads what has arrived meanwhile before it gives up a call.
void HttpClient::Impl::CheckProgress(CallId id) {
  CallState& state = *calls_.at(id);
  state.stall_timer_ = 0;
  const milliseconds left =
      *state.call_.stall_timeout_ -
      std::chrono::duration_cast<milliseconds>(BootClock::now() - state.progress_at_);
  const bool is_stalled = left.count() <= 0;
  if (is_stalled && state.stalled_) {
    Finish(state, StalledTransfer(state));
    return;
  }
  state.stalled_ = is_stalled;
  state.stall_timer_ =
      loop_.StartTimer(std::max(left, kStallRecheckDelay), [this, id] { CheckProgress(id); });
}

void HttpClient::Impl::Finish(CallState& state, HttpResult result) {
  const auto entry = calls_.find(state.id_);
  const std::unique_ptr<CallState> owned = std::move(entry->second);
  calls_.erase(entry);
  Release(state);
  owned->callback_(std::move(result));
}

void HttpClient::Impl::Release(CallState& state) {
  loop_.CancelTimer(std::exchange(state.stall_timer_, 0));
  if (state.easy_ == nullptr) {
    return;
  }
  curl_multi_remove_handle(multi_, state.easy_);
  curl_easy_reset(state.easy_);
  curl_slist_free_all(state.headers_);
  if (spare_handles_.size() < kMaxSpareHandles) {
    spare_handles_.push_back(state.easy_);
  } else {
    curl_easy_cleanup(state.easy_);
  }
  state.easy_ = nullptr;
  state.headers_ = nullptr;
}

// Called from within libcurl, which must not be re-entered: a timeout of zero is posted to the
// loop.
void HttpClient::Impl::SetTimer(long timeout_ms) {  // NOLINT(google-runtime-int)
  loop_.CancelTimer(std::exchange(timer_, 0));
  if (timeout_ms < 0) {
    return;
  }
  if (timeout_ms > 0) {
    timer_ = loop_.StartTimer(milliseconds(timeout_ms), [this] {
      timer_ = 0;
      HandleSocketAction(CURL_SOCKET_TIMEOUT, 0);
    });
    return;
  }
  if (std::exchange(action_posted_, true)) {
    return;
  }
  loop_.Post([this, alive = alive_] {
    if (*alive) {
      action_posted_ = false;
      HandleSocketAction(CURL_SOCKET_TIMEOUT, 0);
    }
  });
}

CURL* HttpClient::Impl::TakeHandle() {
  if (spare_handles_.empty()) {
    return curl_easy_init();
  }
  CURL* easy = spare_handles_.back();
  spare_handles_.pop_back();
  return easy;
}

HttpClient::HttpClient(ReactorLoop& loop, int max_connections_per_host)
    : impl_(std::make_unique<Impl>(loop, max_connections_per_host)) {}

HttpClient::~HttpClient() = default;

HttpClient::CallId HttpClient::Start(HttpCall call, Callback callback) {
  return impl_->Start(std::move(call), std::move(callback));
}

void HttpClient::Cancel(CallId call) { impl_->Cancel(call); }

}  // namespace sassafrasbay
