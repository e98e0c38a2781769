#include "cuminferry_policy/targets/target_chooser.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <utility>

#include "cuminferry_policy/targets/service_targets.h"

namespace cuminferry {

class target_chooser::state {
 public:
  explicit state(options chosen) : options_(std::move(chosen)) {}

  service_targets* FindService(std::string_view name) {
    const auto found = std::ranges::find(services_, name, &named_service::name);
    return found == services_.end() ? nullptr : found->targets.get();
  }

  service_targets* FindOrAddService(std::string_view name) {
    service_targets* found = FindService(name);
    if (found != nullptr || services_.size() >= kMaxServices) {
      return found;
    }
    services_.push_back({std::string(name), std::make_unique<service_targets>(options_)});
    return services_.back().targets.get();
  }

  /** Runs an operation on every service's record of a target, and chooses the service's subset
      again if the target became eligible or ceased to be. Returns false if no service knows the
      target. */
  template <typename Operation>
  bool ForTarget(endpoint address, Operation&& operation) {
    bool known = false;
    for (const named_service& service : services_) {
      known_target* target = service.targets->Find(address);
      if (target == nullptr) {
        continue;
      }
      known = true;
      const bool eligible = target->eligible();
      operation(*target);
      if (target->eligible() != eligible) {
        service.targets->ChooseSubset();
      }
    }
    return known;
  }

  void MarkDraining(endpoint address, incarnation_id incarnation, instant now) {
    const draining_notice notice{address, incarnation, now};
    if (!ForTarget(address, [&](known_target& target) { Apply(notice, target); })) {
      StoreNotice(notice);
    }
  }

  /** Marks targets that have just become known as draining if a stored notice says so. */
  void ApplyPendingNotices() {
    std::erase_if(pending_notices_, [&](const draining_notice& notice) {
      return ForTarget(notice.address, [&](known_target& target) { Apply(notice, target); });
    });
  }

  void NoteProcessPause(instant now) {
    for (const named_service& service : services_) {
      for (const auto& [key, target] : service.targets->targets()) {
        target->NoteProcessPause(now);
      }
    }
  }

 private:
  struct named_service {
    std::string name;
    std::unique_ptr<service_targets> targets;
  };

  /** A draining notice for a target that no list or peer has named yet. If it were dropped, a
      lagging list that names the target later would send calls to an instance that is stopping. */
  struct draining_notice {
    endpoint address;
    incarnation_id incarnation;
    instant noted_at;
  };
  static constexpr std::size_t kMaxPendingNotices = 1024;

  static void Apply(const draining_notice& notice, known_target& target) {
    if (notice.incarnation == 0) {
      target.NoteDraining(notice.noted_at);
    } else {
      target.NoteDraining(notice.incarnation, notice.noted_at);
    }
  }

  void StoreNotice(const draining_notice& notice) {
    std::erase_if(pending_notices_, [&](const draining_notice& stored) {
      return stored.address == notice.address ||
             notice.noted_at - stored.noted_at >= kDrainingRetention;
    });
    if (pending_notices_.size() == kMaxPendingNotices) {
      pending_notices_.erase(pending_notices_.begin());
    }
    pending_notices_.push_back(notice);
  }

  const options options_;
  std::vector<named_service> services_;
  /** Ordered from the oldest to the newest. */
  std::vector<draining_notice> pending_notices_;
};

target_chooser::target_chooser(options chosen)
    : state_(std::make_unique<state>(std::move(chosen))) {}
target_chooser::~target_chooser() = default;

//==============================================================================
void target_chooser::UseTargets(std::string_view service, std::span<const target_info> targets,
                                instant now) {
  if (service_targets* found = state_->FindOrAddService(service)) {
    found->UseList(targets, now);
    state_->ApplyPendingNotices();
  }
}

void target_chooser::LearnTarget(std::string_view service, const target_info& target, instant now) {
  service_targets* found = state_->FindOrAddService(service);
  known_target* learned = found == nullptr ? nullptr : found->FindOrAdd(target);
  if (learned == nullptr) {
    return;
  }
  learned->NoteReachable(now);
  if (target.draining) {
    learned->NoteDraining(now);
  }
  found->ChooseSubset();
  state_->ApplyPendingNotices();
}

void target_chooser::MarkDraining(endpoint target, instant now) {
  state_->MarkDraining(target, 0, now);
}

void target_chooser::MarkDraining(endpoint target, incarnation_id incarnation, instant now) {
  state_->MarkDraining(target, incarnation, now);
}

void target_chooser::MarkReachable(endpoint target, instant now) {
  state_->ForTarget(target, [&](known_target& known) { known.NoteReachable(now); });
}

void target_chooser::MarkReachable(endpoint target, incarnation_id incarnation, instant now) {
  state_->ForTarget(target, [&](known_target& known) { known.NoteIncarnation(incarnation, now); });
}

void target_chooser::OnProcessPause(instant now) { state_->NoteProcessPause(now); }

void target_chooser::OnSent(endpoint target, instant /*now*/) {
  state_->ForTarget(target, [](known_target& known) { known.NoteSent(); });
}

void target_chooser::OnEnded(endpoint target, target_outcome outcome, const advertised_load& load,
                             instant now) {
  state_->ForTarget(target, [&](known_target& known) { known.NoteEnded(outcome, load, now); });
}

void target_chooser::OnLost(endpoint target, instant sent, instant now) {
  state_->ForTarget(target, [&](known_target& known) { known.NoteLost(sent, now); });
}

//==============================================================================
std::optional<endpoint> target_chooser::Choose(std::string_view service,
                                               std::span<const endpoint> avoid, instant now,
                                               random_source& random) {
  service_targets* found = state_->FindService(service);
  const known_target* chosen = found == nullptr ? nullptr : found->Choose(avoid, now, random);
  return chosen == nullptr ? std::nullopt : std::optional(chosen->address());
}

std::size_t target_chooser::CountEligible(std::string_view service, instant /*now*/) const {
  const service_targets* found = state_->FindService(service);
  return found == nullptr ? 0 : found->eligible();
}

std::vector<endpoint> target_chooser::Subset(std::string_view service) const {
  const service_targets* found = state_->FindService(service);
  return found == nullptr ? std::vector<endpoint>() : found->subset();
}

}  // namespace cuminferry
