#include "fleet_bench/node_process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cassert>

namespace cuminferry::fleet_bench {
namespace {

constexpr char kThisProgram[] = "/proc/self/exe";
constexpr std::size_t kReadBufferBytes = 4096;

std::vector<char*> Pointers(std::vector<std::string>& arguments) {
  std::vector<char*> pointers;
  pointers.reserve(arguments.size() + 1);
  for (std::string& one : arguments) {
    pointers.push_back(one.data());
  }
  pointers.push_back(nullptr);
  return pointers;
}

}  // namespace

node_process::node_process(std::vector<std::string> arguments) {
  std::array<int, 2> to_child{};
  std::array<int, 2> from_child{};
  const bool made =
      ::pipe2(to_child.data(), O_CLOEXEC) == 0 && ::pipe2(from_child.data(), O_CLOEXEC) == 0;
  assert(made);
  static_cast<void>(made);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_adddup2(&actions, to_child[0], STDIN_FILENO);
  posix_spawn_file_actions_adddup2(&actions, from_child[1], STDOUT_FILENO);
  std::vector<char*> pointers = Pointers(arguments);
  if (::posix_spawn(&process_, kThisProgram, &actions, nullptr, pointers.data(), environ) != 0) {
    process_ = -1;
  }
  posix_spawn_file_actions_destroy(&actions);
  ::close(to_child[0]);
  ::close(from_child[1]);
  input_ = to_child[1];
  output_ = from_child[0];
  ::fcntl(output_, F_SETFL, O_NONBLOCK);
}

node_process::~node_process() {
  ::close(input_);
  ::close(output_);
  if (process_ > 0) {
    ::waitpid(process_, nullptr, 0);
  }
}

void node_process::RequestUsage() { static_cast<void>(::write(input_, "\n", 1)); }

void node_process::ReadLines(const std::function<void(std::string_view line)>& on_line) {
  std::array<char, kReadBufferBytes> buffer{};
  ssize_t count = 0;
  while ((count = ::read(output_, buffer.data(), buffer.size())) > 0) {
    pending_.append(buffer.data(), static_cast<std::size_t>(count));
  }
  std::size_t begin = 0;
  for (std::size_t end = 0; (end = pending_.find('\n', begin)) != std::string::npos;) {
    on_line(std::string_view(pending_).substr(begin, end - begin));
    begin = end + 1;
  }
  pending_.erase(0, begin);
}

}  // namespace cuminferry::fleet_bench
