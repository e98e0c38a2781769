#include "cuminferry_fleet/tables/waiting_requests.h"

#include <functional>
#include <map>
#include <string>

namespace cuminferry {
namespace {

constexpr std::chrono::seconds kMaxWait{2};

struct waiting_peer {
  endpoint from;
  instant until;
};

}  // namespace

class waiting_requests::state {
 public:
  std::map<std::string, std::vector<waiting_peer>, std::less<>> waiting_;
};

waiting_requests::waiting_requests() : state_(std::make_unique<state>()) {}

waiting_requests::~waiting_requests() = default;

bool waiting_requests::Add(std::string_view name, endpoint from, instant now) {
  std::vector<waiting_peer>& peers = state_->waiting_[std::string(name)];
  if (peers.size() >= kMaxPerValue) {
    return false;
  }
  peers.push_back({from, now + kMaxWait});
  return true;
}

std::vector<endpoint> waiting_requests::Take(std::string_view name) {
  std::vector<endpoint> taken;
  const auto found = state_->waiting_.find(name);
  if (found == state_->waiting_.end()) {
    return taken;
  }
  for (const waiting_peer& peer : found->second) {
    taken.push_back(peer.from);
  }
  state_->waiting_.erase(found);
  return taken;
}

void waiting_requests::OnTick(instant now) {
  for (auto& [name, peers] : state_->waiting_) {
    std::erase_if(peers, [now](const waiting_peer& peer) { return peer.until < now; });
  }
}

}  // namespace cuminferry
