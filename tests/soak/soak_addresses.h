#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string_view>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry::testing {

/** Loopback addresses of one soak: 127.B.G.N with B from its block, G the group, N the number plus
    one. Soaks with different blocks do not interfere. */
class soak_addresses {
 public:
  static constexpr std::uint16_t kOutboundPort = 18304;
  static constexpr std::uint16_t kReadyPort = 18302;
  static constexpr std::uint16_t kPeerPort = 17620;
  static constexpr std::uint16_t kBackendPort = 18301;
  /** Number of different blocks. */
  static constexpr std::uint32_t kBlocks = 180;

  /** @param block  taken modulo kBlocks */
  explicit soak_addresses(std::uint32_t block) : block_(block % kBlocks) {}

  /** Address of a node's process. */
  endpoint Node(std::size_t number, std::uint16_t port) const { return At(0, number, port); }
  /** Address at which other nodes find a node's proxy, and its backend server. */
  endpoint Published(std::size_t number, std::uint16_t port) const { return At(1, number, port); }
  endpoint Store() const;
  /** Address of the proxy before a node's way to the store. */
  endpoint StoreLink(std::size_t number) const;

  /** Settings of a node that every soak gives it. */
  nlohmann::json SettingsOf(std::size_t number, std::string_view service,
                            std::string_view failure_domain, const endpoint& backend) const;

 private:
  endpoint At(std::uint32_t group, std::size_t number, std::uint16_t port) const;

  std::uint32_t block_;
};

}  // namespace cuminferry::testing
