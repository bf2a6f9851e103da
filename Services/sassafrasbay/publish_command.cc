#include <array>
#include <charconv>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

#include "LibConfiguration/routing_configuration.h"
#include "LibCore/logging.h"
#include "LibTransport/http_client.h"
#include "LibTransport/log_client.h"
#include "LibTransport/reactor_loop.h"
#include "command_line.h"
#include "commands.h"
#include "log_follower.h"
#include "log_writer.h"
#include "routing_directory.h"
#include "shared_state.h"

namespace sassafrasbay {
namespace {

constexpr std::string_view kHelp =
    "--log URL [--publisher NAME] [--base-version N] [--timeout SECONDS] PATH...\n\n"
    "Collects the routing files (*.routing.toml) below the paths into one configuration and\n"
    "publishes it through the log. It replaces the version in force, unless another publication\n"
    "comes first: then nothing changes, and the exit code is 4. With --base-version the version\n"
    "in force must be N.\n\n"
    "Example:\n  sassafrasbay publish --log http://127.0.0.1:9000 services/\n";

struct Options {
  std::string log_url_;
  std::string publisher_ = "operator";
  std::string base_version_;
  std::string timeout_ = "15";
};

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

/// One publication: reads the log to its end, appends the configuration, and reads the record back
/// to learn whether it is in force.
class Publication {
 public:
  Publication(const Options& options, std::vector<RoutingFile> files,
              std::optional<std::uint64_t> base_version, milliseconds timeout)
      : base_version_(base_version),
        timeout_(timeout),
        client_(loop_, 4),
        log_(client_, options.log_url_),
        follower_(loop_, shared_, log_),
        writer_(loop_, shared_, log_) {
    record_.publisher_ = options.publisher_;
    record_.files_ = std::move(files);
  }

  ExitCode Run() {
    follower_.SetHooks({[this](Offset offset, const Record& record, const ApplyResult& result) {
                          RecordLatestPublisher(record, result);
                          writer_.OnApplied(offset, record, result);
                        },
                        [this] { WriteWhenCaughtUp(); }});
    loop_.StartTimer(timeout_, [this] { OnTimeout(); });
    follower_.Start();
    loop_.Run();
    return exit_code_;
  }

 private:
  void RecordLatestPublisher(const Record& record, const ApplyResult& result) {
    const auto* published = std::get_if<ConfigurationPublished>(&record.body_);
    if (published != nullptr && result.valid_) {
      latest_publisher_ = published->publisher_;
    }
  }

  void WriteWhenCaughtUp() {
    if (written_ || !follower_.IsCaughtUp()) {
      return;
    }
    const std::uint64_t version = follower_.State().configuration_version_;
    if (base_version_ && *base_version_ != version) {
      ReportConflict("version " + std::to_string(version) + " is in force, not " +
                     std::to_string(*base_version_));
      return;
    }
    written_ = true;
    record_.base_version_ = version;
    writer_.Write(record_, LogWriter::RetryPolicy::kNever,
                  [this](Offset offset, const ApplyResult& result, BootTime) {
                    OnPublicationApplied(offset, result);
                  });
  }

  void OnPublicationApplied(Offset offset, const ApplyResult& result) {
    if (!result.valid_) {
      ReportConflict(result.reason_);
      return;
    }
    std::cout << "Version " << follower_.State().configuration_version_
              << " is in force from offset " << offset << " on.\n";
    Finish(ExitCode::kSuccess);
  }

  void ReportConflict(const std::string& reason) {
    std::cerr << "sassafrasbay publish: publication rejected: " << reason << "; version "
              << follower_.State().configuration_version_ << " was published by "
              << (latest_publisher_.empty() ? "another publisher" : latest_publisher_) << ".";
    std::string differing;
    for (const RoutingFile& file : record_.files_) {
      const auto& current = follower_.State().files_;
      const auto found = std::find_if(
          current.begin(), current.end(),
          [&file](const auto& current_file) { return current_file.name_ == file.name_; });
      if (found == current.end() || found->text_ != file.text_) {
        differing += "  " + file.name_ + "\n";
      }
    }
    std::cerr << (differing.empty() ? " Its files are the same.\n"
                                    : " Files that differ from it:\n" + differing);
    Finish(ExitCode::kConflict);
  }

  void OnTimeout() {
    if (!written_) {
      std::cerr << "sassafrasbay publish: the log could not be read to its end within the timeout; "
                   "nothing was published\n";
      Finish(ExitCode::kFailure);
      return;
    }
    std::cerr << "sassafrasbay publish: the appended record was not read back from the log within "
                 "the timeout. It may still take effect; publish again to replace it.\n";
    Finish(ExitCode::kUnknown);
  }

  void Finish(ExitCode exit_code) {
    exit_code_ = exit_code;
    loop_.Stop();
  }

  ConfigurationPublished record_;
  std::optional<std::uint64_t> base_version_;
  milliseconds timeout_;
  bool written_ = false;
  std::string latest_publisher_;
  ExitCode exit_code_ = ExitCode::kFailure;
  SharedState shared_;
  ReactorLoop loop_;
  HttpClient client_;
  LogClient log_;
  LogFollower follower_;
  LogWriter writer_;
};

}  // namespace

ExitCode RunPublishCommand(std::span<const char*> arguments) {
  Options options;
  const std::array<CommandOption, 4> table = {{
      {"log", "address of the log", "URL", &options.log_url_},
      {"publisher", "name written into the log", "NAME", &options.publisher_},
      {"base-version", "version that must be in force", "N", &options.base_version_},
      {"timeout", "time limit for the publication", "SECONDS", &options.timeout_},
  }};
  const ParsedArguments parsed = ParseArguments(arguments, kHelp, table);
  const auto timeout = ParseNumber(options.timeout_);
  const auto base_version = ParseNumber(options.base_version_);
  if (!parsed.valid_) {
    return ExitCode::kUsage;
  }
  if (options.log_url_.empty() || parsed.operands_.empty() || !timeout || *timeout == 0 ||
      (!options.base_version_.empty() && !base_version)) {
    std::cerr << "sassafrasbay publish: expected --log URL and at least one PATH; --base-version "
                 "and --timeout must be whole numbers, --timeout at least 1\n";
    return ExitCode::kUsage;
  }
  std::vector<RoutingFile> files;
  if (!CollectRoutingFiles("publish", parsed.operands_, files)) {
    return ExitCode::kInvalidFile;
  }
  if (files.empty()) {
    std::cerr << "sassafrasbay publish: no *.routing.toml file was found in the given paths\n";
    return ExitCode::kInvalidFile;
  }
  const RoutingConfigurationResult routing = ParseRoutingFiles(files);
  for (const Fault& fault : routing.faults_) {
    std::cerr << ToString(fault) << "\n";
  }
  if (!routing.faults_.empty()) {
    return ExitCode::kInvalidFile;
  }
  InitializeLogging({LogLevel::kError, 10});
  return Publication(options, std::move(files), base_version,
                     milliseconds(std::chrono::seconds(*timeout)))
      .Run();
}

}  // namespace sassafrasbay
