#include "cuminferry_fleet/members/gossip_peers.h"

#include <algorithm>
#include <functional>
#include <map>

namespace cuminferry {
namespace {

using endpoints = std::vector<endpoint>;

void SortUnique(endpoints& list) {
  std::sort(list.begin(), list.end());
  list.erase(std::unique(list.begin(), list.end()), list.end());
}

bool Contains(const endpoints& sorted, endpoint one) {
  return std::binary_search(sorted.begin(), sorted.end(), one);
}

}  // namespace

class gossip_peers::state {
 public:
  explicit state(options chosen) : options_(std::move(chosen)) { Rebuild(); }

  void UpdateList(std::string_view service, std::span<const published_instance> instances) {
    service_peers& peers = services_[std::string(service)];
    peers = {};
    for (const published_instance& one : instances.first(std::min(instances.size(), kMaxListed))) {
      const bool same_domain = one.failure_domain == options_.failure_domain;
      (same_domain ? peers.same_domain : peers.other_domains).push_back(one.peer);
    }
    Rebuild();
  }

  void OnReceived(endpoint from) {
    if (from == options_.self || Contains(same_domain_, from) || Contains(other_domains_, from) ||
        std::find(senders_.begin(), senders_.end(), from) != senders_.end()) {
      return;
    }
    if (senders_.size() < kMaxUnlistedSenders) {
      senders_.push_back(from);
      return;
    }
    senders_[next_sender_] = from;
    next_sender_ = (next_sender_ + 1) % kMaxUnlistedSenders;
  }

  endpoints Choose(std::size_t count, random_source& random) const {
    endpoints chosen;
    // A draw may repeat a peer, so the draws are limited to twice the count. The result may
    // be short of peers; the next round draws again.
    for (std::size_t left = 2 * count; left > 0 && chosen.size() < count; --left) {
      const endpoint one = Draw(random);
      if (one.port != 0 && std::find(chosen.begin(), chosen.end(), one) == chosen.end()) {
        chosen.push_back(one);
      }
    }
    return chosen;
  }

  std::size_t size() const { return same_domain_.size() + other_domains_.size() + senders_.size(); }

 private:
  struct service_peers {
    endpoints same_domain;
    endpoints other_domains;
  };

  void Rebuild() {
    same_domain_.clear();
    other_domains_ = options_.seeds;
    for (const auto& [service, peers] : services_) {
      same_domain_.insert(same_domain_.end(), peers.same_domain.begin(), peers.same_domain.end());
      other_domains_.insert(other_domains_.end(), peers.other_domains.begin(),
                            peers.other_domains.end());
    }
    SortUnique(same_domain_);
    SortUnique(other_domains_);
    std::erase(same_domain_, options_.self);
    std::erase_if(other_domains_, [this](endpoint one) {
      return one == options_.self || Contains(same_domain_, one);
    });
    std::erase_if(senders_, [this](endpoint one) {
      return Contains(same_domain_, one) || Contains(other_domains_, one);
    });
    next_sender_ = 0;
  }

  endpoint Draw(random_source& random) const {
    const bool same_domain =
        !same_domain_.empty() && random.Fraction() < options_.same_domain_share;
    if (same_domain || other_domains_.size() + senders_.size() == 0) {
      return same_domain_.empty() ? endpoint{} : same_domain_[random.Below(same_domain_.size())];
    }
    const std::size_t at = random.Below(other_domains_.size() + senders_.size());
    return at < other_domains_.size() ? other_domains_[at] : senders_[at - other_domains_.size()];
  }

  const options options_;
  std::map<std::string, service_peers, std::less<>> services_;
  endpoints same_domain_;
  endpoints other_domains_;
  endpoints senders_;
  std::size_t next_sender_ = 0;
};

gossip_peers::gossip_peers(options chosen) : state_(std::make_unique<state>(std::move(chosen))) {}

gossip_peers::~gossip_peers() = default;

void gossip_peers::UpdateList(std::string_view service,
                              std::span<const published_instance> instances) {
  state_->UpdateList(service, instances);
}

void gossip_peers::OnReceived(endpoint from) { state_->OnReceived(from); }

std::vector<endpoint> gossip_peers::Choose(std::size_t count, random_source& random) const {
  return state_->Choose(count, random);
}

std::size_t gossip_peers::size() const { return state_->size(); }

}  // namespace cuminferry
