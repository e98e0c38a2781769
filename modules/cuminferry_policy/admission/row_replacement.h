#pragma once

#include "cuminferry_policy/blackboard/admission_blackboard.h"
#include "cuminferry_table/cuminferry_table.h"

namespace cuminferry {

/** Replaces the rows on the blackboard by those of a new table.

    Statistics of a row are retained under its name. Calls in flight get the new indexes of their
    rows. A row that the new table lacks stays at the end of the list while calls of it are in
    flight.
*/
void ReplaceRows(const table_shard& shard, admission_blackboard& board);

}  // namespace cuminferry
