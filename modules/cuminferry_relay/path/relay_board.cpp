#include "cuminferry_relay/path/relay_board.h"

#include <algorithm>
#include <utility>

namespace cuminferry {
namespace {

// Nodes accept a connection within a round trip. A node that doesn't is cut off, and this
// timeout leaves enough time to place the request elsewhere.
constexpr duration kPeerConnectLimit = std::chrono::milliseconds(300);
// TCP keep-alive times have a resolution of seconds; three seconds is the minimum that allows
// for two probes.
constexpr duration kPeerSilenceLimit = std::chrono::seconds(3);
// An idle connection to another node may be reused for this long. The accepting node keeps idle
// connections open for longer.
constexpr duration kMaxPeerIdleTime = std::chrono::seconds(60);

}  // namespace

relay_board::relay_board(event_loop& loop, relay_settings chosen)
    : loop(loop),
      settings(std::move(chosen)),
      random(random_source::FromMachine()),
      log(loop, settings.instance),
      repeats(settings.repeat_ratio, settings.repeat_allowance, settings.repeat_window),
      limits(settings.customers.limits, random.Fraction()) {}

void relay_board::SetTable(std::shared_ptr<const route_table> table) { table_ = std::move(table); }

void relay_board::SetInstances(const std::vector<service_instance>& instances) {
  const instant now = loop.Now();
  std::map<std::string, std::vector<published_target>> by_service;
  std::set<endpoint> peers;
  std::vector<coordinator_picker::node> listed_nodes;
  removed_ids_.merge(listed_ids_);
  removed_ids_.merge(draining_ids_);
  listed_ids_.clear();
  draining_ids_.clear();
  std::uint64_t own_revision = 0;
  std::uint32_t max_slots_of_service = 0;
  std::size_t targets_of_service = 0;
  for (const service_instance& found : instances) {
    removed_ids_.erase(found.id);
    const endpoint peer = PeerAddressOf(found.backend);
    if (peer != settings.peer) {
      peers.insert(peer);
    }
    if (found.backend == settings.backend && found.revision >= own_revision) {
      own_revision = found.revision;
      own_slots_ = found.slots;
    }
    if (found.service == settings.service) {
      max_slots_of_service = std::max(max_slots_of_service, found.slots);
      ++targets_of_service;
    }
    std::vector<published_target>& targets = by_service[found.service];
    if (found.draining) {
      draining_ids_.insert(found.id);
      continue;
    }
    listed_ids_.insert(found.id);
    listed_nodes.push_back({.backend = found.backend, .failure_domain = found.failure_domain});
    targets.push_back({.id = found.id,
                       .backend = found.backend,
                       .failure_domain = found.failure_domain,
                       .slots = found.slots,
                       .warmed_up_at = now + found.warm_up_time});
  }
  if (own_slots_ == 0) {
    // The own instance is not listed, or no longer: assume as many slots as the largest
    // instance of the service has.
    own_slots_ = max_slots_of_service;
  }
  for (auto& [service, picker] : pickers_) {
    by_service.try_emplace(service);
  }
  for (const auto& [service, targets] : by_service) {
    pickers_[service].SetTargets(targets);
  }
  limits.SetNodes(listed_nodes.size());
  coordinators.SetNodes(std::move(listed_nodes));
  tree_.Update(instances, settings.backend, settings.failure_domain);
  peers_.assign(peers.begin(), peers.end());
  std::erase_if(clients_, [&](const auto& item) {
    return !peers.contains(item.first) && item.first != settings.peer;
  });
  targets_of_service_ = targets_of_service;
  repeats.SetTargets(targets_of_service_);
}

target_picker& relay_board::PickerOf(const std::string& service) { return pickers_[service]; }

void relay_board::ApplyBounds(const relay_settings& changed) {
  settings.repeat_ratio = changed.repeat_ratio;
  settings.repeat_allowance = changed.repeat_allowance;
  settings.repeat_window = changed.repeat_window;
  settings.grace = changed.grace;
  settings.customers = changed.customers;
  limits.SetBounds(settings.customers.limits);
  repeats = repeat_budget(settings.repeat_ratio, settings.repeat_allowance, settings.repeat_window);
  repeats.SetTargets(targets_of_service_);
}

endpoint relay_board::PeerAddressOf(const endpoint& backend) const {
  return {.address = backend.address, .port = settings.peer.port};
}

http_client& relay_board::ClientFor(const endpoint& peer) {
  std::unique_ptr<http_client>& client = clients_[peer];
  if (!client) {
    client =
        std::make_unique<http_client>(loop, peer,
                                      http_client::options{.connect_timeout = kPeerConnectLimit,
                                                           .silence_timeout = kPeerSilenceLimit,
                                                           .idle_timeout = kMaxPeerIdleTime});
  }
  return *client;
}

}  // namespace cuminferry
