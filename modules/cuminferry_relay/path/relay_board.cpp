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
// Number of ids of removed instances, and of those that declared that they leave, that are
// remembered. Requests that were sent before are under way for seconds at most.
constexpr std::size_t kMaxRecentIds = 16'384;

}  // namespace

relay_board::relay_board(event_loop& loop, relay_settings chosen)
    : loop(loop),
      settings(std::move(chosen)),
      random(random_source::FromMachine()),
      log(loop, settings.instance),
      repeats(settings.repeat_bounds(), loop.Now()),
      limits(settings.customers.limits, random.Fraction()),
      removed_ids_(kMaxRecentIds),
      declared_leaving_(kMaxRecentIds) {}

void relay_board::SetTable(std::shared_ptr<const route_table> table) {
  table_ = std::move(table);
  if (table_ == nullptr) {
    return;
  }
  std::set<std::string_view> rows;
  for (const http_route& route : table_->routes()) {
    rows.insert(route.name);
  }
  metrics.KeepRows([&rows](std::string_view row) { return rows.contains(row); });
  DropUndeclaredServices();
  if (table_->customers() != nullptr) {
    weights.SetCustomers(table_->customers()->customers());
  }
}

// Edits may name other services for as long as a node runs.
void relay_board::DropUndeclaredServices() {
  const auto is_used = [this](const std::string& service) {
    const auto count = targets_by_service_.find(service);
    return service == settings.service || table_->FindService(service) != nullptr ||
           (count != targets_by_service_.end() && count->second.listed > 0);
  };
  std::erase_if(pickers_, [&](const auto& picker) { return !is_used(picker.first); });
  std::erase_if(targets_by_service_, [&](const auto& count) { return !is_used(count.first); });
}

void relay_board::AddPeerOf(const endpoint& backend) {
  const endpoint peer = PeerAddressOf(backend);
  if (++instances_by_peer_[peer] == 1 && peer != settings.peer) {
    peers_.insert(std::ranges::lower_bound(peers_, peer), peer);
  }
}

void relay_board::RemovePeerOf(const endpoint& backend) {
  const endpoint peer = PeerAddressOf(backend);
  const auto count = instances_by_peer_.find(peer);
  if (--count->second == 0) {
    instances_by_peer_.erase(count);
    std::erase(peers_, peer);
    clients_.erase(peer);
  }
}

void relay_board::AddInstance(const service_instance& added) {
  if (added.backend == settings.backend) {
    own_slots_ = added.slots;
  }
  CountTarget(added.service, true);
  removed_ids_.Erase(added.id);
  target_picker& picker = pickers_[added.service];
  if (added.draining) {
    draining_ids_.insert(added.id);
    coordinators.OnLeaving(added.backend);
    picker.RemoveTarget(added.id);
    return;
  }
  const auto leaving_run = declared_leaving_.RunOf(added.id);
  if (leaving_run && *leaving_run >= added.started_millis) {
    picker.RemoveTarget(added.id);
  } else {
    declared_leaving_.Erase(added.id);
    picker.SetTarget({.id = added.id,
                      .started_millis = added.started_millis,
                      .backend = added.backend,
                      .failure_domain = added.failure_domain,
                      .slots = added.slots,
                      .warmed_up_at = loop.Now() + added.warm_up_time});
  }
  coordinators.AddNode({.backend = added.backend, .failure_domain = added.failure_domain});
  tree_.Add(added.backend, added.failure_domain);
}

// @param is_same_target  the instance has changed, so that what the picker knows of it stays
void relay_board::RemoveInstance(const service_instance& removed, bool is_same_target) {
  CountTarget(removed.service, false);
  if (!is_same_target) {
    pickers_[removed.service].RemoveTarget(removed.id);
    removed_ids_.Insert(removed.id, removed.started_millis);
  }
  if (removed.draining) {
    draining_ids_.erase(removed.id);
    return;
  }
  coordinators.RemoveNode(removed.backend, loop.Now());
  tree_.Remove(removed.backend, removed.failure_domain);
}

std::int64_t relay_board::RunOf(std::string_view instance_id) const {
  const auto found = std::ranges::find_if(
      instances_, [instance_id](const auto& listed) { return listed.second.id == instance_id; });
  return found == instances_.end() ? removed_ids_.RunOf(instance_id).value_or(0)
                                   : found->second.started_millis;
}

bool relay_board::OnDeclaredLeaving(const std::string& service, std::string_view instance_id,
                                    std::int64_t started_millis) {
  const auto known = declared_leaving_.RunOf(instance_id);
  const bool is_known = known && *known >= started_millis;
  if (is_known || started_millis < RunOf(instance_id)) {
    return false;
  }
  declared_leaving_.Insert(instance_id, started_millis);
  pickers_[service].RemoveTarget(instance_id);
  return true;
}

