#include "soak/soak_addresses.h"

#include <spdlog/fmt/fmt.h>

#include <nlohmann/json.hpp>

namespace cuminferry::testing {
namespace {

constexpr std::uint16_t kSeedPort = 17622;
constexpr std::uint16_t kMetricsPort = 17621;
constexpr std::uint16_t kStorePort = 18309;
constexpr std::uint32_t kStoreGroup = 2;
constexpr std::uint32_t kFirstBlock = 64;

}  // namespace

endpoint soak_addresses::At(std::uint32_t group, std::size_t number, std::uint16_t port) const {
  return {.address = (127U << 24) + ((kFirstBlock + block_) << 16) + (group << 8) +
                     static_cast<std::uint32_t>(number) + 1,
          .port = port};
}

endpoint soak_addresses::Store() const { return At(kStoreGroup, 0, kStorePort); }

endpoint soak_addresses::StoreLink(std::size_t number) const {
  return At(kStoreGroup, number + 1, kStorePort);
}

nlohmann::json soak_addresses::SettingsOf(std::size_t number, std::string_view service,
                                          std::string_view failure_domain,
                                          const endpoint& backend) const {
  const auto address = [&](std::uint16_t port) { return Node(number, port).ToString(); };
  return {{"instance", fmt::format("node-{}", number)},
          {"service", service},
          {"failure_domain", failure_domain},
          {"outbound", address(kOutboundPort)},
          {"ready", address(kReadyPort)},
          {"ready_path", "/cuminferry/readyz"},
          {"peer", address(kPeerPort)},
          {"seed", address(kSeedPort)},
          {"metrics", address(kMetricsPort)},
          {"metrics_path", "/metrics"},
          {"backend", backend.ToString()},
          {"platform", StoreLink(number).ToString()},
          {"seeds", nlohmann::json::array()}};
}

}  // namespace cuminferry::testing
