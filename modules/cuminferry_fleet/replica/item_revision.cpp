#include "cuminferry_fleet/replica/item_revision.h"

namespace cuminferry {

std::string item_revision::ToText(std::uint64_t revision) {
  const std::uint64_t returns = ReturnsOf(revision);
  const std::string counter = std::to_string(CounterOf(revision));
  return returns == 0 ? counter : std::to_string(returns) + "." + counter;
}

}  // namespace cuminferry
