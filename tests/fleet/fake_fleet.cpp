#include "fleet/fake_fleet.h"

#include <algorithm>

namespace cuminferry::testing {
namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t kFirstAddress = 0x0A000001;
constexpr std::uint16_t kPort = 9000;
constexpr std::size_t kDatagramHeaderBytes = 80;
constexpr std::size_t kBytesPerVersion = 24;

table_shard ShardOf(const std::string& service, std::size_t domains) {
  table_shard shard;
  shard.service.name = service;
  shard.service.slots = 16;
  shard.service.connections = 100;
  for (std::size_t domain = 0; domain < domains; ++domain) {
    shard.service.domains.push_back({"domain-" + std::to_string(domain), 1});
  }
  request_row row;
  row.name = service + "-row";
  row.service = service;
  row.method = "GET";
  row.path_pattern = "/" + service;
  row.weight = 10;
  shard.rows.push_back(row);
  return shard;
}

}  // namespace

fake_fleet::fake_fleet(shape chosen)
    : shape_(chosen),
      random_(chosen.seed),
      now_(std::chrono::hours(24)),
      nodes_(chosen.nodes),
      partitions_(chosen.domains),
      cut_from_platform_(chosen.domains),
      list_versions_(chosen.services) {
  for (std::size_t service = 0; service < shape_.services; ++service) {
    shards_.push_back(ShardOf(Service(service), shape_.domains));
    PublishInstances(service, {});
  }
  for (std::size_t service = 0; service < shape_.services; ++service) {
    Edit(service);
  }
  for (std::size_t node = 0; node < nodes_.size(); ++node) {
    Start(node);
  }
}

fake_fleet::~fake_fleet() = default;

