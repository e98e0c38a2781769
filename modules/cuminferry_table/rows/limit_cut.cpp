#include "cuminferry_table/rows/limit_cut.h"

#include <algorithm>

namespace cuminferry {
namespace {

using domain_span = std::span<const service_entry::domain_targets>;

std::uint64_t TotalOf(domain_span domains) {
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

/** How many targets come before this one when what is left over is handed out. */
std::uint64_t RankOf(domain_span domains, std::size_t domain, std::uint32_t slot,
                     std::size_t first_domain) {
  std::uint64_t before = 0;
  const std::size_t turned = (domain + domains.size() - first_domain) % domains.size();
  for (std::size_t at = 0; at < domains.size(); ++at) {
    const std::size_t other_turned = (at + domains.size() - first_domain) % domains.size();
    const std::uint32_t slots_before = other_turned < turned ? slot + 1 : slot;
    before += std::min(domains[at].targets, slots_before);
  }
  return before;
}

}  // namespace

std::uint32_t TargetShare(std::uint32_t fleet_limit, std::string_view row_name, domain_span domains,
                          std::string_view failure_domain, std::uint32_t target_slot) {
  const std::size_t domain = IndexOf(domains, failure_domain);
  if (domain == domains.size() || target_slot >= domains[domain].targets) {
    return 0;
  }
  const std::uint64_t total = TotalOf(domains);
  const std::size_t first_domain = DigestOf(row_name) % domains.size();
  const std::uint64_t left_over = fleet_limit % total;
  const bool one_more = RankOf(domains, domain, target_slot, first_domain) < left_over;
  return static_cast<std::uint32_t>(fleet_limit / total + (one_more ? 1 : 0));
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
