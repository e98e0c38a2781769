#pragma once

#include <cstddef>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "cuminferry_fleet/platform/published_values.h"

namespace cuminferry {

/** The nodes with which this node exchanges digests: the instances of the services that it
    follows, its seeds, and the senders of received digests.

    The set is limited to kMaxListed nodes per service and kMaxUnlistedSenders further senders.
*/
class gossip_peers {
 public:
  static constexpr std::size_t kMaxListed = 4096;
  static constexpr std::size_t kMaxUnlistedSenders = 128;

  struct options {
    endpoint self;
    std::string failure_domain;
    std::vector<endpoint> seeds;
    /** Fraction of draws from this node's own failure domain, where it has other nodes. */
    double same_domain_share = 0.7;
  };

  explicit gossip_peers(options chosen);
  ~gossip_peers();

  /** Replaces the instances of a service that this node follows. */
  void UpdateList(std::string_view service, std::span<const published_instance> instances);
  /** Records the sender of a received datagram. */
  void OnReceived(endpoint from);

  /** Returns different random peers, at most `count` and fewer where fewer are known. */
  std::vector<endpoint> Choose(std::size_t count, random_source& random) const;

  std::size_t size() const;

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry
