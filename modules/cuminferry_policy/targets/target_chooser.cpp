#include "cuminferry_policy/targets/target_chooser.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <map>
#include <vector>

namespace cuminferry {

class target_chooser::state {
 public:
  std::map<std::string, std::vector<target_info>, std::less<>> targets;
  std::map<endpoint, std::uint32_t> in_flight;
};

target_chooser::target_chooser(options /*chosen*/) : state_(std::make_unique<state>()) {}
target_chooser::~target_chooser() = default;

void target_chooser::UseTargets(std::string_view service, std::span<const target_info> targets,
                                instant /*now*/) {
  state_->targets[std::string(service)].assign(targets.begin(), targets.end());
}

void target_chooser::MarkLeaving(endpoint target, instant /*now*/) {
  for (auto& [service, list] : state_->targets) {
    for (target_info& info : list) {
      info.leaving = info.leaving || info.at == target;
    }
  }
}

void target_chooser::MarkReachable(endpoint /*target*/, instant /*now*/) {}

void target_chooser::OnSent(endpoint target, instant /*now*/) { ++state_->in_flight[target]; }

void target_chooser::OnEnded(endpoint target, target_outcome /*outcome*/,
                             const advertised_load& /*load*/, instant /*now*/) {
  --state_->in_flight[target];
}

std::optional<endpoint> target_chooser::Choose(std::string_view service,
                                               std::span<const endpoint> avoid, instant /*now*/,
                                               random_source& random) {
  const auto found = state_->targets.find(service);
  if (found == state_->targets.end()) {
    return std::nullopt;
  }
  std::vector<endpoint> eligible;
  for (const target_info& info : found->second) {
    const bool avoided = std::find(avoid.begin(), avoid.end(), info.at) != avoid.end();
    if (!info.leaving && !avoided) {
      eligible.push_back(info.at);
    }
  }
  if (eligible.empty()) {
    return std::nullopt;
  }
  const endpoint first = eligible[random.Below(eligible.size())];
  const endpoint second = eligible[random.Below(eligible.size())];
  return state_->in_flight[first] <= state_->in_flight[second] ? first : second;
}

std::size_t target_chooser::EligibleTargets(std::string_view service, instant /*now*/) const {
  const auto found = state_->targets.find(service);
  if (found == state_->targets.end()) {
    return 0;
  }
  return static_cast<std::size_t>(
      std::count_if(found->second.begin(), found->second.end(),
                    [](const target_info& info) { return !info.leaving; }));
}

}  // namespace cuminferry
