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
    @param own        limit by the own slots
    @param causes     which rows the own backend server calls
    @param admission  what limits those
    @return nothing while it isn't known whom the row calls */
std::optional<row_limit> LimitToTell(std::string_view row, const row_limit& own,
                                     const row_causes& causes, const entry_admission& admission,
                                     instant now);

}  // namespace cuminferry
