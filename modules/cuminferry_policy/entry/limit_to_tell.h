#pragma once

#include <optional>
#include <string_view>

#include "cuminferry_core/cuminferry_core.h"
#include "cuminferry_policy/entry/entry_admission.h"
#include "cuminferry_policy/entry/row_causes.h"
#include "cuminferry_policy/entry/row_limit.h"

namespace cuminferry {

/** What a target's node tells with an answer of what limits its row: its own backend server's
    slots, or a service that runs of the row call, whichever has the least room.

    While it isn't known whom the row calls, a node speaks for its own slots only: that they are
    full is told, that they are free is not. A full service that kept silent for the first
    seconds after a start was sent all that clients asked for, and nearly all of it failed.
    A row whose runs break off is then taken to call what the backend server calls, as the mean
    of all runs has it, unless its callers know it to be free: one of several nodes that takes
    such a row for one that calls nobody opens it for all entries.
    @param own        limit by the own slots
    @param in_force   part of the row that the asking node lets in, if it knows a limit
    @param causes     which rows the own backend server calls
    @param admission  what limits those
    @return nothing where nothing is known that is lower than what is in force */
std::optional<row_limit> LimitToTell(std::string_view row, const row_limit& own,
                                     const std::optional<double>& in_force,
                                     const row_causes& causes, const entry_admission& admission,
                                     instant now);

}  // namespace cuminferry
