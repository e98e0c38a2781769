#pragma once

#include <sys/types.h>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace cuminferry::fleet_bench {

/** A child process that runs one node of the benchmark, with pipes to its standard input and
    output. The child exits at the end of its input, so it never outlives the benchmark. */
class node_process {
 public:
  /** Starts the running program again with these arguments, program name included. */
  explicit node_process(std::vector<std::string> arguments);
  ~node_process();
  node_process(const node_process&) = delete;
  node_process& operator=(const node_process&) = delete;

  /** Requests a line with the resource usage of the process. */
  void RequestUsage();
  /** Reads the available output without blocking and calls the hook with each complete line. */
  void ReadLines(const std::function<void(std::string_view line)>& on_line);

  int output() const { return output_; }

 private:
  pid_t process_ = -1;
  int input_ = -1;
  int output_ = -1;
  std::string pending_;
};

}  // namespace cuminferry::fleet_bench
