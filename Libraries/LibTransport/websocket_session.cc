#include "LibTransport/websocket_session.h"

#include <cstdint>
#include <exception>
#include <utility>
#include <websocketpp/client.hpp>
#include <websocketpp/concurrency/none.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/logger/stub.hpp>
#include <websocketpp/random/random_device.hpp>
#include <websocketpp/server.hpp>

namespace sassafrasbay {
namespace {

namespace ws = websocketpp;

// Without locks, as sessions are used by a single thread, and without websocketpp's log on stdout.
struct TransportConfig : ws::config::core::transport_config {
  using concurrency_type = ws::concurrency::none;  // NOLINT(readability-identifier-naming)
  using elog_type = ws::log::stub;                 // NOLINT(readability-identifier-naming)
  using alog_type = ws::log::stub;                 // NOLINT(readability-identifier-naming)
};

struct Config : ws::config::core {
  using type = Config;                                                        // NOLINT
  using concurrency_type = ws::concurrency::none;                             // NOLINT
  using elog_type = ws::log::stub;                                            // NOLINT
  using alog_type = ws::log::stub;                                            // NOLINT
  using transport_config = TransportConfig;                                   // NOLINT
  using transport_type = ws::transport::iostream::endpoint<TransportConfig>;  // NOLINT
  // Source of the frame masks of clients.
  using rng_type =
      ws::random::random_device::int_generator<std::uint32_t, concurrency_type>;  // NOLINT
  // This transport has no timers, so a closing handshake that the peer ignores would never end.
  static const bool drop_on_protocol_error = true;  // NOLINT
  // Handshakes have no body; the default limit is 32 MB.
  static const size_t max_http_body_size = 1024;  // NOLINT
};

using Server = ws::server<Config>;
using Client = ws::client<Config>;

template <typename Endpoint>
class Session final : public WebsocketSession {
 public:
  using ConnectionPointer = typename Endpoint::connection_ptr;

  Session(Endpoint& endpoint, ConnectionPointer connection, WebsocketHandlers handlers)
      : endpoint_(endpoint), connection_(std::move(connection)), handlers_(std::move(handlers)) {
    connection_->set_write_handler(
        [this](const ws::connection_hdl&, const char* data, std::size_t size) {
          if (!detached_) {
            handlers_.write_(std::string_view(data, size));
          }
          return ws::lib::error_code();
        });
    connection_->set_open_handler([this](const ws::connection_hdl&) {
      open_ = true;
      handlers_.on_open_();
    });
    connection_->set_message_handler(
        [this](const ws::connection_hdl&, const typename Endpoint::message_ptr& message) {
          if (!detached_) {
            handlers_.on_frame_(message->get_payload());
          }
        });
    connection_->set_pong_handler([this](const ws::connection_hdl&, const std::string&) {
      if (!detached_) {
        handlers_.on_pong_();
      }
    });
    connection_->set_shutdown_handler([this](const ws::connection_hdl&) {
      ended_ = true;
      return ws::lib::error_code();
    });
  }

  // Ends the pending read, whose reference to the connection would otherwise keep it alive forever.
  ~Session() override {
    detached_ = true;
    connection_->eof();
  }

  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  void Start() override {
    if constexpr (std::is_same_v<Endpoint, Client>) {
      endpoint_.connect(connection_);
    } else {
      connection_->start();
    }
  }

  bool Receive(std::string_view bytes) override {
    try {
      const std::size_t used = connection_->read_all(bytes.data(), bytes.size());
      ended_ = ended_ || used < bytes.size();
    } catch (const std::exception& exception) {
      ended_ = true;
      reason_ = exception.what();
    }
    return !ended_;
  }

  bool Send(std::string_view frame) override {
    if (!open_ || ended_) {
      return false;
    }
    return !connection_->send(frame.data(), frame.size(), ws::frame::opcode::binary);
  }

  bool Ping() override {
    if (!open_ || ended_) {
      return false;
    }
    ws::lib::error_code error;
    connection_->ping("", error);
    return !error;
  }

  void SetMaxFrameBytes(std::size_t bytes) override { connection_->set_max_message_size(bytes); }

  std::string EndReason() const override {
    return reason_.empty() ? connection_->get_ec().message() : reason_;
  }

 private:
  Endpoint& endpoint_;
  ConnectionPointer connection_;
  WebsocketHandlers handlers_;
  std::string reason_;
  bool open_ = false;
  bool ended_ = false;
  bool detached_ = false;
};

class Factory final : public WebsocketFactory {
 public:
  explicit Factory(std::size_t max_frame_bytes) {
    server_.set_max_message_size(max_frame_bytes);
    client_.set_max_message_size(max_frame_bytes);
  }

  std::unique_ptr<WebsocketSession> MakeServerSession(WebsocketHandlers handlers) override {
    return std::make_unique<Session<Server>>(server_, server_.get_connection(),
                                             std::move(handlers));
  }

  std::unique_ptr<WebsocketSession> MakeClientSession(const std::string& address,
                                                      WebsocketHandlers handlers) override {
    ws::lib::error_code error;
    const Client::connection_ptr connection =
        client_.get_connection("ws://" + address + "/", error);
    if (error || connection == nullptr) {
      return nullptr;
    }
    return std::make_unique<Session<Client>>(client_, connection, std::move(handlers));
  }

 private:
  Server server_;
  Client client_;
};

}  // namespace

std::unique_ptr<WebsocketFactory> MakeWebsocketFactory(std::size_t max_frame_bytes) {
  return std::make_unique<Factory>(max_frame_bytes);
}

}  // namespace sassafrasbay
