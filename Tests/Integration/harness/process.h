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

/// A child process. The destructor kills it and waits until it has exited.
class Process {
 public:
  /// Starts a program and appends its standard output and error to `log_file`. The kernel kills the
  /// child when the calling thread ends, so call this on the main thread of a test.
  static Result<std::unique_ptr<Process>> Start(const std::filesystem::path& program,
                                                std::span<const std::string> arguments,
                                                const std::filesystem::path& log_file);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  pid_t Id() const { return id_; }
  bool IsRunning();
  /// Sends SIGKILL and waits until the process has exited.
  void Kill();
  /// Sends SIGTERM without waiting.
  void Terminate();
  /// Sends SIGSTOP and waits until the process has stopped.
  void Pause();
  /// Sends SIGCONT.
  void Resume();
  /// Waits for the exit. Returns the exit code, or 128 + signal number; empty when the process is
  /// still running after `timeout`.
  std::optional<int> Wait(milliseconds timeout);

 private:
  explicit Process(pid_t id) : id_(id) {}
  pid_t id_;
  std::optional<int> exit_code_;
};

}  // namespace sassafrasbay::harness
