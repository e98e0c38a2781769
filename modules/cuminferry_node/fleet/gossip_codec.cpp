#include "cuminferry_node/fleet/gossip_codec.h"

#include <utility>

namespace cuminferry {

gossip_message ToMessage(const gossip_digest& digest, hybrid_time sent) {
  gossip_message message;
  message.from = digest.from;
  message.incarnation = digest.incarnation;
  message.table_version = digest.table_version;
  message.fleet_size = digest.fleet_size;
  message.wants_answer = digest.wants_answer ? 1 : 0;
  message.sent = sent;
  message.shards.reserve(digest.versions.size());
  for (const value_version& one : digest.versions) {
    message.shards.push_back({one.name, one.version, one.digest});
  }
  return message;
}

gossip_digest FromMessage(gossip_message message) {
  gossip_digest digest;
  digest.from = message.from;
  digest.incarnation = message.incarnation;
  digest.table_version = message.table_version;
  digest.fleet_size = message.fleet_size;
  digest.wants_answer = message.wants_answer != 0;
  digest.versions.reserve(message.shards.size());
  for (shard_version& one : message.shards) {
    digest.versions.push_back({std::move(one.service), one.version, one.digest});
  }
  return digest;
}

}  // namespace cuminferry
