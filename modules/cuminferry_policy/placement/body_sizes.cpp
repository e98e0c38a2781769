#include "cuminferry_policy/placement/body_sizes.h"

namespace cuminferry {

void body_sizes::OnAnswered(std::string_view row, double bytes) {
  const auto found = rows_.find(row);
  if (found == rows_.end()) {
    rows_.emplace(std::string(row), bytes);
  } else {
    found->second += kRequestWeight * (bytes - found->second);
  }
}

double body_sizes::MeanOf(std::string_view row) const {
  const auto found = rows_.find(row);
  return found == rows_.end() ? 0.0 : found->second;
}

}  // namespace cuminferry
