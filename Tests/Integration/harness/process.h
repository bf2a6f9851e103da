#pragma once

#include <sys/types.h>

#include <filesystem>
#include <memory>
#include <optional>
#include <span>
#include <string>

#include "LibCore/clock.h"
#include "LibCore/error.h"

namespace sassafrasbay::harness {

/// A child process. Destroying it kills the process and waits for its end.
class Process {
 public:
  /// Starts a program with its output appended to `log_file`. The child is killed when the calling
  /// thread ends, so call it on the main thread of a test.
  static Result<std::unique_ptr<Process>> Start(const std::filesystem::path& program,
                                                std::span<const std::string> arguments,
                                                const std::filesystem::path& log_file);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  pid_t Id() const { return id_; }
  bool IsRunning();
  /// Sends SIGKILL and waits for the end.
  void Kill();
  /// Sends SIGTERM without waiting.
  void Terminate();
  /// Sends SIGSTOP and waits until the process is stopped.
  void Pause();
  void Resume();
  /// Exit code, or 128 + signal; empty when it is still running after `limit`.
  std::optional<int> Wait(milliseconds limit);

 private:
  explicit Process(pid_t id) : id_(id) {}
  pid_t id_;
  std::optional<int> exit_code_;
};

}  // namespace sassafrasbay::harness
