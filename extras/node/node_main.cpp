#include <spdlog/spdlog.h>

#include <csignal>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

#include "cuminferry_node/cuminferry_node.h"

namespace cuminferry {
namespace {

// Exit codes, documented in docs/OPERATIONS.md.
constexpr int kExitOk = 0;
constexpr int kExitUsage = 2;
constexpr int kExitSettings = 3;
constexpr int kExitListen = 4;

constexpr std::chrono::milliseconds kSignalPoll{100};

absl::StatusOr<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return MakeStatus(result_code::kSettingsFileUnreadable, path);
  }
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

absl::StatusOr<node_settings> LoadSettings(const std::string& path) {
  absl::StatusOr<std::string> text = ReadFile(path);
  if (!text.ok()) {
    return text.status();
  }
  std::vector<table_problem> problems;
  absl::StatusOr<node_settings> settings = node_settings::Parse(*text, problems);
  for (const table_problem& problem : problems) {
    std::cerr << "CF" << static_cast<int>(problem.code) << " " << path << " " << problem.location
              << ": " << problem.detail << "\n";
  }
  return settings;
}

// Waits for SIGTERM, SIGINT or a requested drain.
void WaitForDrain(const sigset_t& signals, const node& running) {
  const timespec poll{0, std::chrono::nanoseconds(kSignalPoll).count()};
  while (!running.is_drain_requested()) {
    if (sigtimedwait(&signals, nullptr, &poll) > 0) {
      return;
    }
  }
}

int Serve(const node_settings& settings, const sigset_t& signals) {
  auto started = node::builder().WithSettings(settings).Start();
  if (!started.ok()) {
    std::cerr << started.status().message() << "\n";
    return kExitListen;
  }
  const node::addresses& at = (*started)->listen_addresses();
  spdlog::info("{} is serving: front {} egress {} peer {} admin {}", settings.instance,
               at.front.ToString(), at.egress.ToString(), at.peer.ToString(), at.admin.ToString());
  WaitForDrain(signals, **started);
  spdlog::info("{} is draining", settings.instance);
  (*started)->Drain();
  spdlog::info("{} has no requests in flight and ends", settings.instance);
  return kExitOk;
}

int Run(int argc, char** argv) {
  cxxopts::Options options("cuminferry-node",
                           "The cuminferry node process, which runs alongside a backend server.");
  options.add_options()("settings", "settings file, JSON with comments",
                        cxxopts::value<std::string>())("check", "check the settings and end")(
      "help", "print this help");
  std::string path;
  bool check = false;
  try {
    const auto given = options.parse(argc, argv);
    if (given.count("help") > 0) {
      std::cout << options.help();
      return kExitOk;
    }
    path = given["settings"].as<std::string>();
    check = given.count("check") > 0;
  } catch (const std::exception& failure) {
    std::cerr << MakeStatus(result_code::kCommandLineInvalid, failure.what()).message() << "\n"
              << options.help();
    return kExitUsage;
  }
  const absl::StatusOr<node_settings> settings = LoadSettings(path);
  if (!settings.ok()) {
    std::cerr << settings.status().message() << "\n";
    return kExitSettings;
  }
  if (check) {
    std::cout << path << ": settings are valid\n";
    return kExitOk;
  }
  // Blocked before any thread starts, so that only WaitForDrain() receives these signals.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return Serve(*settings, signals);
}

}  // namespace
}  // namespace cuminferry

int main(int argc, char** argv) { return cuminferry::Run(argc, argv); }
