#include "soak/soak_plan.h"

#include <algorithm>
#include <array>

namespace cuminferry::testing {
namespace {

using std::chrono::milliseconds;

constexpr std::array kNames{"kill",           "kill-all",      "pause",        "delay",
                            "reset",          "silence",       "cut-to-node",  "cut-from-node",
                            "cut-off",        "store-cut",     "store-reset",  "store-down",
                            "store-silent",   "store-forgets", "target-slow",  "target-loses",
                            "target-damages", "target-sheds",  "target-crash", "stop",
                            "reload",         "edit",          "edits",        "replace",
                            "burst",          "store-returns", "crashing"};
// Of these, the ones that each draw may give.
constexpr auto kActions = static_cast<std::uint64_t>(soak_action::kStoreReturns);
constexpr auto kFirstPlanned = static_cast<std::uint64_t>(soak_action::kStop);

constexpr std::uint64_t kFewestEvents = 3;
constexpr std::uint64_t kMoreEvents = 5;
constexpr milliseconds kLeastSpan{200};
constexpr milliseconds kMostSpan{3'000};
// Planned work begins within this, so that a drain ends within the planned time.
constexpr milliseconds kPlannedStart{3'000};

duration Between(random_source& random, duration least, duration most) {
  return least + duration(static_cast<duration::rep>(random.Fraction() *
                                                     static_cast<double>((most - least).count())));
}

}  // namespace

std::string_view ToText(soak_action action) { return kNames.at(static_cast<std::size_t>(action)); }

soak_plan soak_plan::Draw(std::uint64_t seed, std::size_t nodes, int rounds) {
  random_source random(seed);
  random_source drawn_apart(~seed);
  soak_plan plan;
  duration now = kStartTime;
  const auto draw = [&](std::uint64_t first, duration begin, duration latest, duration end) {
    const std::uint64_t events = kFewestEvents + random.Below(kMoreEvents);
    for (std::uint64_t i = 0; i < events; ++i) {
      soak_event event{.action = static_cast<soak_action>(first + random.Below(kActions - first)),
                       .at = begin + Between(random, {}, latest),
                       .node = static_cast<std::size_t>(random.Below(nodes))};
      event.span = std::min(Between(random, kLeastSpan, kMostSpan), end - event.at);
      plan.events.push_back(event);
    }
  };
  const auto calm = [&] {
    now += kSettleTime;
    plan.calm.emplace_back(now, now + kCalmTime);
    now += kCalmTime;
  };
  const auto draw_apart = [&](soak_action action) {
    if (drawn_apart.Below(2) == 0) {
      plan.events.push_back({.action = action,
                             .at = now + Between(drawn_apart, {}, kHarmTime - kMostSpan),
                             .span = Between(drawn_apart, kLeastSpan, kMostSpan),
                             .node = static_cast<std::size_t>(drawn_apart.Below(nodes))});
    }
  };
  for (int round = 0; round < rounds; ++round) {
    draw(0, now, kHarmTime - kLeastSpan, now + kHarmTime);
    draw_apart(soak_action::kStoreReturns);
    draw_apart(soak_action::kCrashing);
    now += kHarmTime;
    calm();
    draw(kFirstPlanned, now, kPlannedStart, now + kPlannedTime);
    now += kPlannedTime;
    calm();
  }
  plan.length = now;
  std::stable_sort(plan.events.begin(), plan.events.end(),
                   [](const soak_event& a, const soak_event& b) { return a.at < b.at; });
  return plan;
}

}  // namespace cuminferry::testing
