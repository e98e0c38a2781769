#include <cstdlib>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

#include "stand_ins/backend/backend_stand_in.h"
#include "stand_ins/signals.h"

namespace {

using cuminferry::stand_ins::backend_settings;
using cuminferry::stand_ins::backend_stand_in;

constexpr int kExitSettings = 2;
constexpr int kExitAddress = 3;

int Run(const std::string& file) {
  std::stringstream text;
  text << std::ifstream(file).rdbuf();
  absl::StatusOr<backend_settings> settings = backend_settings::Parse(text.str());
  if (!settings.ok()) {
    std::cerr << file << ": " << settings.status().message() << "\n";
    return kExitSettings;
  }
  backend_stand_in backend(*std::move(settings));
  const absl::Status started = backend.Start();
  if (!started.ok()) {
    std::cerr << started.message() << "\n";
    return kExitAddress;
  }
  std::cout << "listening on " << backend.address().ToString() << std::endl;
  cuminferry::stand_ins::WaitForTerminationSignal();
  return EXIT_SUCCESS;
}

}  // namespace

int main(int count, char** arguments) {
  cuminferry::stand_ins::BlockTerminationSignals();
  cxxopts::Options options("cuminferry-backend-stand-in",
                           "Takes the place of a backend server in tests.");
  options.add_options()("settings", "JSON with comments; see backend_settings.h",
                        cxxopts::value<std::string>())("help", "this text");
  try {
    const cxxopts::ParseResult chosen = options.parse(count, arguments);
    if (chosen.count("help") > 0 || chosen.count("settings") == 0) {
      std::cout << options.help();
      return chosen.count("help") > 0 ? EXIT_SUCCESS : kExitSettings;
    }
    return Run(chosen["settings"].as<std::string>());
  } catch (const std::exception& failure) {
    std::cerr << failure.what() << "\n";
    return kExitSettings;
  }
}
