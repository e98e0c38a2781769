#pragma once

#include <atomic>
#include <cstdint>

namespace cuminferry::trial {

/** Which links between failure domains drop all data. Lies in a file that the trial
    writes and its nodes map; see link_faults.cpp. */
struct link_fault_table {
  static constexpr std::size_t kDomains = 16;

  /** Connections opened under an earlier number deliver nothing more. */
  std::atomic<std::uint32_t> silence_epoch = 0;
  /** cut[from][to]: not 0 if data between these failure domains is dropped. */
  std::atomic<std::uint8_t> cut[kDomains][kDomains] = {};
};

static_assert(std::atomic<std::uint32_t>::is_always_lock_free);

/** Peers of failure domain d listen on 127.0.<kFirstDomainByte + d>.1. */
inline constexpr std::uint32_t kFirstDomainByte = 10;
inline constexpr std::uint32_t kLoopbackNetwork = 0x7F000000;

/** The failure domain of an address of a trial, or -1. */
inline int DomainOfAddress(std::uint32_t address) {
  const std::uint32_t byte = (address >> 8) & 0xFF;
  const bool in_net = (address & 0xFFFF0000) == kLoopbackNetwork;
  const bool in_range =
      byte >= kFirstDomainByte && byte < kFirstDomainByte + link_fault_table::kDomains;
  return in_net && in_range ? static_cast<int>(byte - kFirstDomainByte) : -1;
}

/** The address on which peers of a failure domain listen. */
inline std::uint32_t AddressOfDomain(std::size_t domain) {
  return kLoopbackNetwork | ((kFirstDomainByte + static_cast<std::uint32_t>(domain)) << 8) | 1;
}

/** Environment variables of a node: path of the table's file, and the node's failure domain. */
inline constexpr char kLinkFaultFile[] = "CUMINFERRY_LINK_FAULTS";
inline constexpr char kLinkFaultDomain[] = "CUMINFERRY_LINK_DOMAIN";

}  // namespace cuminferry::trial
