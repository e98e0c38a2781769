#include "cuminferry_fleet/tables/first_copies.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace cuminferry {
namespace {

constexpr std::chrono::seconds kLongestHold{2};

struct awaited_copy {
  std::optional<table_shard> held;
  instant until;
};

bool IsNewest(const table_shard& shard, const version_directory& directory) {
  const value_version* const known = directory.Find(shard.service.name);
  return known == nullptr || known->version <= shard.version;
}

}  // namespace

class first_copies::state {
 public:
  std::map<std::string, awaited_copy, std::less<>> awaited_;
};

first_copies::first_copies() : state_(std::make_unique<state>()) {}

first_copies::~first_copies() = default;

void first_copies::Follow(std::string_view service, instant now) {
  state_->awaited_[std::string(service)].until = now + kLongestHold;
}

bool first_copies::Awaits(std::string_view service) const {
  return state_->awaited_.contains(service);
}

void first_copies::Hold(table_shard shard) {
  const auto found = state_->awaited_.find(shard.service.name);
  if (found != state_->awaited_.end()) {
    found->second.held = std::move(shard);
  }
}

std::vector<table_shard> first_copies::Release(const version_directory& directory,
                                               bool heard_a_peer, instant now) {
  std::vector<table_shard> released;
  std::erase_if(state_->awaited_, [&](const auto& entry) {
    const awaited_copy& copy = entry.second;
    const bool ready = copy.held.has_value() &&
                       (now >= copy.until || (heard_a_peer && IsNewest(*copy.held, directory)));
    if (ready) {
      released.push_back(*copy.held);
    }
    return ready;
  });
  return released;
}

}  // namespace cuminferry
