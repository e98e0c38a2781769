#include "cuminferry_node/runtime/call_router.h"

namespace cuminferry {

call_router::call_router(const node_settings& settings)
    : chooser_(lock_rank::kTargets,
               target_chooser::options{.failure_domain = settings.failure_domain,
                                       .region = settings.region,
                                       .identity = DigestOf(settings.instance)}),
      started_(boot_clock::Now()),
      ratios_(lock_rank::kRetries) {}

void call_router::UseTargets(std::string_view service, std::span<const target_info> targets) {
  chooser_.With(
      [&](chooser_state& state) { state.chooser.UseTargets(service, targets, boot_clock::Now()); });
}

void call_router::LearnTarget(const hello_message& hello) {
  const target_info target{hello.listen_address, hello.instance, hello.failure_domain, hello.region,
                           hello.load.draining != 0};
  chooser_.With([&](chooser_state& state) {
    const instant now = boot_clock::Now();
    state.chooser.LearnTarget(hello.service, target, now);
    state.chooser.MarkReachable(hello.listen_address, hello.incarnation, now);
  });
}

void call_router::MarkDraining(endpoint target, incarnation_id incarnation) {
  chooser_.With([&](chooser_state& state) {
    state.chooser.MarkDraining(target, incarnation, boot_clock::Now());
  });
}

void call_router::NoteProcessPause() {
  chooser_.With([&](chooser_state& state) { state.chooser.OnProcessPause(boot_clock::Now()); });
}

std::optional<endpoint> call_router::ChooseTarget(std::string_view service,
                                                  std::span<const endpoint> avoid) {
  return chooser_.With([&](chooser_state& state) {
    const instant now = boot_clock::Now();
    const auto chosen = state.chooser.Choose(service, avoid, now, state.random);
    if (chosen.has_value()) {
      state.chooser.OnSent(*chosen, now);
    }
    return chosen;
  });
}

void call_router::OnSent(endpoint target) {
  chooser_.With([&](chooser_state& state) { state.chooser.OnSent(target, boot_clock::Now()); });
}

void call_router::OnEnded(endpoint target, target_outcome outcome, const advertised_load& load) {
  chooser_.With([&](chooser_state& state) {
    state.chooser.OnEnded(target, outcome, load, boot_clock::Now());
  });
}

void call_router::OnLost(endpoint target, instant sent) {
  chooser_.With(
      [&](chooser_state& state) { state.chooser.OnLost(target, sent, boot_clock::Now()); });
}

void call_router::CountFirstAttempt(std::string_view row) {
  ratios_.With([&](auto& ratios) {
    auto found = ratios.find(row);
    if (found == ratios.end()) {
      found = ratios.emplace(std::string(row), retry_ratio(started_)).first;
    }
    found->second.OnFirstAttempt(boot_clock::Now());
  });
}

bool call_router::TakeRetry(std::string_view row) {
  return ratios_.With([&](auto& ratios) {
    const auto found = ratios.find(row);
    return found != ratios.end() && found->second.TakeOne(boot_clock::Now());
  });
}

}  // namespace cuminferry
