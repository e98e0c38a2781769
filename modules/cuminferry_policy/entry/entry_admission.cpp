#include "cuminferry_policy/entry/entry_admission.h"

#include <algorithm>

namespace cuminferry {
namespace {

// A target that has not answered for so long says nothing of the row's load now.
constexpr duration kForgetTarget = std::chrono::seconds(3);

double Seconds(duration span) { return static_cast<double>(span.count()) / 1e6; }

}  // namespace

void entry_admission::OnLevel(std::string_view row, std::string_view target, double level,
                              bool from_clients, instant now) {
  auto at = rows_.find(row);
  if (at == rows_.end()) {
    at = rows_.emplace(std::string(row), row_state{}).first;
  }
  row_state& state = at->second;
  state.from_clients = state.from_clients || from_clients;
  std::erase_if(state.by_target,
                [now](const auto& heard) { return now - heard.second.at > kForgetTarget; });
  state.by_target[std::string(target)] = {.level = level, .at = now};
}

double entry_admission::Level(std::string_view row, double top, instant now) const {
  const auto at = rows_.find(row);
  if (at == rows_.end() || at->second.by_target.empty()) {
    return top;
  }
  // The mean over the targets: each carries its part of the row.
  double sum = 0.0;
  for (const auto& [target, heard] : at->second.by_target) {
    const duration unconfirmed = std::max(duration::zero(), now - heard.at - kLevelAge);
    sum += std::min(top, heard.level + kRecoveryPerSecond * Seconds(unconfirmed));
  }
  return sum / static_cast<double>(at->second.by_target.size());
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