//==============================================================================
void fake_fleet::Edit(std::size_t service) {
  table_shard& shard = shards_[service];
  shard.version = ++table_version_;
  shard.rows.front().weight = static_cast<std::uint16_t>(table_version_ % 10'000);
  digests_[Service(service)] = ShardDigest(shard);
  Publish(Service(service), ShardToJson(shard));
  PublishIndex();
}

void fake_fleet::EditInvalid(std::size_t service) {
  table_shard broken = shards_[service];
  broken.version = ++table_version_;
  broken.rows.front().path_pattern = "no slash {";
  const std::string text = ShardToJson(broken);
  digests_[Service(service)] = DigestOf(text);
  Publish(Service(service), text);
  std::swap(broken.version, shards_[service].version);
  PublishIndex();
  std::swap(broken.version, shards_[service].version);
}

void fake_fleet::EditWithConflict(std::size_t service) {
  table_shard other = shards_[service];
  other.rows.front().weight = 9'999;
  digests_[Service(service)] = ShardDigest(other);
  Publish(Service(service), ShardToJson(other));
  PublishIndex();
}

void fake_fleet::PublishInstances(std::size_t service, const std::vector<std::size_t>& draining) {
  published_instances list;
  list.service = Service(service);
  list.version = ++list_versions_[service];
  for (std::size_t node = 0; node < nodes_.size(); ++node) {
    if (ServiceOfNode(node) == service) {
      const std::size_t domain = node % shape_.domains;
      list.instances.push_back(
          {.instance = "instance-" + std::to_string(node),
           .failure_domain = "domain-" + std::to_string(domain),
           .region = "region-" + std::to_string(domain % shape_.regions),
           .peer = AddressOf(node),
           .target_slot = 0,
           .draining = std::find(draining.begin(), draining.end(), node) != draining.end()});
    }
  }
  Publish(InstancesName(list.service), list.ToJson());
}

void fake_fleet::Publish(const std::string& name, std::string text) {
  published_[name].push_back(std::move(text));
  std::vector<std::uint64_t> ended;
  for (const auto& [number, watch] : watches_) {
    if (watch.name == name) {
      ended.push_back(number);
    }
  }
  std::for_each(ended.begin(), ended.end(), [this](std::uint64_t number) { EndWatch(number); });
}

void fake_fleet::PublishIndex() {
  published_index index;
  index.version = table_version_;
  index.fleet_size = static_cast<std::uint32_t>(nodes_.size());
  for (const table_shard& shard : shards_) {
    if (shard.version > 0) {
      index.shards.push_back({shard.service.name, shard.version, digests_[shard.service.name]});
    }
  }
  Publish(kIndexName, index.ToJson());
}

//==============================================================================
void fake_fleet::MoveDomain(std::size_t domain, int partition) { partitions_[domain] = partition; }

void fake_fleet::CutFromPlatform(std::size_t domain, bool cut) { cut_from_platform_[domain] = cut; }

void fake_fleet::Pause(std::size_t node, duration length) {
  nodes_[node].paused_until = now_ + length;
}

void fake_fleet::Restart(std::size_t node) {
  nodes_[node].in_force.clear();
  Start(node);
}

void fake_fleet::Start(std::size_t node) {
  fake_node& starting = nodes_[node];
  starting.incarnation = random_.Next();
  const std::size_t domain = node % shape_.domains;
  fleet_agent::options options{.instance = "instance-" + std::to_string(node),
                               .service = Service(ServiceOfNode(node)),
                               .failure_domain = "domain-" + std::to_string(domain),
                               .region = "region-" + std::to_string(domain % shape_.regions),
                               .self = AddressOf(node),
                               .incarnation = starting.incarnation,
                               .seeds = {AddressOf((node + shape_.domains) % nodes_.size())},
                               .reads = {}};
  starting.agent =
      std::make_unique<fleet_agent>(std::move(options), now_, random_source(random_.Next()));
  starting.agent->Follow(Service((ServiceOfNode(node) + 1) % shape_.services), now_);
  starting.next_tick = now_;
  Schedule(now_, node, [](fleet_agent&) {});
}

//==============================================================================
void fake_fleet::Run(duration length) {
  RunUntil([] { return false; }, length);
}

std::optional<duration> fake_fleet::RunUntil(const std::function<bool()>& condition,
                                             duration longest) {
  const instant begun = now_;
  instant next_check = now_;
  while (!events_.empty() && events_.top().at <= begun + longest) {
    // A check of all nodes after each event would take most of the run time.
    if (now_ >= next_check) {
      next_check = now_ + milliseconds(10);
      if (condition()) {
        return now_ - begun;
      }
    }
    Step();
  }
  now_ = begun + longest;
  return condition() ? std::optional(now_ - begun) : std::nullopt;
}

void fake_fleet::Schedule(instant when, std::size_t node, std::function<void(fleet_agent&)> run) {
  events_.push({when, next_number_++, node, nodes_[node].incarnation, std::move(run)});
}

void fake_fleet::Step() {
  event next = events_.top();
  events_.pop();
  fake_node& node = nodes_[next.node];
  if (next.incarnation != node.incarnation) {
    return;
  }
  now_ = std::max(now_, next.at);
  if (node.paused_until > now_) {
    next.at = node.paused_until;
    events_.push(std::move(next));
    return;
  }
  if (next.run) {
    next.run(*node.agent);
  } else if (next.at < node.next_tick) {
    return;  // A tick that a later one replaced.
  }
  node.agent->OnTick(now_);
  Perform(next.node);
  node.next_tick = std::max(node.agent->next_due(now_), now_ + milliseconds(1));
  Schedule(node.next_tick, next.node, {});
}

void fake_fleet::Perform(std::size_t node) {
  fleet_actions actions = nodes_[node].agent->TakeActions();
  for (const table_shard& shard : actions.in_force) {
    PutInForce(node, shard.service.name, shard.version);
  }
  std::move(actions.events.begin(), actions.events.end(), std::back_inserter(nodes_[node].events));
  for (const outgoing_digest& digest : actions.digests) {
    SendDigest(node, digest);
  }
  const endpoint self = AddressOf(node);
  for (const content_request& request : actions.requests) {
    SendContent(node, request.to, kDatagramHeaderBytes, [this, request, self](fleet_agent& to) {
      to.OnContentRequest(request, self, now_);
    });
  }
  for (const content_reply& reply : actions.replies) {
    SendContent(node, reply.to, kDatagramHeaderBytes + reply.text.size(),
                [this, reply, self](fleet_agent& to) {
                  ApplyDefect(reply.to.address - kFirstAddress, reply.text);
                  to.OnContentReply(reply, self, now_);
                });
  }
  if (actions.platform_read.has_value()) {
    ReadPlatform(node, *actions.platform_read);
  }
  if (actions.platform_watch.has_value()) {
    WatchPlatform(node, *actions.platform_watch);
  }
}

void fake_fleet::PutInForce(std::size_t node, const std::string& service, std::uint64_t version) {
  std::uint64_t& in_force = nodes_[node].in_force[service];
  reverts_ += version < in_force ? 1 : 0;
  in_force = version;
  if (service == Service(ServiceOfNode(node))) {
    nodes_[node].history.push_back(version);
  }
}

void fake_fleet::ApplyDefect(std::size_t node, const std::string& text) {
  if (shape_.defect != node_defect::kAcceptsAnyVersion) {
    return;
  }
  const auto shard = ParseShard(text);
  if (shard.ok()) {
    PutInForce(node, shard->service.name, shard->version);
  }
}

void fake_fleet::SendDigest(std::size_t from, const outgoing_digest& digest) {
  ++datagrams_;
  peer_bytes_ += kDatagramHeaderBytes;
  for (const value_version& one : digest.digest.versions) {
    peer_bytes_ += one.name.size() + kBytesPerVersion;
  }
  const std::size_t to = digest.to.address - kFirstAddress;
  const int copies = random_.Fraction() < active_faults.duplication ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    const bool lost = random_.Fraction() < active_faults.loss;
    if (!lost && CanReach(from, to) && shape_.defect != node_defect::kIgnoresPeers) {
      Schedule(now_ + Delay(), to, [this, received = digest.digest](fleet_agent& agent) {
        agent.OnDigest(received, now_);
      });
    }
  }
}

