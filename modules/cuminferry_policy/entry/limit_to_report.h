#pragma once

#include <optional>
#include <string_view>

#include "cuminferry_core/cuminferry_core.h"
#include "cuminferry_policy/entry/call_attribution.h"
#include "cuminferry_policy/entry/ingress_admission.h"
#include "cuminferry_policy/entry/row_limit.h"

namespace cuminferry {

/** Returns the limit that a target's node reports with an answer: that of its own backend
    server's slots, or that of a service which runs of the row call, whichever is lower.

    While the calls of the row are unknown, a node reports only its own slots, and these only
    while they are full: free slots don't show that the called services have room. A full service
    that reported nothing in the first seconds after a start received all requests of the
    clients, and nearly all of them failed.
    A row whose runs fail often is assumed to make the mean calls of all runs of the backend
    server, unless the calling node knows that the row is not limited: if one of several nodes
    took such a row for one without calls, that node would open the row at all ingress nodes.
    @param own          limit by the own slots
    @param in_force     share of the row that the calling node admits, if it knows a limit
    @param attribution  which rows the own backend server calls
    @param admission    limits of the called rows
    @return nothing where no limit below the one in force is known */
std::optional<row_limit> LimitToReport(std::string_view row, const row_limit& own,
                                       const std::optional<double>& in_force,
                                       const call_attribution& attribution,
                                       const ingress_admission& admission, instant now);

}  // namespace cuminferry
