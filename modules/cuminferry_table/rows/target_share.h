#pragma once

#include <cstdint>
#include <span>
#include <string_view>

#include "cuminferry_table/rows/policy_table.h"

namespace cuminferry {

/** Returns the fixed share of a fleet-wide limit that belongs to one target.

    Every node computes the shares from the table alone, so they sum up to the limit without any
    message between nodes. All targets get equal shares. The remainder of the division goes to slot
    0 of each failure domain first, then to slot 1, and so on, so that each domain has a share to
    use when it is cut off from the others. Raising a limit reduces no target's share: while only
    some nodes have the edit, all nodes together stay within the larger limit.

    @param row_name determines the failure domain with which the distribution of the remainder
                    begins, so that the remainders of many rows do not all go to the same domain
    @returns 0 for a target that the table does not declare
*/
std::uint32_t TargetShare(std::uint32_t fleet_limit, std::string_view row_name,
                          std::span<const service_entry::domain_targets> domains,
                          std::string_view failure_domain, std::uint32_t target_slot);

/** Returns the sum of TargetShare() over the targets of one failure domain. */
std::uint32_t DomainShare(std::uint32_t fleet_limit, std::string_view row_name,
                          std::span<const service_entry::domain_targets> domains,
                          std::string_view failure_domain);

}  // namespace cuminferry
