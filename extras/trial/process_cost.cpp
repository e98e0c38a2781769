#include "trial/process_cost.h"

#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <sstream>

namespace cuminferry::trial {
namespace {

constexpr double kKilobytesPerMegabyte = 1024.0;
constexpr double kMicrosPerSecond = 1e6;
/** Number of fields in /proc/<pid>/stat between the program's name and the user time; the state is
    the first of them. */
constexpr int kFieldsBeforeUserTime = 11;

double ProcessorSeconds(pid_t id) {
  std::ifstream file("/proc/" + std::to_string(id) + "/stat");
  std::string text;
  std::getline(file, text);
  // The program's name is enclosed in parentheses and may contain blanks.
  std::istringstream fields(text.substr(std::min(text.size(), text.rfind(')') + 1)));
  std::string skipped;
  for (int field = 0; field < kFieldsBeforeUserTime; ++field) {
    fields >> skipped;
  }
  double user = 0.0;
  double system = 0.0;
  fields >> user >> system;
  return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

double PrivateMegabytes(pid_t id) {
  std::ifstream file("/proc/" + std::to_string(id) + "/status");
  for (std::string line; std::getline(file, line);) {
    if (line.rfind("RssAnon:", 0) == 0) {
      return std::strtod(line.c_str() + std::string("RssAnon:").size(), nullptr) /
             kKilobytesPerMegabyte;
    }
  }
  return 0.0;
}

}  // namespace

double SumOfCounter(const std::string& metrics, const std::string& counter) {
  std::istringstream lines(metrics);
  double sum = 0.0;
  for (std::string line; std::getline(lines, line);) {
    const std::size_t value = line.rfind(' ');
    if (line.rfind(counter, 0) == 0 && value != std::string::npos) {
      sum += std::strtod(line.c_str() + value, nullptr);
    }
  }
  return sum;
}

nodes_usage ReadUsage(deployment& running) {
  nodes_usage usage;
  usage.read_at = boot_clock::Now();
  for (const running_target& target : running.targets()) {
    const pid_t id = target.node_process->id();
    usage.processor_seconds += ProcessorSeconds(id);
    usage.largest_private_mb = std::max(usage.largest_private_mb, PrivateMegabytes(id));
    usage.served += SumOfCounter(deployment::SendRequest(target.admin, "GET", "/metrics"),
                                 "cuminferry_served_total");
    ++usage.nodes;
  }
  return usage;
}

node_cost CostBetween(std::string phase, const nodes_usage& from, const nodes_usage& to) {
  const double seconds = std::chrono::duration<double>(to.read_at - from.read_at).count();
  const double processor = to.processor_seconds - from.processor_seconds;
  const double served = to.served - from.served;
  const double node_seconds = seconds * static_cast<double>(std::max<std::size_t>(1, to.nodes));
  node_cost cost;
  cost.phase = std::move(phase);
  cost.processor_percent = 100.0 * processor / node_seconds;
  cost.served_per_second = served / node_seconds;
  cost.micros_per_call = served > 0.0 ? processor * kMicrosPerSecond / served : 0.0;
  cost.largest_private_mb = to.largest_private_mb;
  return cost;
}

}  // namespace cuminferry::trial
