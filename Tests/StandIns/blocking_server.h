#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "LibCore/error.h"
#include "LibCore/http_message.h"

struct MHD_Daemon;

namespace sassafrasbay::stand_ins {

/// How a blocking server ends its response.
enum class AnswerEnding {
  kComplete,
  kDrop,      ///< Closes the connection without a response.
  kTruncate,  ///< Declares the full length, sends half of the body, and closes the connection.
};

struct BlockingAnswer {
  HttpResponse response_;
  AnswerEnding ending_ = AnswerEnding::kComplete;
};

/// Called on the connection's thread. May block.
using BlockingHandler = std::function<BlockingAnswer(const HttpRequest&)>;

/// HTTP server with one thread per connection, for stand-ins that have to truncate responses. The
/// router's own HttpServer can't do that.
class BlockingServer {
 public:
  /// Listens on loopback; port 0 chooses a free port. Errors: kUnavailable when the port is taken.
  static Result<std::unique_ptr<BlockingServer>> Listen(std::uint16_t port,
                                                        BlockingHandler handler);
  ~BlockingServer();
  BlockingServer(const BlockingServer&) = delete;
  BlockingServer& operator=(const BlockingServer&) = delete;

  std::uint16_t Port() const;
  const BlockingHandler& Handler() const { return handler_; }

 private:
  explicit BlockingServer(BlockingHandler handler) : handler_(std::move(handler)) {}
  BlockingHandler handler_;
  MHD_Daemon* daemon_ = nullptr;
};

/// Returns an answer with a JSON body.
BlockingAnswer JsonAnswer(int status, std::string body, HeaderList headers = {});

/// Value of a query parameter of a path, without percent-decoding; empty when absent.
std::string_view QueryValue(std::string_view path, std::string_view name);

std::string_view WithoutQuery(std::string_view path);

}  // namespace sassafrasbay::stand_ins
