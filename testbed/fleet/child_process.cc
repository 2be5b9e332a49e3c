#include "testbed/fleet/child_process.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <cstring>
#include <thread>
#include <utility>

#include "src/runtime/clock.h"

namespace graniteseam::testbed {

namespace {

constexpr auto kWaitPeriod = std::chrono::milliseconds(5);
constexpr int kSignalBase = 128;
constexpr int kExecFailed = 127;

std::vector<char*> Pointers(std::vector<std::string>& texts) {
  std::vector<char*> pointers;
  pointers.reserve(texts.size() + 1);
  for (auto& text : texts) pointers.push_back(text.data());
  pointers.push_back(nullptr);
  return pointers;
}

std::vector<std::string> Environment(const std::map<std::string, std::string>& added) {
  std::vector<std::string> environment;
  for (char** entry = environ; *entry != nullptr; ++entry) environment.emplace_back(*entry);
  for (const auto& [name, value] : added) environment.push_back(fmt::format("{}={}", name, value));
  return environment;
}

/// Runs in the child between fork and exec: only calls that are safe there.
[[noreturn]] void Execute(char* const* arguments, char* const* environment, const char* log,
                          pid_t parent) {
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (::getppid() != parent) ::_exit(kExecFailed);
  sigset_t none;
  ::sigemptyset(&none);
  ::sigprocmask(SIG_SETMASK, &none, nullptr);
  constexpr int kMode = 0644;
  const int output = ::open(log, O_WRONLY | O_APPEND | O_CREAT, kMode);
  if (output >= 0) {
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
  }
  ::execve(arguments[0], arguments, environment);
  ::_exit(kExecFailed);
}

}  // namespace

Result<ChildProcess> ChildProcess::Start(const Command& command) {
  auto words = command.words;
  auto environment = Environment(command.environment);
  const auto arguments = Pointers(words);
  const auto environment_pointers = Pointers(environment);
  const pid_t parent = ::getpid();
  const pid_t id = ::fork();
  if (id < 0) {
    return Fail(ErrorKind::kUnavailable,
                "Can't start " + words.front() + ": " + std::strerror(errno) + ".",
                "Run a smaller fleet or raise the limit of processes.");
  }
  if (id == 0) {
    Execute(arguments.data(), environment_pointers.data(), command.log.c_str(), parent);
  }
  return ChildProcess(id);
}

ChildProcess::ChildProcess(ChildProcess&& other) noexcept
    : id_(std::exchange(other.id_, -1)), exit_status_(other.exit_status_) {}

ChildProcess& ChildProcess::operator=(ChildProcess&& other) noexcept {
  if (this == &other) return *this;
  Kill();
  id_ = std::exchange(other.id_, -1);
  exit_status_ = other.exit_status_;
  return *this;
}

ChildProcess::~ChildProcess() { Kill(); }

void ChildProcess::Reap(int status) {
  exit_status_ = WIFEXITED(status) ? WEXITSTATUS(status) : kSignalBase + WTERMSIG(status);
}

bool ChildProcess::Running() {
  if (id_ < 0 || exit_status_) return false;
  int status = 0;
  if (::waitpid(id_, &status, WNOHANG) == id_) Reap(status);
  return !exit_status_;
}

void ChildProcess::Signal(int signal) {
  if (Running()) ::kill(id_, signal);
}

std::optional<int> ChildProcess::Wait(Duration limit) {
  const Instant end = runtime::BootTimeNow() + limit;
  while (Running()) {
    if (runtime::BootTimeNow() >= end) return std::nullopt;
    std::this_thread::sleep_for(kWaitPeriod);
  }
  return exit_status_;
}

void ChildProcess::Kill() {
  if (!Running()) return;
  ::kill(id_, SIGKILL);
  int status = 0;
  if (::waitpid(id_, &status, 0) == id_) Reap(status);
}

}  // namespace graniteseam::testbed
