#include "StandIns/blocking_server.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>

#include <algorithm>

namespace sassafrasbay::stand_ins {
namespace {

constexpr unsigned kMaxConnections = 1000;

MHD_Result CollectHeader(void* headers, MHD_ValueKind /*kind*/, const char* key,
                         const char* value) {
  static_cast<HeaderList*>(headers)->emplace_back(key, value == nullptr ? "" : value);
  return MHD_YES;
}

struct TruncatedBody {
  std::string body_;
};

ssize_t ReadTruncatedBody(void* context, std::uint64_t position, char* buffer, std::size_t size) {
  const std::string& body = static_cast<TruncatedBody*>(context)->body_;
  const std::size_t half = body.size() / 2;
  if (position >= half) {
    return MHD_CONTENT_READER_END_WITH_ERROR;
  }
  const std::size_t count = std::min(size, half - static_cast<std::size_t>(position));
  body.copy(buffer, count, position);
  return static_cast<ssize_t>(count);
}

void FreeTruncatedBody(void* context) { delete static_cast<TruncatedBody*>(context); }

MHD_Response* MakeResponse(const BlockingAnswer& answer) {
  const std::string& body = answer.response_.body_;
  if (answer.ending_ == AnswerEnding::kTruncate) {
    constexpr std::size_t kBlockBytes = 4096;
    return MHD_create_response_from_callback(body.size(), kBlockBytes, ReadTruncatedBody,
                                             new TruncatedBody{body}, FreeTruncatedBody);
  }
  return MHD_create_response_from_buffer(body.size(), const_cast<char*>(body.data()),
                                         MHD_RESPMEM_MUST_COPY);
}

MHD_Result SendAnswer(MHD_Connection* connection, const BlockingAnswer& answer) {
  if (answer.ending_ == AnswerEnding::kDrop) {
    return MHD_NO;
  }
  MHD_Response* response = MakeResponse(answer);
  for (const auto& [name, value] : answer.response_.headers_) {
    MHD_add_response_header(response, name.c_str(), value.c_str());
  }
  const MHD_Result result =
      MHD_queue_response(connection, static_cast<unsigned>(answer.response_.status_), response);
  MHD_destroy_response(response);
  return result;
}

void* StartRequest(void* /*server*/, const char* uri, MHD_Connection* /*connection*/) {
  auto* request = new HttpRequest;
  request->path_ = uri;
  return request;
}

MHD_Result ReceiveRequest(void* server, MHD_Connection* connection, const char* /*url*/,
                          const char* method, const char* /*version*/, const char* data,
                          std::size_t* data_size, void** context) {
  auto* request = static_cast<HttpRequest*>(*context);
  if (request->method_.empty()) {
    request->method_ = method;
    MHD_get_connection_values(connection, MHD_HEADER_KIND, CollectHeader, &request->headers_);
    return MHD_YES;
  }
  if (*data_size > 0) {
    request->body_.append(data, *data_size);
    *data_size = 0;
    return MHD_YES;
  }
  return SendAnswer(connection, static_cast<BlockingServer*>(server)->Handler()(*request));
}

void EndRequest(void* /*server*/, MHD_Connection* /*connection*/, void** context,
                MHD_RequestTerminationCode /*code*/) {
  delete static_cast<HttpRequest*>(*context);
  *context = nullptr;
}

}  // namespace

Result<std::unique_ptr<BlockingServer>> BlockingServer::Listen(std::uint16_t port,
                                                               BlockingHandler handler) {
  std::unique_ptr<BlockingServer> server(new BlockingServer(std::move(handler)));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  server->daemon_ = MHD_start_daemon(
      MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_THREAD_PER_CONNECTION, port, nullptr, nullptr,
      ReceiveRequest, server.get(), MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_CONNECTION_LIMIT,
      kMaxConnections, MHD_OPTION_URI_LOG_CALLBACK, StartRequest, server.get(),
      MHD_OPTION_NOTIFY_COMPLETED, EndRequest, server.get(), MHD_OPTION_END);
  if (server->daemon_ == nullptr) {
    return MakeError(Errc::kUnavailable, "listen", "127.0.0.1:" + std::to_string(port), "");
  }
  return server;
}

BlockingServer::~BlockingServer() {
  if (daemon_ != nullptr) {
    MHD_stop_daemon(daemon_);
  }
}

std::uint16_t BlockingServer::Port() const {
  return MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_BIND_PORT)->port;
}

BlockingAnswer JsonAnswer(int status, std::string body, HeaderList headers) {
  headers.emplace_back("Content-Type", "application/json");
  return {HttpResponse{status, std::move(headers), std::move(body)}};
}

std::string_view QueryValue(std::string_view path, std::string_view name) {
  std::size_t position = path.find('?');
  while (position != std::string_view::npos) {
    path.remove_prefix(position + 1);
    position = path.find('&');
    const std::string_view pair = path.substr(0, position);
    if (pair.size() > name.size() && pair.starts_with(name) && pair[name.size()] == '=') {
      return pair.substr(name.size() + 1);
    }
  }
  return {};
}

std::string_view WithoutQuery(std::string_view path) { return path.substr(0, path.find('?')); }

}  // namespace sassafrasbay::stand_ins
