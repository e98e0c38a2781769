#include "trial/child_process.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <mutex>
#include <set>
#include <thread>
#include <utility>

extern char** environ;

namespace cuminferry::trial {
namespace {

constexpr timespec kPollInterval{0, 5'000'000};
constexpr int kLogMode = 0600;
constexpr int kExitInterrupted = 130;

std::mutex running_mutex;
std::set<pid_t>& RunningChildren() {
  static std::set<pid_t> children;
  return children;
}

std::vector<char*> Pointers(std::vector<std::string>& texts) {
  std::vector<char*> pointers;
  for (std::string& text : texts) {
    pointers.push_back(text.data());
  }
  pointers.push_back(nullptr);
  return pointers;
}

std::vector<std::string> EnvironmentWith(const std::vector<std::string>& added) {
  std::vector<std::string> all;
  for (char** entry = environ; *entry != nullptr; ++entry) {
    all.emplace_back(*entry);
  }
  all.insert(all.end(), added.begin(), added.end());
  return all;
}

// Starts the child with no blocked signals, regardless of the signal mask of this process.
void ClearSignalMask(posix_spawnattr_t& attributes) {
  sigset_t none;
  sigemptyset(&none);
  posix_spawnattr_init(&attributes);
  posix_spawnattr_setsigmask(&attributes, &none);
  posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);
}

}  // namespace

absl::StatusOr<child_process> child_process::Start(const std::vector<std::string>& command,
                                                   const std::string& log_file,
                                                   const std::vector<std::string>& environment) {
  std::vector<std::string> words = command;
  std::vector<std::string> variables = EnvironmentWith(environment);
  posix_spawn_file_actions_t files;
  posix_spawn_file_actions_init(&files);
  posix_spawn_file_actions_addopen(&files, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
  posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, log_file.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, kLogMode);
  posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
  posix_spawnattr_t attributes;
  ClearSignalMask(attributes);
  const std::lock_guard lock(running_mutex);
  pid_t id = -1;
  const int failed = ::posix_spawn(&id, words[0].c_str(), &files, &attributes,
                                   Pointers(words).data(), Pointers(variables).data());
  posix_spawn_file_actions_destroy(&files);
  posix_spawnattr_destroy(&attributes);
  if (failed != 0) {
    return MakeStatus(result_code::kSettingsFileUnreadable, "can't start " + words[0]);
  }
  RunningChildren().insert(id);
  return child_process(id);
}

child_process::child_process(child_process&& other) noexcept
    : id_(std::exchange(other.id_, -1)), exit_code_(other.exit_code_) {}

child_process& child_process::operator=(child_process&& other) noexcept {
  if (this != &other) {
    Kill();
    id_ = std::exchange(other.id_, -1);
    exit_code_ = other.exit_code_;
  }
  return *this;
}

child_process::~child_process() { Kill(); }

void child_process::Signal(int number) {
  if (id_ > 0) {
    ::kill(id_, number);
  }
}

void child_process::Kill() {
  Signal(SIGKILL);
  Reap(0);
}

bool child_process::WaitForExit(duration timeout, int& exit_code) {
  const instant until = boot_clock::Now() + timeout;
  while (!Reap(WNOHANG)) {
    if (boot_clock::Now() >= until) {
      return false;
    }
    ::nanosleep(&kPollInterval, nullptr);
  }
  exit_code = exit_code_;
  return true;
}

bool child_process::running() { return !Reap(WNOHANG); }

// Collects the exit status; returns true if the process has exited.
bool child_process::Reap(int options) {
  if (id_ <= 0) {
    return true;
  }
  int status = 0;
  const std::lock_guard lock(running_mutex);
  if (::waitpid(id_, &status, options) != id_) {
    return false;
  }
  exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  RunningChildren().erase(id_);
  id_ = -1;
  return true;
}

void KillAllChildren() {
  const std::lock_guard lock(running_mutex);
  for (const pid_t id : RunningChildren()) {
    ::kill(id, SIGKILL);
  }
}

void KillChildrenOnSignals() {
  static sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  ::signal(SIGPIPE, SIG_IGN);
  std::thread([] {
    int received = 0;
    sigwait(&signals, &received);
    KillAllChildren();
    ::_exit(kExitInterrupted);
  }).detach();
}

}  // namespace cuminferry::trial
