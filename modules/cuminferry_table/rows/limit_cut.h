#pragma once

#include <cstdint>
#include <span>
#include <string_view>

#include "cuminferry_table/rows/policy_table.h"

namespace cuminferry {

/** The fixed part of a fleet-wide limit that belongs to one target.

    Every node works it out from the table alone, so that the parts sum up to
    the limit without any talk between nodes. Targets count as equal. What is
    left over goes to slot 0 of each failure domain first, then to slot 1, and
    so on, so that each domain has something to go on with when it is cut off.
    A limit that rises takes nothing from any target: nodes that have an edit
    and nodes that don't yet have it stay together under the larger limit.

    @param row_name turns the order of the domains, so that the left-over of
                    many rows does not all go to the same one
    @returns 0 for a target that the table does not declare
*/
std::uint32_t TargetShare(std::uint32_t fleet_limit, std::string_view row_name,
                          std::span<const service_entry::domain_targets> domains,
                          std::string_view failure_domain, std::uint32_t target_slot);

/** The sum of TargetShare() over the targets of one failure domain. */
std::uint32_t DomainShare(std::uint32_t fleet_limit, std::string_view row_name,
                          std::span<const service_entry::domain_targets> domains,
                          std::string_view failure_domain);

}  // namespace cuminferry
