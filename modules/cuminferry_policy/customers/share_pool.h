#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** Requests of one rank that are limited by the same service. Customers share what is admitted of a
    pool: what the service can't serve of one rank must not be taken from rows that another service
    limits. */
struct share_pool {
  std::string_view service;
  std::uint32_t rank = 0;

  /** Identifies the pool between nodes. */
  std::uint32_t id() const {
    constexpr std::uint64_t kOddFactor = 0x9E3779B97F4A7C15;
    const std::uint64_t mixed = (DigestOf(service) ^ rank) * kOddFactor;
    return static_cast<std::uint32_t>(mixed >> 32);
  }
};

/** Name by which the coordinators of a pool's level are chosen. @see coordinator_picker */
inline std::string CoordinatorKeyOf(std::uint32_t pool) { return "pool " + std::to_string(pool); }

}  // namespace cuminferry
