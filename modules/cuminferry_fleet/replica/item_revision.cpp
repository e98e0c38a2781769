#include "cuminferry_fleet/replica/item_revision.h"

namespace cuminferry {

std::string item_revision::ToText(std::uint64_t revision) {
  const std::uint64_t restores = RestoresOf(revision);
  const std::string counter = std::to_string(CounterOf(revision));
  return restores == 0 ? counter : std::to_string(restores) + "." + counter;
}

}  // namespace cuminferry
