#pragma once

#include <sys/types.h>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace cuminferry::fleet_bench {

/** One process of the bench with pipes to its standard input and output. It ends
    when its input does, so none outlives the bench. */
class node_process {
 public:
  /** Starts this very program with other arguments. */
  explicit node_process(std::vector<std::string> arguments);
  ~node_process();
  node_process(const node_process&) = delete;
  node_process& operator=(const node_process&) = delete;

  /** Asks for a line of what it has used. */
  void AskUse();
  /** Reads what it has written; calls the hook with each whole line. */
  void ReadLines(const std::function<void(std::string_view line)>& on_line);

  int output() const { return output_; }

 private:
  pid_t process_ = -1;
  int input_ = -1;
  int output_ = -1;
  std::string pending_;
};

}  // namespace cuminferry::fleet_bench
