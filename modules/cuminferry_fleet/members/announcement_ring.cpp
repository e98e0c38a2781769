#include "cuminferry_fleet/members/announcement_ring.h"

#include <algorithm>
#include <limits>

#include "cuminferry_fleet/members/address_hash.h"

namespace cuminferry {

announcement_ring::announcement_ring(const endpoint& own) : own_position_(AddressHashOf(own)) {}

std::vector<endpoint> announcement_ring::NeighboursIn(std::span<const endpoint> peers) const {
  const endpoint* next = nullptr;
  const endpoint* previous = nullptr;
  std::uint64_t least_distance = std::numeric_limits<std::uint64_t>::max();
  std::uint64_t greatest_distance = 0;
  for (const endpoint& peer : peers) {
    // Wraps around at the end of the ring.
    const std::uint64_t distance = AddressHashOf(peer) - own_position_;
    if (next == nullptr || distance < least_distance) {
      least_distance = distance;
      next = &peer;
    }
    if (previous == nullptr || distance > greatest_distance) {
      greatest_distance = distance;
      previous = &peer;
    }
  }
  if (next == previous) {
    return next == nullptr ? std::vector<endpoint>() : std::vector<endpoint>{*next};
  }
  return {*next, *previous};
}

std::vector<endpoint> announcement_ring::ChoosePeers(std::span<const endpoint> peers,
                                                     random_source& random) const {
  std::vector<endpoint> chosen = NeighboursIn(peers);
  const std::size_t wanted = std::min(kFanout, peers.size());
  while (chosen.size() < wanted) {
    const endpoint& drawn = peers[random.Below(peers.size())];
    if (std::ranges::find(chosen, drawn) == chosen.end()) {
      chosen.push_back(drawn);
    }
  }
  return chosen;
}

}  // namespace cuminferry
