#include "cuminferry_policy/entry/entry_admission.h"

#include <algorithm>
#include <cmath>

namespace cuminferry {
namespace {

// Weight of an answer that comes together with others.
constexpr double kLeastWeight = 0.02;

double Seconds(duration span) { return static_cast<double>(span.count()) / 1e6; }

}  // namespace

void entry_admission::OnLevel(std::string_view row, double level, bool from_clients, instant now) {
  auto at = rows_.find(row);
  if (at == rows_.end()) {
    at = rows_.emplace(std::string(row), row_state{.level = level}).first;
  }
  row_state& state = at->second;
  state.from_clients = state.from_clients || from_clients;
  const double passed = Seconds(now - state.heard) / Seconds(kBlend);
  const double weight = std::max(kLeastWeight, 1.0 - std::exp(-passed));
  state.level += weight * (level - state.level);
  state.heard = now;
}

double entry_admission::Level(std::string_view row, double top, instant now) const {
  const auto at = rows_.find(row);
  if (at == rows_.end()) {
    return top;
  }
  const duration unconfirmed = std::max(duration::zero(), now - at->second.heard - kLevelAge);
  return std::min(top, at->second.level + kRecoveryPerSecond * Seconds(unconfirmed));
}

double entry_admission::AdmittedShare(std::string_view row, std::uint32_t priority,
                                      instant now) const {
  const double level = Level(row, priority + 1.0, now);
  return std::clamp(level - priority, kLeastShare, 1.0);
}

bool entry_admission::Admits(std::string_view row, std::uint32_t priority, double draw,
                             instant now) const {
  return draw < AdmittedShare(row, priority, now);
}

bool entry_admission::ComesFromClients(std::string_view row) const {
  const auto at = rows_.find(row);
  return at != rows_.end() && at->second.from_clients;
}

duration entry_admission::ReturnAfter(std::string_view row, std::uint32_t priority, double draw,
                                      instant now) const {
  constexpr double kSpread = 0.5;
  const double refused = 1.0 - AdmittedShare(row, priority, now);
  const double place = std::min(1.0, refused * (1.0 - kSpread) + draw * kSpread);
  const auto span = static_cast<double>((kLongestReturn - kShortestReturn).count());
  return kShortestReturn + duration(static_cast<duration::rep>(place * span));
}

}  // namespace cuminferry
