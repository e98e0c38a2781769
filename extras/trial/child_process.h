#pragma once

#include <absl/status/statusor.h>
#include <sys/types.h>

#include <string>
#include <vector>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry::trial {

/** A process that this one started and that never outlives it: ended by its id
    at the latest when this value goes, or by KillAllChildren(). */
class child_process {
 public:
  /** Starts a program; its output goes to `log_file`.
      @param environment "NAME=value" entries added to this process's own */
  static absl::StatusOr<child_process> Start(const std::vector<std::string>& command,
                                             const std::string& log_file,
                                             const std::vector<std::string>& environment = {});

  child_process(child_process&& other) noexcept;
  child_process& operator=(child_process&& other) noexcept;
  /** As Kill(). */
  ~child_process();

  //============================================================================
  /** Sends a signal; does nothing once it has ended. */
  void Signal(int number);
  /** SIGKILL, and waits for its end. */
  void Kill();
  /** Waits for its end; true with its exit code, or minus the signal's number,
      where it came in time. */
  bool WaitForEnd(duration longest, int& exit_code);
  /** Whether it runs still. */
  bool running();

  pid_t id() const { return id_; }

 private:
  explicit child_process(pid_t id) : id_(id) {}
  bool Reap(int options);

  pid_t id_ = -1;
  int exit_code_ = 0;
};

/** Kills, by their ids, all children that run. For signal handling threads. */
void KillAllChildren();

/** Makes SIGINT, SIGTERM and SIGHUP end all children and then this process.
    To be called before other threads start. */
void EndChildrenOnSignals();

}  // namespace cuminferry::trial
