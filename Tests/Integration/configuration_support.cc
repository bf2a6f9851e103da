#include "configuration_support.h"

#include <algorithm>
#include <fstream>
#include <iterator>

namespace sassafrasbay::harness {
namespace {

using nlohmann::json;

constexpr std::chrono::seconds kCommandTimeout{60};
constexpr int kSampledKeys = 20;

std::vector<std::uint8_t> FromHex(const std::string& text) {
  std::vector<std::uint8_t> bytes;
  for (std::size_t index = 0; index + 1 < text.size(); index += 2) {
    bytes.push_back(static_cast<std::uint8_t>(std::stoul(text.substr(index, 2), nullptr, 16)));
  }
  return bytes;
}

}  // namespace

RunningCommand StartCommand(const std::filesystem::path& directory,
                            std::vector<std::string> arguments) {
  static int number = 0;
  RunningCommand command;
  command.output_ = directory / ("command-" + std::to_string(++number) + ".log");
  auto process = Process::Start(SASSAFRASBAY_PROGRAM, arguments, command.output_);
  if (process) {
    command.process_ = std::move(process).value();
  }
  return command;
}

CommandResult FinishCommand(RunningCommand& command) {
  CommandResult result;
  if (command.process_) {
    result.exit_code_ = command.process_->Wait(kCommandTimeout).value_or(-1);
  }
  std::ifstream file(command.output_);
  result.output_.assign(std::istreambuf_iterator<char>(file), {});
  return result;
}

CommandResult RunCommand(const std::filesystem::path& directory,
                         std::vector<std::string> arguments) {
  RunningCommand command = StartCommand(directory, std::move(arguments));
  return FinishCommand(command);
}

std::string WriteText(const std::filesystem::path& file, std::string_view text) {
  std::filesystem::create_directories(file.parent_path());
  std::ofstream(file) << text;
  return file.string();
}

std::string MakeRoutingFile(const std::string& service, const std::string& name) {
  return "[service." + service + "]\nshards = 16\nkey = { from = \"path\", segment = 1 }\n" +
         "[[service." + service + ".class]]\nname = \"look-up\"\nmethod = \"GET\"\n" +
         "path_prefix = \"/" + service + "/" + name + "-\"\n" +
         "kind = \"idempotent\"\nworth = 10\ndeadline_ms = 2000\n";
}

std::vector<json> LogRecords(const Fleet& fleet) {
  std::vector<json> records;
  for (const json& entry : GetJson(fleet.LogPort(), "/-/records")) {
    try {
      records.push_back(json::from_cbor(FromHex(entry.at("bytes")), true, false));
    } catch (const json::exception&) {
      records.emplace_back(json::value_t::discarded);
    }
  }
  return records;
}

std::vector<json> LogRecords(const Fleet& fleet, std::string_view type) {
  std::vector<json> bodies;
  for (const json& record : LogRecords(fleet)) {
    if (record.is_object() && record.value("type", "") == type) {
      bodies.push_back(record.at("body"));
    }
  }
  return bodies;
}

std::int64_t VersionAt(Fleet& fleet, std::size_t index) {
  const json status = GetJson(fleet.Node(index).callers_port_, "/-/status");
  return status.is_object() ? status.value("configuration_version", std::int64_t{-1}) : -1;
}

std::vector<std::string> OwnersAt(Fleet& fleet, std::size_t index) {
  std::vector<std::string> owners;
  for (int key = 0; key < kSampledKeys; ++key) {
    const json answer = GetJson(fleet.Node(index).callers_port_,
                                "/-/explain?service=bench&key=" + std::to_string(key));
    owners.push_back(answer.is_object() ? answer.value("session", "") : "");
  }
  return owners;
}

void SampleVersions(VersionMonitor& monitor, Fleet& fleet) {
  for (std::size_t index = 0; index < fleet.Size(); ++index) {
    const std::int64_t version = VersionAt(fleet, index);
    std::int64_t& latest = monitor.latest_[index];
    if (version >= 0 && version < latest) {
      monitor.violations_.push_back("node " + std::to_string(index) + " showed version " +
                                    std::to_string(version) + " after " + std::to_string(latest));
    }
    latest = std::max(latest, version);
  }
}

bool WaitForVersion(VersionMonitor& monitor, Fleet& fleet, std::int64_t version,
                    milliseconds timeout) {
  return WaitUntil(
      [&] {
        SampleVersions(monitor, fleet);
        return std::ranges::all_of(monitor.latest_,
                                   [&](const auto& item) { return item.second == version; });
      },
      timeout);
}

bool WaitForService(Fleet& fleet, std::string_view path, milliseconds timeout) {
  return WaitUntil(
      [&] {
        for (std::size_t index = 0; index < fleet.Size(); ++index) {
          if (CallStatus(fleet.Node(index).callers_port_, "GET", path) != 200) {
            return false;
          }
        }
        return true;
      },
      timeout);
}

}  // namespace sassafrasbay::harness