void fake_fleet::SendContent(std::size_t from, endpoint to, std::size_t bytes,
                             std::function<void(fleet_agent&)> run) {
  const std::size_t target = to.address - kFirstAddress;
  peer_bytes_ += bytes;
  if (CanReach(from, target)) {
    Schedule(now_ + Delay(), target, std::move(run));
  }
}

void fake_fleet::ReadPlatform(std::size_t node, const std::string& name) {
  const bool within_rate = CountRead();
  read_outcome outcome = read_outcome::kValue;
  std::string text;
  if (active_faults.platform_down || cut_from_platform_[node % shape_.domains]) {
    outcome = read_outcome::kUnreachable;
  } else if (!within_rate) {
    outcome = read_outcome::kRefused;
  } else {
    text = ValueOf(name);
    outcome = text.empty() ? read_outcome::kNoSuchKey : read_outcome::kValue;
  }
  ApplyDefect(node, text);
  const bool once = shape_.defect == node_defect::kIgnoresPeers && ++nodes_[node].reads > 8;
  if (!once) {
    Schedule(now_ + milliseconds(3), node, [this, name, outcome, text](fleet_agent& agent) {
      agent.OnPlatformRead(name, outcome, text, now_);
    });
  }
}

bool fake_fleet::CountRead() {
  ++platform_reads_;
  const std::int64_t second = ToMicros(now_) / 1'000'000;
  reads_this_second_ = second == this_second_ ? reads_this_second_ + 1 : 1;
  this_second_ = second;
  platform_peak_ = std::max(platform_peak_, reads_this_second_);
  const bool within_rate =
      static_cast<double>(reads_this_second_) <= active_faults.platform_reads_per_second;
  platform_refused_ += within_rate ? 0 : 1;
  return within_rate;
}

void fake_fleet::WatchPlatform(std::size_t node, const std::string& name) {
  CountRead();
  const std::uint64_t number = next_watch_++;
  watches_[number] = {node, name};
  events_.push({now_ + std::chrono::seconds(10), next_number_++, node, nodes_[node].incarnation,
                [this, number](fleet_agent&) { EndWatch(number); }});
}

void fake_fleet::EndWatch(std::uint64_t number) {
  const auto found = watches_.find(number);
  if (found == watches_.end()) {
    return;
  }
  const waiting_watch watch = found->second;
  watches_.erase(found);
  const bool cut = active_faults.platform_down || cut_from_platform_[watch.node % shape_.domains];
  const read_outcome outcome = cut ? read_outcome::kUnreachable : read_outcome::kValue;
  Schedule(now_ + milliseconds(3), watch.node,
           [this, watch, outcome, text = cut ? std::string() : ValueOf(watch.name)](
               fleet_agent& agent) { agent.OnPlatformWatched(watch.name, outcome, text, now_); });
}

std::string fake_fleet::ValueOf(const std::string& name) {
  const std::vector<std::string>& versions = published_[name];
  if (versions.empty()) {
    return {};
  }
  const bool old = random_.Fraction() < active_faults.stale_read_share;
  return old ? versions[random_.Below(versions.size())] : versions.back();
}

//==============================================================================
endpoint fake_fleet::AddressOf(std::size_t node) const {
  return {kFirstAddress + static_cast<std::uint32_t>(node), kPort};
}

std::size_t fake_fleet::ServiceOfNode(std::size_t node) const {
  return (node / shape_.domains) % shape_.services;
}

bool fake_fleet::Converged() const {
  for (std::size_t node = 0; node < nodes_.size(); ++node) {
    const std::size_t own = ServiceOfNode(node);
    for (const std::size_t service : {own, (own + 1) % shape_.services}) {
      const auto found = nodes_[node].in_force.find(Service(service));
      if (found == nodes_[node].in_force.end() || found->second != shards_[service].version) {
        return false;
      }
    }
  }
  return true;
}

bool fake_fleet::CanReach(std::size_t one, std::size_t other) const {
  return other < nodes_.size() &&
         partitions_[one % shape_.domains] == partitions_[other % shape_.domains];
}

duration fake_fleet::Delay() {
  return duration(1 + static_cast<std::int64_t>(random_.Below(
                          static_cast<std::uint64_t>(active_faults.longest_delay.count()))));
}

}  // namespace cuminferry::testing
