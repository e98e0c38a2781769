#pragma once

#include "cuminferry_policy/blackboard/admission_blackboard.h"
#include "cuminferry_table/cuminferry_table.h"

namespace cuminferry {

/** Puts the rows of a new table on the blackboard.

    What was learned of a row of the same name is kept. Calls in flight are given
    the new numbers of their rows; a row that is gone stays at the end while calls
    of it are in flight.
*/
void UseRows(const table_shard& shard, admission_blackboard& board);

}  // namespace cuminferry
