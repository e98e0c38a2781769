#pragma once

#include <cstdint>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry::trial {

/** Finds ports that nobody listens on, below the range from which the system
    takes ports for outgoing connections: a port from that range could be taken by
    a connection between two starts of a node on the same address. */
class port_finder {
 public:
  port_finder();

  /** A port that is free for TCP and UDP at this address, not given out before. */
  std::uint16_t Next(std::uint32_t address);

 private:
  std::uint16_t next_;
};

}  // namespace cuminferry::trial
