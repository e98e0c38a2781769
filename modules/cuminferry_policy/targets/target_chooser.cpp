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

  service_targets* MakeService(std::string_view name) {
    service_targets* found = FindService(name);
    if (found != nullptr || services_.size() >= kMostServices) {
      return found;
    }
    services_.push_back({std::string(name), std::make_unique<service_targets>(options_)});
    return services_.back().targets.get();
  }

  /** Runs an operation on every service's view of a target, and chooses the
      subset anew where the target came into or went out of choice. False where
      no service knows the target. */
  template <typename Operation>
  bool ForTarget(endpoint at, Operation&& operation) {
    bool known = false;
    for (const named_service& service : services_) {
      known_target* target = service.targets->Find(at);
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

  void MarkLeaving(endpoint at, incarnation_id incarnation, instant now) {
    const departed gone{at, incarnation, now};
    if (!ForTarget(at, [&](known_target& target) { Apply(gone, target); })) {
      Remember(gone);
    }
  }

  /** Tells targets that have just become known that they are leaving. */
  void ApplyDepartures() {
    std::erase_if(departed_, [&](const departed& gone) {
      return ForTarget(gone.at, [&](known_target& target) { Apply(gone, target); });
    });
  }

  void NoteOwnPause(instant now) {
    for (const named_service& service : services_) {
      for (const auto& [key, target] : service.targets->targets()) {
        target->NoteOwnPause(now);
      }
    }
  }

 private:
  struct named_service {
    std::string name;
    std::unique_ptr<service_targets> targets;
  };

  /** A target that left before any list or peer had named it. A lagging list
      that names it afterwards would bring it back, and calls would go to an
      instance that is stopping. */
  struct departed {
    endpoint at;
    incarnation_id incarnation;
    instant when;
  };
  static constexpr std::size_t kMostDeparted = 1024;

  static void Apply(const departed& gone, known_target& target) {
    if (gone.incarnation == 0) {
      target.NoteLeaving(gone.when);
    } else {
      target.NoteLeaving(gone.incarnation, gone.when);
    }
  }

  void Remember(const departed& gone) {
    std::erase_if(departed_, [&](const departed& old) {
      return old.at == gone.at || gone.when - old.when >= kLeavingMemory;
    });
    if (departed_.size() == kMostDeparted) {
      departed_.erase(departed_.begin());
    }
    departed_.push_back(gone);
  }

  const options options_;
  std::vector<named_service> services_;
  /** Oldest first. */
  std::vector<departed> departed_;
};

target_chooser::target_chooser(options chosen)
    : state_(std::make_unique<state>(std::move(chosen))) {}
target_chooser::~target_chooser() = default;

//==============================================================================
void target_chooser::UseTargets(std::string_view service, std::span<const target_info> targets,
                                instant now) {
  if (service_targets* found = state_->MakeService(service)) {
    found->UseList(targets, now);
    state_->ApplyDepartures();
  }
}

void target_chooser::LearnTarget(std::string_view service, const target_info& target, instant now) {
  service_targets* found = state_->MakeService(service);
  known_target* learned = found == nullptr ? nullptr : found->Learn(target);
  if (learned == nullptr) {
    return;
  }
  learned->NoteReachable(now);
  if (target.leaving) {
    learned->NoteLeaving(now);
  }
  found->ChooseSubset();
  state_->ApplyDepartures();
}

void target_chooser::MarkLeaving(endpoint target, instant now) {
  state_->MarkLeaving(target, 0, now);
}

void target_chooser::MarkLeaving(endpoint target, incarnation_id incarnation, instant now) {
  state_->MarkLeaving(target, incarnation, now);
}

void target_chooser::MarkReachable(endpoint target, instant now) {
  state_->ForTarget(target, [&](known_target& known) { known.NoteReachable(now); });
}

void target_chooser::MarkReachable(endpoint target, incarnation_id incarnation, instant now) {
  state_->ForTarget(target, [&](known_target& known) { known.NoteIncarnation(incarnation, now); });
}

void target_chooser::OnOwnPause(instant now) { state_->NoteOwnPause(now); }

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
  return chosen == nullptr ? std::nullopt : std::optional(chosen->at());
}

std::size_t target_chooser::EligibleTargets(std::string_view service, instant /*now*/) const {
  const service_targets* found = state_->FindService(service);
  return found == nullptr ? 0 : found->eligible();
}

std::vector<endpoint> target_chooser::Subset(std::string_view service) const {
  const service_targets* found = state_->FindService(service);
  return found == nullptr ? std::vector<endpoint>() : found->subset();
}

}  // namespace cuminferry
