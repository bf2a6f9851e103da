#include <curl/curl.h>

#include <array>
#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "LibTransport/http_client.h"
#include "LibTransport/reactor_loop.h"
#include "command_line.h"
#include "commands.h"

namespace sassafrasbay {
namespace {

using nlohmann::json;

constexpr milliseconds kQueryTimeout{3000};

constexpr std::string_view kStatusHelp =
    "--node ADDRESS\n\n"
    "Shows what a node knows: its lease, the sessions with their units, and for each\nservice its "
    "units, and the moves and the unavailable time that this node has seen.\n\n"
    "Example:\n  sassafrasbay status --node 127.0.0.1:8080\n";

constexpr std::string_view kExplainHelp =
    "--node ADDRESS --service NAME KEY\n\n"
    "Shows which node owns a key, under which token and since which offset of the log.\n\n"
    "Example:\n  sassafrasbay explain --node 127.0.0.1:8080 --service bench-lookups bin-17\n";

/// Queries the node's operator API. When that fails, writes an error to standard error and returns
/// nothing.
std::optional<json> Query(std::string_view command, const std::string& node,
                          const std::string& path) {
  ReactorLoop loop;
  HttpClient client(loop, 1);
  HttpCall call;
  call.base_url_ = "http://" + node;
  call.request_ = {"GET", path, {}, {}};
  call.timeout_ = kQueryTimeout;
  std::optional<Result<HttpResponse>> result;
  client.Start(std::move(call), [&loop, &result](HttpResult answer) {
    result.emplace(std::move(answer.response_));
    loop.Stop();
  });
  loop.Run();
  if (!result->has_value()) {
    std::cerr << "sassafrasbay " << command << ": " << ToString(result->error()) << "\n";
    return std::nullopt;
  }
  const HttpResponse& response = result->value();
  json body = json::parse(response.body_, nullptr, false);
  if (response.status_ != 200 || !body.is_object()) {
    std::cerr << "sassafrasbay " << command << ": " << node << " answered " << response.status_
              << ": " << response.body_ << "\n";
    return std::nullopt;
  }
  return body;
}

std::string PercentEncode(const std::string& text) {
  char* escaped = curl_easy_escape(nullptr, text.data(), static_cast<int>(text.size()));
  std::string result(escaped);
  curl_free(escaped);
  return result;
}

std::string FieldText(const json& object, const char* key) {
  const auto found = object.find(key);
  if (found == object.end()) {
    return "-";
  }
  return found->is_string() ? found->get<std::string>() : found->dump();
}

void PrintSession(const json& session) {
  std::cout << "  " << FieldText(session, "node") << "  service " << FieldText(session, "service")
            << "  data centre " << FieldText(session, "data_centre") << "  units "
            << FieldText(session, "units") << "  epoch " << FieldText(session, "epoch")
            << (session.value("draining", false) ? "  draining" : "") << "  grantors";
  for (const json& grantor : session.value("grantors", json::array())) {
    std::cout << " " << FieldText(grantor, "node") << (grantor.value("attested", false) ? "!" : "");
  }
  std::cout << "\n";
}

void PrintService(const std::string& name, const json& service) {
  const double unavailable_s = service.value("unavailable_unit_ms", 0.0) / 1000;
  std::cout << "  " << name << "  shards " << FieldText(service, "shards") << "  keys of their own "
            << FieldText(service, "overrides") << "  units without owner "
            << FieldText(service, "without_owner") << "  moving " << FieldText(service, "moving")
            << "  max/mean units " << service.value("unit_imbalance", 1.0) << "  moves seen "
            << FieldText(service, "ownership_moves") << "  unavailable " << unavailable_s
            << " unit-seconds\n";
}

std::string DescribeLease(const json& status) {
  const auto remaining_ms = status.value("lease_remaining_ms", std::int64_t{0});
  return remaining_ms > 0 ? "lease for " + std::to_string(remaining_ms) + " ms" : "no lease";
}

}  // namespace

ExitCode RunStatusCommand(std::span<const char*> arguments) {
  std::string node;
  const std::array<CommandOption, 1> options = {{{"node", "caller address", "ADDRESS", &node}}};
  const ParsedArguments parsed = ParseArguments(arguments, kStatusHelp, options);
  if (!parsed.valid_) {
    return ExitCode::kUsage;
  }
  if (node.empty()) {
    std::cerr << "sassafrasbay status: expected --node ADDRESS\n";
    return ExitCode::kUsage;
  }
  const auto status = Query("status", node, "/-/status");
  if (!status) {
    return ExitCode::kFailure;
  }
  std::cout << "Node " << FieldText(*status, "node") << " in " << FieldText(*status, "data_centre")
            << ": upstream " << FieldText(*status, "upstream") << ", " << DescribeLease(*status)
            << ", units " << FieldText(*status, "units_held") << "\nLog read up to offset "
            << FieldText(*status, "next_offset") << ", configuration version "
            << FieldText(*status, "configuration_version") << ", planner "
            << FieldText(*status, "planner") << "\nSessions:\n";
  for (const json& session : status->value("sessions", json::array())) {
    PrintSession(session);
  }
  std::cout << "Services:\n";
  const json services = status->value("services", json::object());
  for (const auto& [name, service] : services.items()) {
    PrintService(name, service);
  }
  return ExitCode::kSuccess;
}

ExitCode RunExplainCommand(std::span<const char*> arguments) {
  std::string node;
  std::string service;
  const std::array<CommandOption, 2> options = {{
      {"node", "caller address", "ADDRESS", &node},
      {"service", "service of the key", "NAME", &service},
  }};
  const ParsedArguments parsed = ParseArguments(arguments, kExplainHelp, options);
  if (!parsed.valid_) {
    return ExitCode::kUsage;
  }
  if (node.empty() || service.empty() || parsed.operands_.size() != 1) {
    std::cerr << "sassafrasbay explain: expected --node ADDRESS, --service NAME and one KEY\n";
    return ExitCode::kUsage;
  }
  const auto answer = Query("explain", node,
                            "/-/explain?service=" + PercentEncode(service) +
                                "&key=" + PercentEncode(parsed.operands_.front()));
  if (!answer) {
    return ExitCode::kFailure;
  }
  std::cout << "Key " << FieldText(*answer, "key") << " of " << FieldText(*answer, "service")
            << " is in unit " << FieldText(*answer, "unit")
            << (answer->value("key_override", false) ? " (its own)" : "") << ", owned by "
            << (answer->value("owner", "").empty() ? "nobody" : FieldText(*answer, "owner"))
            << " under token " << FieldText(*answer, "token")
            << ", the log offset that assigned it.\n";
  if (answer->contains("moving_to")) {
    std::cout << "It is moving to " << FieldText(*answer, "moving_to") << " under token "
              << FieldText(*answer, "move_token") << ".\n";
  }
  if (!answer->value("inherited_from", "").empty()) {
    std::cout << "It was taken over from session " << FieldText(*answer, "inherited_from") << ".\n";
  }
  return ExitCode::kSuccess;
}

}  // namespace sassafrasbay
