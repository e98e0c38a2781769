#include <algorithm>
#include <cstdlib>
#include <cxxopts.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

#include "trial/child_process.h"
#include "trial/demo.h"
#include "trial/hop_cost.h"
#include "trial/trial_run.h"

namespace {

using cuminferry::trial::deployment_plan;
using cuminferry::trial::run_options;
using cuminferry::trial::trial_measures;
using nlohmann::json;

constexpr int kExitUsage = 2;
constexpr int kExitPlan = 3;
constexpr int kExitRun = 4;
constexpr double kMillisPerSecond = 1000.0;
constexpr double kDefaultHopRate = 200.0;

std::chrono::milliseconds Seconds(const cxxopts::ParseResult& parsed, const char* name) {
  return std::chrono::milliseconds(
      static_cast<std::int64_t>(parsed[name].as<double>() * kMillisPerSecond));
}

// Returns the build folder; this program is located in <build>/extras/trial.
std::string ProgramsFolder() {
  return std::filesystem::read_symlink("/proc/self/exe").parent_path().parent_path().parent_path();
}

cxxopts::Options MakeOptions() {
  cxxopts::Options options(
      "cuminferry-trial",
      "Starts a deployment of real processes on this machine, loads it with callers that retry\n"
      "hard, and prints the measures. \"cuminferry-trial demo FILE\" shows one walk through it,\n"
      "\"cuminferry-trial hops FILE\" measures what two nodes add to a call.");
  options.positional_help("[demo|hops] DEPLOYMENT").show_positional_help();
  auto add = options.add_options();
  add("control", "full, static, none, or several of them with commas; all: one after another",
      cxxopts::value<std::string>()->default_value("full"));
  add("seed", "first seed", cxxopts::value<std::uint64_t>()->default_value("1"));
  add("seeds", "how many seeds, one after another",
      cxxopts::value<std::uint64_t>()->default_value("1"));
  add("fault",
      "slow-deep, kill-node, kill-instance, pause, platform-down, drain, silence, cut-off; with "
      "commas",
      cxxopts::value<std::vector<std::string>>());
  add("health", "what backend servers report: honest, idle, full, frozen",
      cxxopts::value<std::string>()->default_value("honest"));
  add("surge", "arrivals in the surge over those before",
      cxxopts::value<double>()->default_value("10"));
  add("before", "seconds before the surge", cxxopts::value<double>()->default_value("4"));
  add("surge-seconds", "length of the surge", cxxopts::value<double>()->default_value("6"));
  add("after", "seconds after the surge", cxxopts::value<double>()->default_value("6"));
  add("rate", "whole requests a second before the surge; 0: the deployment's",
      cxxopts::value<double>()->default_value("0"));
  add("domains", "only the first so many failure domains; 0: all",
      cxxopts::value<std::size_t>()->default_value("0"));
  add("heeding-baselines",
      "without full control, too, backend servers give up at deadlines and when callers have gone");
  add("polite", "callers wait as long as Retry-After says before they retry");
  add("keep", "keep settings, logs and journals");
  add("json", "write the measures to this file", cxxopts::value<std::string>());
  add("help", "this text");
  add("words", "", cxxopts::value<std::vector<std::string>>());
  options.parse_positional({"words"});
  return options;
}

std::vector<std::string> ParseControls(const std::string& text) {
  if (text == "all") {
    return {"none", "static", "full"};
  }
  std::vector<std::string> controls;
  std::size_t from = 0;
  for (std::size_t comma = 0; comma != std::string::npos; from = comma + 1) {
    comma = text.find(',', from);
    controls.push_back(text.substr(from, comma - from));
  }
  return controls;
}

run_options OptionsFrom(const cxxopts::ParseResult& parsed) {
  run_options options;
  options.deployment.program_folder = ProgramsFolder();
  options.deployment.health = parsed["health"].as<std::string>();
  options.deployment.domain_count = parsed["domains"].as<std::size_t>();
  options.deployment.keep_files = parsed.count("keep") > 0;
  options.surge_factor = parsed["surge"].as<double>();
  options.before_length = Seconds(parsed, "before");
  options.surge_length = Seconds(parsed, "surge-seconds");
  options.after_length = Seconds(parsed, "after");
  options.heeding_baselines = parsed.count("heeding-baselines") > 0;
  options.polite = parsed.count("polite") > 0;
  if (parsed.count("fault") > 0) {
    for (const std::string& name : parsed["fault"].as<std::vector<std::string>>()) {
      const auto fault = cuminferry::trial::ParseFault(name);
      if (!fault.ok()) {
        throw std::invalid_argument(std::string(fault.status().message()));
      }
      options.faults.push_back(*fault);
    }
  }
  return options;
}

// Formats the mean, minimum and maximum of one measure over the runs of one control mode.
std::string FormatSpread(const std::vector<trial_measures>& runs, const std::string& control,
                         const std::function<double(const trial_measures&)>& pick) {
  double smallest = 1e300;
  double largest = -1e300;
  double sum = 0.0;
  int count = 0;
  for (const trial_measures& run : runs) {
    if (run.control == control) {
      const double value = pick(run);
      smallest = std::min(smallest, value);
      largest = std::max(largest, value);
      sum += value;
      ++count;
    }
  }
  char text[64];
  std::snprintf(text, sizeof(text), "%.2f (%.2f-%.2f)", count > 0 ? sum / count : 0.0, smallest,
                largest);
  return text;
}

double HeaviestRowShare(const trial_measures& run) {
  for (const cuminferry::trial::row_measure& row : run.rows) {
    if (row.phase == "surge") {
      return row.completed_share();
    }
  }
  return 0.0;
}

void PrintComparison(const std::vector<trial_measures>& runs,
                     const std::vector<std::string>& controls) {
  std::printf("\nmean (least-most) over %zu runs\n%-34s", runs.size(), "");
  for (const std::string& control : controls) {
    std::printf(" %-24s", control.c_str());
  }
  const std::pair<const char*, std::function<double(const trial_measures&)>> lines[] = {
      {"goodput before, 1/s", [](const auto& run) { return run.before_goodput; }},
      {"goodput in the surge, 1/s", [](const auto& run) { return run.surge_goodput; }},
      {"  over the bottleneck / capacity",
       [](const auto& run) { return run.surge_bottleneck_goodput / run.capacity; }},
      {"heaviest row in the surge, share", HeaviestRowShare},
      {"recovery, s (-1: none)", [](const auto& run) { return run.recovery_seconds; }},
      {"work wasted, share", [](const auto& run) { return run.wasted_share; }},
      {"attempts per call", [](const auto& run) { return run.call_amplification; }},
      {"refused out of order",
       [](const auto& run) { return static_cast<double>(run.out_of_order); }},
      {"doubles", [](const auto& run) { return static_cast<double>(run.doubles); }},
      {"false not_run", [](const auto& run) { return static_cast<double>(run.false_not_run); }},
      {"foreign or partial", [](const auto& run) { return static_cast<double>(run.foreign); }},
      {"unknown filings", [](const auto& run) { return static_cast<double>(run.unknown_filings); }},
  };
  for (const auto& [name, pick] : lines) {
    std::printf("\n%-34s", name);
    for (const std::string& control : controls) {
      std::printf(" %-24s", FormatSpread(runs, control, pick).c_str());
    }
  }
  std::printf("\n");
}

int RunTrials(const cxxopts::ParseResult& parsed, deployment_plan plan) {
  run_options options = OptionsFrom(parsed);
  if (parsed["rate"].as<double>() > 0) {
    plan.rate = parsed["rate"].as<double>();
  }
  std::printf(
      "%s: service times x%g, slots x%g so that this machine's processors are not the bottleneck; "
      "%.0f whole requests/s, x%.0f in the surge; %s can complete %.0f/s of those that need it\n",
      plan.name.c_str(), plan.service_time_scale, plan.slots_scale, plan.rate, options.surge_factor,
      plan.bottleneck.c_str(), plan.Capacity());
  const std::vector<std::string> controls = ParseControls(parsed["control"].as<std::string>());
  std::vector<trial_measures> runs;
  const std::uint64_t first = parsed["seed"].as<std::uint64_t>();
  for (std::uint64_t seed = first; seed < first + parsed["seeds"].as<std::uint64_t>(); ++seed) {
    for (const std::string& control : controls) {
      options.deployment.seed = seed;
      options.deployment.control = control;
      const auto measures = cuminferry::trial::RunTrial(plan, options);
      if (!measures.ok()) {
        std::cerr << measures.status().message() << "\n";
        return kExitRun;
      }
      std::cout << "\n" << cuminferry::trial::ToText(*measures) << std::flush;
      runs.push_back(*measures);
    }
  }
  if (runs.size() > 1) {
    PrintComparison(runs, controls);
  }
  if (parsed.count("json") > 0) {
    json all = json::array();
    for (const trial_measures& run : runs) {
      all.push_back(run.ToJson());
    }
    std::ofstream(parsed["json"].as<std::string>()) << json{{"deployment", plan.name},
                                                            {"scale", plan.service_time_scale},
                                                            {"slots_scale", plan.slots_scale},
                                                            {"runs", all}}
                                                           .dump(1)
                                                    << "\n";
  }
  return EXIT_SUCCESS;
}

double HopRate(const cxxopts::ParseResult& parsed) {
  const double rate = parsed["rate"].as<double>();
  return rate > 0 ? rate : kDefaultHopRate;
}

int Run(const cxxopts::ParseResult& parsed) {
  std::vector<std::string> words = parsed["words"].as<std::vector<std::string>>();
  const std::string subcommand = words.size() == 2 ? words[0] : "";
  if (words.size() > 2 || (words.size() == 2 && subcommand != "demo" && subcommand != "hops")) {
    std::cerr << "expected arguments: [demo|hops] DEPLOYMENT\n";
    return kExitUsage;
  }
  const auto plan = deployment_plan::Read(words.back());
  if (!plan.ok()) {
    std::cerr << plan.status().message() << "\n";
    return kExitPlan;
  }
  if (subcommand == "demo") {
    return cuminferry::trial::RunDemo(*plan, ProgramsFolder());
  }
  if (subcommand == "hops") {
    return cuminferry::trial::RunHopCost(*plan, ProgramsFolder(), HopRate(parsed));
  }
  return RunTrials(parsed, *plan);
}

}  // namespace

int main(int count, char** arguments) {
  cuminferry::trial::KillChildrenOnSignals();
  cxxopts::Options options = MakeOptions();
  try {
    const cxxopts::ParseResult parsed = options.parse(count, arguments);
    if (parsed.count("help") > 0 || parsed.count("words") == 0) {
      std::cout << options.help();
      return parsed.count("help") > 0 ? EXIT_SUCCESS : kExitUsage;
    }
    return Run(parsed);
  } catch (const std::exception& failure) {
    cuminferry::trial::KillAllChildren();
    std::cerr << failure.what() << "\n";
    return kExitUsage;
  }
}
