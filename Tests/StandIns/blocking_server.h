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

/// How a blocking server ends its answer.
enum class Ending {
  kWhole,
  kDrop,      ///< Closes the connection without an answer.
  kTruncate,  ///< Declares the whole body, sends half of it, and closes the connection.
};

struct BlockingAnswer {
  HttpResponse response_;
  Ending ending_ = Ending::kWhole;
};

/// Called on the thread of the connection; may block.
using BlockingHandler = std::function<BlockingAnswer(const HttpRequest&)>;

/// HTTP server with a thread for each connection, for stand-ins that have to break off answers,
/// which the router's own HttpServer does not offer.
class BlockingServer {
 public:
  /// Port 0 chooses a free one. Errors: kUnavailable when the port is taken.
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

/// An answer with a JSON text as its body.
BlockingAnswer JsonAnswer(int status, std::string body, HeaderList headers = {});

/// Value of a query parameter of a path, undecoded; empty when absent.
std::string_view QueryValue(std::string_view path, std::string_view name);

/// The path without its query.
std::string_view WithoutQuery(std::string_view path);

}  // namespace sassafrasbay::stand_ins
