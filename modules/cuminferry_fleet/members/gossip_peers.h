#pragma once

#include <cstddef>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "cuminferry_fleet/platform/published_values.h"

namespace cuminferry {

/** The nodes that this node may tell of new versions: the instances of the
    services that it follows, its seeds, and who told it something.

    Bounded: kLargestList per service, kHeardBound of the others.
*/
class gossip_peers {
 public:
  static constexpr std::size_t kLargestList = 4096;
  static constexpr std::size_t kHeardBound = 128;

  struct options {
    endpoint self;
    std::string failure_domain;
    std::vector<endpoint> seeds;
    /** How often a peer of the own failure domain is preferred, where there is one. */
    double near_share = 0.7;
  };

  explicit gossip_peers(options chosen);
  ~gossip_peers();

  /** The instances of a service that this node follows. Replaces the earlier ones. */
  void UseList(std::string_view service, std::span<const published_instance> instances);
  /** A datagram came from this peer. */
  void OnHeard(endpoint from);

  /** Some different peers at random, fewer where fewer are known. */
  std::vector<endpoint> Choose(std::size_t count, random_source& random) const;

  std::size_t size() const;

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry
