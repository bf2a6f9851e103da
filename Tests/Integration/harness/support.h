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

/// A port of 127.0.0.1 that nothing listens on, below the range of outgoing connections. Never
/// returns the same port twice in one process.
std::uint16_t FreePort();

/// "http://127.0.0.1:PORT".
std::string LocalUrl(std::uint16_t port);

/// "127.0.0.1:PORT".
std::string LocalAddress(std::uint16_t port);

/// Polls until the condition holds; false when it doesn't within the limit.
bool WaitUntil(const std::function<bool()>& condition,
               milliseconds limit = std::chrono::seconds(30));

/// One HTTP call to a port of 127.0.0.1 on a new connection.
Result<HttpResponse> Call(std::uint16_t port, const HttpRequest& request,
                          milliseconds timeout = std::chrono::seconds(5));

/// Status of a call, 0 when it had no whole answer.
int CallStatus(std::uint16_t port, std::string_view method, std::string_view path,
               std::string_view body = {});

/// JSON body of GET; a discarded value when there is no answer with status 200.
nlohmann::json GetJson(std::uint16_t port, std::string_view path);

/// A new directory that is removed with its content when the object is destroyed, unless the
/// environment variable SASSAFRASBAY_KEEP is set.
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
