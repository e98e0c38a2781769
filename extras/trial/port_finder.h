#pragma once

#include <cstdint>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry::trial {

/** Finds unused ports below the range of ephemeral ports. An outgoing connection could take a port
    of that range between two starts of a node on the same address. */
class port_finder {
 public:
  port_finder();

  /** Returns a port that is free for TCP and UDP at this address. Ports are returned in ascending
      order and repeat only after the whole range has been searched. */
  std::uint16_t Next(std::uint32_t address);

 private:
  std::uint16_t next_;
};

}  // namespace cuminferry::trial
