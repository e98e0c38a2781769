#include <nlohmann/json.hpp>
#include <thread>

#include "ctl/commands/commands.h"
#include "ctl/fleet/node_client.h"
#include "ctl/fleet/node_list.h"

namespace cuminferry::ctl {
namespace {

constexpr std::chrono::milliseconds kPollPeriod{200};

/** Waits until a draining node no longer answers; false if the deadline passes first. */
bool WaitUntilStopped(endpoint node, std::chrono::milliseconds call_timeout,
                      std::chrono::steady_clock::time_point deadline, streams output) {
  std::uint64_t last_running = UINT64_MAX;
  while (std::chrono::steady_clock::now() < deadline) {
    const auto answer = Get(node, "/status", call_timeout);
    if (!answer.ok()) {
      output.out << node.ToString() << ": gone\n";
      return true;
    }
    const auto status = nlohmann::json::parse(answer->body, nullptr, false);
    const std::uint64_t running = status.is_object() ? status.value("running", 0ULL) : 0;
    if (running != last_running) {
      output.out << node.ToString() << ": " << running << " running\n";
      last_running = running;
    }
    std::this_thread::sleep_for(kPollPeriod);
  }
  return false;
}

exit_code Drain(const cxxopts::ParseResult& parsed, streams output) {
  std::vector<std::string> arguments;
  endpoint node;
  if (!ReadArguments(parsed, 1, output, arguments) || !ParseAddress(arguments[0], output, node)) {
    return exit_code::kBadCommandLine;
  }
  const std::chrono::milliseconds timeout(parsed["timeout-ms"].as<std::uint32_t>());
  const auto answer = Post(node, "/drain", timeout);
  if (!answer.ok() || answer->status != 200) {
    PrintError(output, result_code::kTargetUnreachable,
               answer.ok() ? node.ToString() + ": HTTP status " + std::to_string(answer->status)
                           : std::string(answer.status().message()));
    return exit_code::kNoNodeAnswered;
  }
  output.out << node.ToString() << ": draining; it takes nothing new and ends when nothing runs\n";
  const std::uint32_t wait = parsed["wait"].as<std::uint32_t>();
  const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(wait);
  if (wait > 0 && !WaitUntilStopped(node, timeout, deadline, output)) {
    output.err << node.ToString() << ": still draining after " << wait
               << " s; nothing was cut off\n";
    return exit_code::kFoundProblems;
  }
  return exit_code::kDone;
}

}  // namespace

command DrainCommand() {
  return {.name = "drain",
          .arguments = "NODE",
          .summary = "have a node take nothing new, finish what runs and end",
          .examples =
              "examples (NODE is the admin address):\n"
              "  cuminferry-ctl drain 127.0.0.1:8083\n"
              "  cuminferry-ctl drain --wait 600 127.0.0.1:8083\n",
          .declare =
              [](cxxopts::Options& options) {
                options.add_options()("wait", "wait so many seconds until it has ended",
                                      cxxopts::value<std::uint32_t>()->default_value("0"), "S")(
                    "timeout-ms", "longest wait for an answer",
                    cxxopts::value<std::uint32_t>()->default_value("3000"), "MS");
              },
          .run = Drain};
}

}  // namespace cuminferry::ctl
