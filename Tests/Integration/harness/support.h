#pragma once

#include <cstdint>
#include <filesystem>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "LibCore/clock.h"
#include "LibCore/error.h"
#include "LibCore/http_message.h"

namespace sassafrasbay::harness {

/// Returns a TCP port of 127.0.0.1 that no socket is bound to, below the range of ephemeral ports.
/// Never returns the same port twice in one process, nor one that a running process of the same
/// user space got from it.
std::uint16_t FreePort();

/// Returns "http://127.0.0.1:PORT".
std::string LocalUrl(std::uint16_t port);

/// Returns "127.0.0.1:PORT".
std::string LocalAddress(std::uint16_t port);

/// Polls until the condition holds. Returns false when it doesn't hold before the timeout.
bool WaitUntil(const std::function<bool()>& condition,
               milliseconds timeout = std::chrono::seconds(30));

/// Sends an HTTP request to a port of 127.0.0.1 on a new connection.
Result<HttpResponse> Call(std::uint16_t port, const HttpRequest& request,
                          milliseconds timeout = std::chrono::seconds(5));

/// Sends a request and returns the status of the response; 0 when there was no complete response.
int CallStatus(std::uint16_t port, std::string_view method, std::string_view path,
               std::string_view body = {});

/// Sends GET and returns the JSON body; a discarded value when there was no response with status
/// 200 or its body is not JSON.
nlohmann::json GetJson(std::uint16_t port, std::string_view path);

/// Creates a directory and removes it with its contents in the destructor, unless the environment
/// variable SASSAFRASBAY_KEEP is set.
class TemporaryDirectory {
 public:
  TemporaryDirectory();
  ~TemporaryDirectory();
  TemporaryDirectory(const TemporaryDirectory&) = delete;
  TemporaryDirectory& operator=(const TemporaryDirectory&) = delete;
  const std::filesystem::path& Path() const { return path_; }

 private:
  std::filesystem::path path_;
};

}  // namespace sassafrasbay::harness
