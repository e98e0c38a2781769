#include "cuminferry_fleet/members/gossip_peers.h"

#include <algorithm>
#include <functional>
#include <map>

namespace cuminferry {
namespace {

using endpoints = std::vector<endpoint>;

void SortOut(endpoints& list) {
  std::sort(list.begin(), list.end());
  list.erase(std::unique(list.begin(), list.end()), list.end());
}

bool Holds(const endpoints& sorted, endpoint one) {
  return std::binary_search(sorted.begin(), sorted.end(), one);
}

}  // namespace

class gossip_peers::state {
 public:
  explicit state(options chosen) : options_(std::move(chosen)) { Rebuild(); }

  void UseList(std::string_view service, std::span<const published_instance> instances) {
    service_peers& peers = services_[std::string(service)];
    peers = {};
    for (const published_instance& one :
         instances.first(std::min(instances.size(), kLargestList))) {
      const bool near = one.failure_domain == options_.failure_domain;
      (near ? peers.near : peers.far).push_back(one.peer);
    }
    Rebuild();
  }

  void OnHeard(endpoint from) {
    if (from == options_.self || Holds(near_, from) || Holds(far_, from) ||
        std::find(heard_.begin(), heard_.end(), from) != heard_.end()) {
      return;
    }
    if (heard_.size() < kHeardBound) {
      heard_.push_back(from);
      return;
    }
    heard_[next_heard_] = from;
    next_heard_ = (next_heard_ + 1) % kHeardBound;
  }

  endpoints Choose(std::size_t count, random_source& random) const {
    endpoints chosen;
    // Twice the tries, as a draw may repeat; a missing one is made up next round.
    for (std::size_t left = 2 * count; left > 0 && chosen.size() < count; --left) {
      const endpoint one = Draw(random);
      if (one.port != 0 && std::find(chosen.begin(), chosen.end(), one) == chosen.end()) {
        chosen.push_back(one);
      }
    }
    return chosen;
  }

  std::size_t size() const { return near_.size() + far_.size() + heard_.size(); }

 private:
  struct service_peers {
    endpoints near;
    endpoints far;
  };

  void Rebuild() {
    near_.clear();
    far_ = options_.seeds;
    for (const auto& [service, peers] : services_) {
      near_.insert(near_.end(), peers.near.begin(), peers.near.end());
      far_.insert(far_.end(), peers.far.begin(), peers.far.end());
    }
    SortOut(near_);
    SortOut(far_);
    std::erase(near_, options_.self);
    std::erase_if(far_, [this](endpoint one) { return one == options_.self || Holds(near_, one); });
    std::erase_if(heard_, [this](endpoint one) { return Holds(near_, one) || Holds(far_, one); });
    next_heard_ = 0;
  }

  endpoint Draw(random_source& random) const {
    const bool near = !near_.empty() && random.Fraction() < options_.near_share;
    if (near || far_.size() + heard_.size() == 0) {
      return near_.empty() ? endpoint{} : near_[random.Below(near_.size())];
    }
    const std::size_t at = random.Below(far_.size() + heard_.size());
    return at < far_.size() ? far_[at] : heard_[at - far_.size()];
  }

  const options options_;
  std::map<std::string, service_peers, std::less<>> services_;
  endpoints near_;
  endpoints far_;
  endpoints heard_;
  std::size_t next_heard_ = 0;
};

gossip_peers::gossip_peers(options chosen) : state_(std::make_unique<state>(std::move(chosen))) {}

gossip_peers::~gossip_peers() = default;

void gossip_peers::UseList(std::string_view service,
                           std::span<const published_instance> instances) {
  state_->UseList(service, instances);
}

void gossip_peers::OnHeard(endpoint from) { state_->OnHeard(from); }

std::vector<endpoint> gossip_peers::Choose(std::size_t count, random_source& random) const {
  return state_->Choose(count, random);
}

std::size_t gossip_peers::size() const { return state_->size(); }

}  // namespace cuminferry
