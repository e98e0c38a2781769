#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>

#include "stand_ins/platform/platform_stand_in.h"
#include "stand_ins/signals.h"

namespace {

constexpr int kExitCommandLine = 2;
constexpr int kExitAddress = 3;

int Run(const cxxopts::ParseResult& chosen) {
  cuminferry::stand_ins::platform_stand_in::options options;
  if (!cuminferry::endpoint::Parse(chosen["listen"].as<std::string>(), options.listen)) {
    std::cerr << "--listen takes an address and port such as 127.0.0.1:8500\n";
    return kExitCommandLine;
  }
  options.max_reads_per_second = chosen["reads"].as<std::uint32_t>();
  cuminferry::stand_ins::platform_stand_in platform(options);
  const absl::Status started = platform.Start();
  if (!started.ok()) {
    std::cerr << started.message() << "\n";
    return kExitAddress;
  }
  std::cout << "listening on " << platform.address().ToString() << std::endl;
  cuminferry::stand_ins::WaitForTerminationSignal();
  return EXIT_SUCCESS;
}

}  // namespace

int main(int count, char** arguments) {
  cuminferry::stand_ins::BlockTerminationSignals();
  cxxopts::Options options("cuminferry-platform-stand-in",
                           "Takes the place of the platform's configuration service in tests.");
  options.add_options()("listen", "address and port; port 0 selects a free one",
                        cxxopts::value<std::string>()->default_value("127.0.0.1:0"))(
      "reads", "reads answered a second", cxxopts::value<std::uint32_t>()->default_value("2000"))(
      "help", "this text");
  try {
    const cxxopts::ParseResult chosen = options.parse(count, arguments);
    if (chosen.count("help") > 0) {
      std::cout << options.help();
      return EXIT_SUCCESS;
    }
    return Run(chosen);
  } catch (const std::exception& failure) {
    std::cerr << failure.what() << "\n";
    return kExitCommandLine;
  }
}
