#include <unistd.h>

#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>

#include "soak/site_soak.h"
#include "trial/child_process.h"

namespace {

constexpr std::size_t kMaxShown = 12;

void Print(const char* promise, const std::vector<std::string>& broken) {
  std::cout << "  " << promise << ": " << broken.size() << " requests\n";
  for (std::size_t i = 0; i < broken.size() && i < kMaxShown; ++i) {
    std::cout << "    BROKEN " << broken[i] << "\n";
  }
}

}  // namespace

// Runs the site soaks of several seeds one after another. The exit code is 1 if any broke a
// promise.
int main(int argc, char** argv) {
  cxxopts::Options options("cuminferry-site-soak", "A whole site as real processes on loopback.");
  options.add_options()("program", "the node's program", cxxopts::value<std::string>())(
      "other-program", "the program of every second node; default: the same",
      cxxopts::value<std::string>()->default_value(""))(
      "seed", "first seed", cxxopts::value<std::uint64_t>()->default_value("1"))(
      "seeds", "how many seeds", cxxopts::value<int>()->default_value("1"))(
      "machines", "machines of the site", cxxopts::value<std::size_t>()->default_value("64"))(
      "load", "factor on the usual load", cxxopts::value<double>()->default_value("1"))(
      "length", "seconds with requests", cxxopts::value<int>()->default_value("30"))(
      "threads", "threads of clients and backend servers",
      cxxopts::value<std::size_t>()->default_value("4"))(
      "busy", "threads that only take processor time",
      cxxopts::value<std::size_t>()->default_value("0"))(
      "rejections", "share of all requests that backend servers reject all the time",
      cxxopts::value<double>()->default_value("0"))(
      "late-rejections", "share of the rejections that are repeated late",
      cxxopts::value<double>()->default_value("0"))(
      "passed-on-refusals",
      "share of the requests that backend servers answer with the status of a refused call",
      cxxopts::value<double>()->default_value("0"))("without-plan", "no other faults")(
      "block", "number of the block of loopback addresses; default: the process id",
      cxxopts::value<std::uint32_t>()->default_value(std::to_string(::getpid())))(
      "folder", "folder for settings and logs", cxxopts::value<std::string>())("help",
                                                                               "print this");
  try {
    const auto given = options.parse(argc, argv);
    if (given.count("help") > 0) {
      std::cout << options.help();
      return EXIT_SUCCESS;
    }
    cuminferry::trial::KillChildrenOnSignals();
    int failed = 0;
    for (int i = 0; i < given["seeds"].as<int>(); ++i) {
      const std::uint64_t seed = given["seed"].as<std::uint64_t>() + static_cast<std::uint64_t>(i);
      std::cout << "seed " << seed << std::endl;
      const auto result = cuminferry::testing::RunSiteSoak(
          {.program = given["program"].as<std::string>(),
           .other_program = given["other-program"].as<std::string>(),
           .folder = given["folder"].as<std::string>() + "/seed-" + std::to_string(seed),
           .seed = seed,
           .machines = given["machines"].as<std::size_t>(),
           .load = given["load"].as<double>(),
           .length = std::chrono::seconds(given["length"].as<int>()),
           .threads = given["threads"].as<std::size_t>(),
           .busy_threads = given["busy"].as<std::size_t>(),
           .fault = {.rejections = given["rejections"].as<double>(),
                     .late_rejections = given["late-rejections"].as<double>(),
                     .passed_on_refusals = given["passed-on-refusals"].as<double>()},
           .without_plan = given.count("without-plan") > 0,
           .block = given["block"].as<std::uint32_t>()});
      Print("ran more than once", result.breaches.ran_twice);
      Print("refused, but ran", result.breaches.refused_and_ran);
      Print("refused, but ran (idempotent)", result.breaches.refused_and_ran_idempotent);
      Print("others", result.violations);
      std::cout << "  " << result.summary
                << "\n  nodes, with earlier seeds: " << cuminferry::ToSeconds(result.processor_time)
                << " s of processor time, largest " << result.largest_memory_mb << " MB"
                << std::endl;
      const bool kept =
          result.breaches.ran_twice.empty() && result.breaches.refused_and_ran.empty() &&
          result.breaches.refused_and_ran_idempotent.empty() && result.violations.empty();
      failed += kept ? 0 : 1;
    }
    std::cout << "seeds with broken promises: " << failed << "\n";
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
  } catch (const std::exception& failure) {
    std::cerr << failure.what() << "\n" << options.help();
    return EXIT_FAILURE;
  }
}
