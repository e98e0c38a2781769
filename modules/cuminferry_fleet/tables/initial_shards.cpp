#include "cuminferry_fleet/tables/initial_shards.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace cuminferry {
namespace {

constexpr std::chrono::seconds kMaxHold{2};

struct awaited_shard {
  std::optional<table_shard> held;
  instant until;
};

bool IsNewest(const table_shard& shard, const version_directory& directory) {
  const value_version* const known = directory.Find(shard.service.name);
  return known == nullptr || known->version <= shard.version;
}

}  // namespace

class initial_shards::state {
 public:
  std::map<std::string, awaited_shard, std::less<>> awaited_;
};

initial_shards::initial_shards() : state_(std::make_unique<state>()) {}

initial_shards::~initial_shards() = default;

void initial_shards::Follow(std::string_view service, instant now) {
  state_->awaited_[std::string(service)].until = now + kMaxHold;
}

bool initial_shards::Awaits(std::string_view service) const {
  return state_->awaited_.contains(service);
}

void initial_shards::Hold(table_shard shard) {
  const auto found = state_->awaited_.find(shard.service.name);
  if (found != state_->awaited_.end()) {
    found->second.held = std::move(shard);
  }
}

std::vector<table_shard> initial_shards::Release(const version_directory& directory,
                                                 bool has_received_digest, instant now) {
  std::vector<table_shard> released;
  std::erase_if(state_->awaited_, [&](const auto& entry) {
    const awaited_shard& awaited = entry.second;
    const bool ready =
        awaited.held.has_value() &&
        (now >= awaited.until || (has_received_digest && IsNewest(*awaited.held, directory)));
    if (ready) {
      released.push_back(*awaited.held);
    }
    return ready;
  });
  return released;
}

}  // namespace cuminferry
