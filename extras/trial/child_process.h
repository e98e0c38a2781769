#pragma once

#include <absl/status/statusor.h>
#include <sys/types.h>

#include <string>
#include <vector>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry::trial {

/** A child of this process. The child is killed by its process id when this object is
    destroyed, or earlier by KillAllChildren(), so that no child outlives this process. */
class child_process {
 public:
  /** Starts a program and appends its standard output and error to `log_file`.
      @param environment  "NAME=value" entries added to this process's own environment
      @return             an error of kSettingsFileUnreadable if the program can't be started */
  static absl::StatusOr<child_process> Start(const std::vector<std::string>& command,
                                             const std::string& log_file,
                                             const std::vector<std::string>& environment = {});

  child_process(child_process&& other) noexcept;
  child_process& operator=(child_process&& other) noexcept;
  /** Kills the process, like Kill(). */
  ~child_process();

  //============================================================================
  /** Sends a signal; does nothing if the process is known to have exited. */
  void Signal(int number);
  /** Sends SIGKILL and waits until the process has exited. */
  void Kill();
  /** Waits until the process has exited.
      @param exit_code  receives the exit code, or the negated number of the signal that
                        terminated the process
      @return           false if the process is still running after `timeout` */
  bool WaitForExit(duration timeout, int& exit_code);
  /** Whether the process is still running. */
  bool running();

  pid_t id() const { return id_; }

 private:
  explicit child_process(pid_t id) : id_(id) {}
  bool Reap(int options);

  pid_t id_ = -1;
  int exit_code_ = 0;
};

/** Kills all running children by their process ids. May be called from a thread that handles
    signals. */
void KillAllChildren();

/** Makes SIGINT, SIGTERM and SIGHUP kill all children and then exit this process.
    Must be called before other threads are started, because they inherit the signal mask. */
void KillChildrenOnSignals();

}  // namespace cuminferry::trial
