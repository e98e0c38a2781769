#include "cuminferry_table/rows/target_share.h"

#include <algorithm>

namespace cuminferry {
namespace {

using domain_span = std::span<const service_entry::domain_targets>;

std::uint64_t TotalTargetsOf(domain_span domains) {
  std::uint64_t total = 0;
  for (const auto& domain : domains) {
    total += domain.targets;
  }
  return total;
}

std::size_t IndexOf(domain_span domains, std::string_view failure_domain) {
  const auto found =
      std::ranges::find(domains, failure_domain, &service_entry::domain_targets::failure_domain);
  return static_cast<std::size_t>(found - domains.begin());
}

/** Returns the number of targets that precede this one in the distribution of the remainder. */
std::uint64_t RemainderRankOf(domain_span domains, std::size_t domain, std::uint32_t slot,
                              std::size_t first_domain) {
  std::uint64_t preceding = 0;
  const std::size_t rotation = (domain + domains.size() - first_domain) % domains.size();
  for (std::size_t other = 0; other < domains.size(); ++other) {
    const std::size_t other_rotation = (other + domains.size() - first_domain) % domains.size();
    const std::uint32_t preceding_slots = other_rotation < rotation ? slot + 1 : slot;
    preceding += std::min(domains[other].targets, preceding_slots);
  }
  return preceding;
}

}  // namespace

std::uint32_t TargetShare(std::uint32_t fleet_limit, std::string_view row_name, domain_span domains,
                          std::string_view failure_domain, std::uint32_t target_slot) {
  const std::size_t domain = IndexOf(domains, failure_domain);
  if (domain == domains.size() || target_slot >= domains[domain].targets) {
    return 0;
  }
  const std::uint64_t total = TotalTargetsOf(domains);
  const std::size_t first_domain = DigestOf(row_name) % domains.size();
  const std::uint64_t remainder = fleet_limit % total;
  const bool gets_extra = RemainderRankOf(domains, domain, target_slot, first_domain) < remainder;
  return static_cast<std::uint32_t>(fleet_limit / total + (gets_extra ? 1 : 0));
}

std::uint32_t DomainShare(std::uint32_t fleet_limit, std::string_view row_name, domain_span domains,
                          std::string_view failure_domain) {
  const std::size_t domain = IndexOf(domains, failure_domain);
  if (domain == domains.size()) {
    return 0;
  }
  std::uint32_t sum = 0;
  for (std::uint32_t slot = 0; slot < domains[domain].targets; ++slot) {
    sum += TargetShare(fleet_limit, row_name, domains, failure_domain, slot);
  }
  return sum;
}

}  // namespace cuminferry
