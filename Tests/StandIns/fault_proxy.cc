// TCP proxy between parts of the system. Tests set its faults through the admin port.

#include <popt.h>
#include <signal.h>

#include <cstdio>
#include <cstdlib>
#include <memory>
#include <nlohmann/json.hpp>

#include "LibTransport/http_server.h"
#include "StandIns/proxy_relay.h"

namespace sassafrasbay::stand_ins {
namespace {

using nlohmann::json;

// The JSON object replaces all faults of the route for the process. Absent faults are turned off.
Result<void> SetFaults(Proxy& proxy, std::string_view text) {
  try {
    const json change = json::parse(text);
    const auto route = proxy.routes_.find(change.at("route").get<std::string>());
    if (route == proxy.routes_.end()) {
      return MakeError(Errc::kInvalidArgument, "set faults", "", "no such route");
    }
    const bool cut = change.value("cut", false);
    ProxyFaults faults;
    faults.cut_to_target_ = cut || change.value("cut_to_target", false);
    faults.cut_from_target_ = cut || change.value("cut_from_target", false);
    faults.refuse_ = change.value("refuse", false);
    faults.delay_ms_ = change.value("delay_ms", std::int64_t{0});
    faults.reset_after_bytes_ = change.value("reset_after_bytes", std::uint64_t{0});
    route->second.faults_[change.value("from_process", pid_t{0})] = faults;
    UpdateConnectionFaults(proxy, route->second);
  } catch (const json::exception& error) {
    return MakeError(Errc::kMalformed, "set faults", "", error.what());
  }
  return boost::outcome_v2::success();
}

void HandleAdminRequest(Proxy& proxy, const std::shared_ptr<HttpExchange>& exchange) {
  if (exchange->Request().path_ != "/-/faults") {
    exchange->Respond({404, {}, ""});
    return;
  }
  const Result<void> result = SetFaults(proxy, exchange->Request().body_);
  exchange->Respond(result ? HttpResponse{200, {}, "{}"}
                           : HttpResponse{400, {}, ToString(result.error())});
}

bool AddRoute(Proxy& proxy, const std::string& text) {
  char name[64];
  unsigned listen_port = 0;
  unsigned target_port = 0;
  if (std::sscanf(text.c_str(), "%63[^=]=%u:%u", name, &listen_port, &target_port) != 3) {
    std::fprintf(stderr, "expected a route NAME=LISTEN:TARGET with two port numbers, got %s\n",
                 text.c_str());
    return false;
  }
  ProxyRoute& route = proxy.routes_[name];
  route.name_ = name;
  route.listen_port_ = static_cast<std::uint16_t>(listen_port);
  route.target_port_ = static_cast<std::uint16_t>(target_port);
  const Result<void> result = OpenRoute(proxy, route);
  if (!result) {
    std::fprintf(stderr, "%s\n", ToString(result.error()).c_str());
  }
  return result.has_value();
}

int Run(int argc, const char** argv) {
  ReactorLoop loop;
  Proxy proxy(loop);
  int admin_port = 0;
  constexpr int kRoute = 'r';
  const poptOption table[] = {
      {"admin-port", 0, POPT_ARG_INT, &admin_port, 0, "port for setting faults", "PORT"},
      {"route", 0, POPT_ARG_STRING, nullptr, kRoute,
       "route from a listening port to a target port; may be repeated", "NAME=LISTEN:TARGET"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext("fault_proxy", argc, argv, table, 0);
  int code = 0;
  while ((code = poptGetNextOpt(context)) == kRoute) {
    const std::unique_ptr<char, decltype(&std::free)> text(poptGetOptArg(context), &std::free);
    if (text == nullptr || !AddRoute(proxy, text.get())) {
      return 1;
    }
  }
  poptFreeContext(context);
  auto server = HttpServerBuilder(loop)
                    .Listen("127.0.0.1", static_cast<std::uint16_t>(admin_port))
                    .OnRequest([&](const std::shared_ptr<HttpExchange>& exchange) {
                      HandleAdminRequest(proxy, exchange);
                    })
                    .Build();
  if (code < -1 || !server) {
    std::fprintf(stderr, "%s\n", server ? poptStrerror(code) : ToString(server.error()).c_str());
    return 1;
  }
  loop.Run();
  return 0;
}

}  // namespace
}  // namespace sassafrasbay::stand_ins

int main(int argc, const char** argv) {
  signal(SIGPIPE, SIG_IGN);
  return sassafrasbay::stand_ins::Run(argc, argv);
}
