#include "harness/process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <thread>
#include <vector>

namespace sassafrasbay::harness {
namespace {

constexpr milliseconds kPollInterval{5};

// Runs in the child between fork and exec, where only async-signal-safe functions may be called.
[[noreturn]] void Execute(const char* program, char* const* arguments, int output, pid_t parent) {
  // Without this, the processes of a fleet would outlive a test that CTest kills on its timeout.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != parent) {
    _exit(126);
  }
  dup2(output, STDOUT_FILENO);
  dup2(output, STDERR_FILENO);
  execv(program, arguments);
  _exit(127);
}

}  // namespace

Result<std::unique_ptr<Process>> Process::Start(const std::filesystem::path& program,
                                                std::span<const std::string> arguments,
                                                const std::filesystem::path& log_file) {
  const int output = open(log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  if (output < 0) {
    return MakeError({errno, std::generic_category()}, "open log file", log_file.string(), "");
  }
  std::vector<char*> pointers = {const_cast<char*>(program.c_str())};
  for (const std::string& argument : arguments) {
    pointers.push_back(const_cast<char*>(argument.c_str()));
  }
  pointers.push_back(nullptr);
  const pid_t parent = getpid();
  const pid_t id = fork();
  if (id == 0) {
    Execute(program.c_str(), pointers.data(), output, parent);
  }
  const int fork_error = errno;
  close(output);
  if (id < 0) {
    return MakeError({fork_error, std::generic_category()}, "fork", program.string(), "");
  }
  return std::unique_ptr<Process>(new Process(id));
}

Process::~Process() { Kill(); }

bool Process::IsRunning() { return !Wait(milliseconds(0)); }

void Process::Kill() {
  if (IsRunning()) {
    kill(id_, SIGKILL);
    Wait(std::chrono::minutes(1));
  }
}

void Process::Terminate() {
  if (IsRunning()) {
    kill(id_, SIGTERM);
  }
}

void Process::Pause() {
  if (!IsRunning()) {
    return;
  }
  kill(id_, SIGSTOP);
  // SIGSTOP takes effect asynchronously, but the next step of a test relies on a stopped process.
  siginfo_t info{};
  waitid(P_PID, static_cast<id_t>(id_), &info, WSTOPPED | WEXITED | WNOWAIT);
}

void Process::Resume() {
  if (IsRunning()) {
    kill(id_, SIGCONT);
  }
}

std::optional<int> Process::Wait(milliseconds timeout) {
  const BootTime end = BootClock::now() + timeout;
  while (!exit_code_) {
    int status = 0;
    if (waitpid(id_, &status, WNOHANG) == id_) {
      exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    } else if (BootClock::now() >= end) {
      break;
    } else {
      std::this_thread::sleep_for(kPollInterval);
    }
  }
  return exit_code_;
}

}  // namespace sassafrasbay::harness