void relay_board::DropUnlistedClients() {
  for (const endpoint& peer : std::exchange(unlisted_clients_, {})) {
    if (!instances_by_peer_.contains(peer) && peer != settings.peer) {
      clients_.erase(peer);
    }
  }
}

void relay_board::ApplyInstances(const std::vector<address_change>& changes) {
  // All removals come first: an instance that moved to another address is removed at one and added
  // at the other.
  std::vector<const address_change*> effective;
  for (const address_change& change : changes) {
    const auto known = instances_.find(change.backend);
    if (known == instances_.end()) {
      if (change.instance) {
        AddPeerOf(change.backend);
        effective.push_back(&change);
      }
      continue;
    }
    const service_instance before = known->second;
    if (change.instance == before) {
      continue;
    }
    effective.push_back(&change);
    const bool is_same_target = change.instance && change.instance->id == before.id &&
                                change.instance->service == before.service;
    RemoveInstance(before, is_same_target);
    if (!change.instance) {
      instances_.erase(known);
      RemovePeerOf(change.backend);
    }
  }
  for (const address_change* change : effective) {
    if (change->instance) {
      AddInstance(*change->instance);
      instances_.insert_or_assign(change->backend, *change->instance);
    }
  }
  DropUnlistedClients();
  if (own_slots_ == 0) {
    // The own instance is not listed, or no longer: assume as many slots as the largest
    // instance of the service has.
    for (const auto& [backend, instance] : instances_) {
      own_slots_ =
          instance.service == settings.service ? std::max(own_slots_, instance.slots) : own_slots_;
    }
  }
  limits.SetNodes(coordinators.CountAt(loop.Now()));
  position_ = tree_.PositionOf(settings.backend, settings.failure_domain);
  // An instance whose own entry is missing takes part as well.
  const std::size_t unlisted = OwnInstance() == nullptr ? 1 : 0;
  repeats.SetTargets(targets_by_service_[settings.service].listed + unlisted, loop.Now());
}

void relay_board::CountTarget(const std::string& service, bool is_listed) {
  target_count& count = targets_by_service_[service];
  if (is_listed) {
    ++count.listed;
  } else {
    --count.listed;
  }
  count.largest.Set(count.listed, loop.Now());
}

std::size_t relay_board::KnownTargetsOf(const std::string& service) {
  const auto found = targets_by_service_.find(service);
  return found == targets_by_service_.end() ? 0 : found->second.largest.ValueAt(loop.Now());
}

const service_instance* relay_board::OwnInstance() const {
  const auto own = instances_.find(settings.backend);
  return own == instances_.end() ? nullptr : &own->second;
}

bool relay_board::HasOtherTargets() const {
  return std::ranges::any_of(instances_, [this](const auto& known) {
    const service_instance& instance = known.second;
    return instance.service == settings.service && instance.backend != settings.backend &&
           !instance.draining && !HasDeclaredLeaving(instance.id) && !unlisted_since(instance.id);
  });
}

target_picker& relay_board::PickerOf(const std::string& service) { return pickers_[service]; }

void relay_board::ApplyBounds(const relay_settings& changed) {
  settings.repeat_ratio = changed.repeat_ratio;
  settings.repeat_allowance = changed.repeat_allowance;
  settings.repeat_window = changed.repeat_window;
  settings.grace = changed.grace;
  settings.customers = changed.customers;
  settings.drain = changed.drain;
  settings.order = changed.order;
  settings.customer_shares = changed.customer_shares;
  limits.SetBounds(settings.customers.limits);
  repeats.SetBounds(settings.repeat_bounds(), loop.Now());
}

endpoint relay_board::PeerAddressOf(const endpoint& backend) const {
  return {.address = backend.address, .port = settings.peer.port};
}

http_client& relay_board::ClientFor(const endpoint& peer) {
  std::unique_ptr<http_client>& client = clients_[peer];
  if (!client) {
    if (!instances_by_peer_.contains(peer)) {
      unlisted_clients_.insert(peer);
    }
    client = std::make_unique<http_client>(
        loop, peer,
        http_client::options{.connect_timeout = kPeerConnectLimit,
                             .silence_timeout = kPeerSilenceLimit,
                             .idle_timeout = kMaxPeerIdleTime,
                             .on_invalid = [this](const invalid_answer& invalid) {
                               OnInvalidAnswer("peer", invalid);
                             }});
  }
  return *client;
}

void relay_board::OnInvalidAnswer(std::string_view from, const invalid_answer& invalid) {
  metrics.OnInvalidAnswer(from, invalid.problem);
  if (log.TryReserveLine(decision_log::line_kind::kNotable)) {
    log.LogRequest("answer.invalid", {{"from", from},
                                      {"at", invalid.server.ToString()},
                                      {"id", invalid.request_id},
                                      {"problem", invalid.problem},
                                      {"connection", invalid.connection.number},
                                      {"carried", invalid.connection.requests_before}});
  }
}

}  // namespace cuminferry
