#include "soak/site_plan.h"

#include <algorithm>
#include <array>

#include "soak/site_shape.h"

namespace cuminferry::testing {
namespace {

using std::chrono::milliseconds;

constexpr std::array<std::string_view, 10> kKindNames{
    "targets",       "target-crash", "node-kill", "node-stop",    "node-freeze",
    "store-refuses", "store-silent", "burst",     "hot-customer", "impatience"};

constexpr milliseconds kFaultSpan{6'000};
constexpr milliseconds kFreezeSpan{700};
constexpr milliseconds kRestartSpan{1'500};

// Faults of backend servers, each drawn on its own.
constexpr std::array kTargetFaults{
    target_fault{.rejections = 0.55},
    target_fault{.rejections = 0.5, .late_rejections = 0.3},
    target_fault{.rejections = 0.3, .early_rejections = 0.5},
    target_fault{.lost_answers = 0.4},
    target_fault{.work_factor = 5.0},
    target_fault{.truncated_answers = 0.1, .invalid_answers = 0.1, .duplicate_answers = 0.3},
    target_fault{.mute_answers = 0.45},
    target_fault{.forgotten_after = milliseconds(300)},
    target_fault{.rejections = 0.8, .late_rejections = 1.0},
    target_fault{.passed_on_refusals = 1.0},
};

std::vector<std::size_t> DrawMachines(random_source& random, std::size_t machines, double share) {
  std::vector<std::size_t> drawn;
  for (std::size_t machine = 0; machine < machines; ++machine) {
    if (random.Fraction() < share) {
      drawn.push_back(machine);
    }
  }
  return drawn;
}

}  // namespace

std::string_view ToText(site_event::kind what) {
  return kKindNames.at(static_cast<std::size_t>(what));
}

bool site_event::Affects(std::size_t machine) const {
  return machines.empty() || std::ranges::find(machines, machine) != machines.end();
}

std::vector<site_event> DrawSitePlan(std::uint64_t seed, std::size_t machines, duration length) {
  random_source random(seed);
  std::vector<site_event> events;
  const auto start = [&] {
    return duration(static_cast<duration::rep>(random.Fraction() *
                                               static_cast<double>((length - kFaultSpan).count())));
  };
  const auto add = [&](site_event::kind what, duration span, double share, double factor = 1.0) {
    events.push_back({.what = what,
                      .start = start(),
                      .span = span,
                      .machines = DrawMachines(random, machines, share),
                      .fault = {},
                      .factor = factor});
  };
  for (const target_fault& fault : kTargetFaults) {
    const double share = random.Fraction() < 0.5 ? 0.5 : 0.15;
    events.push_back({.what = site_event::kind::kTargets,
                      .start = start(),
                      .span = kFaultSpan,
                      .machines = DrawMachines(random, machines, share),
                      .fault = fault});
  }
  add(site_event::kind::kTargetCrash, kRestartSpan, 0.14);
  add(site_event::kind::kNodeKill, kRestartSpan, 0.16);
  add(site_event::kind::kNodeKill, kRestartSpan, 0.4);
  add(site_event::kind::kNodeStop, kRestartSpan, 0.3);
  add(site_event::kind::kNodeFreeze, kFreezeSpan, 0.3);
  add(site_event::kind::kNodeFreeze, kFreezeSpan, 0.3);
  add(site_event::kind::kNodeFreeze, kFreezeSpan / 2, 0.5);
  add(site_event::kind::kStoreRefuses, kFaultSpan, 0.35);
  add(site_event::kind::kStoreSilent, kFaultSpan, 0.35);
  add(site_event::kind::kBurst, kFaultSpan, 0.0, 2.3);
  add(site_event::kind::kBurst, kFaultSpan, 0.0, 1.7);
  add(site_event::kind::kHotCustomer, kFaultSpan, 0.0);
  add(site_event::kind::kImpatience, kFaultSpan, 0.0, 0.2);
  std::ranges::stable_sort(events, {}, &site_event::start);
  return events;
}

}  // namespace cuminferry::testing
